"""Log lines and metrics of requests, bounded in volume."""

from collections.abc import Callable

import prometheus_client

from mulberrydeck.frontend import requests
from mulberrydeck.observability import logs
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import exchange
from mulberrydeck.steering import progress as progresses

# Lines a second of requests that went well; failures have their own.
MAX_ROUTINE_LINES_PER_S = 20.0
# Lines a second of everything else.
MAX_OTHER_LINES_PER_S = 100.0
# Parts that say what this VM relies on, with lines a second of their own: a
# burst of changed targets or failed attempts must not hide why.
KEY_PARTS = frozenset(("configuration", "steer", "store"))
MAX_KEY_LINES_PER_S = 30.0
# A process that is later than this stood still, or has too little processor
# time to keep bounds of seconds.
LATE_S = 0.5
LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)


class LineBudget:
    """Bounds log lines per second; what is left out is counted.

    Attributes:
        rate_per_s: Lines per second.
        left_out: Lines left out since the last one written.
    """

    def __init__(self, rate_per_s: float, now_s: Callable[[], float]) -> None:
        self.rate_per_s = rate_per_s
        self.now_s = now_s
        self.tokens = rate_per_s
        self.updated_s = now_s()
        self.left_out = 0

    def allows(self) -> bool:
        """Takes a token; counts the line as left out if there is none."""
        now_s = self.now_s()
        gained = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.rate_per_s, self.tokens + gained)
        self.updated_s = now_s
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True

    def take_left_out(self) -> int:
        """Returns and resets the number of lines left out."""
        count = self.left_out
        self.left_out = 0
        return count


class Reports:
    """Writes log lines and counts.

    Attributes:
        registry: Where the metrics are registered.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.routine = LineBudget(MAX_ROUTINE_LINES_PER_S, now_s)
        self.others = LineBudget(MAX_OTHER_LINES_PER_S, now_s)
        self.key_parts = LineBudget(MAX_KEY_LINES_PER_S, now_s)
        self.latency = prometheus_client.Histogram(
            "mulberrydeck_request_seconds",
            "Time from arrival to the end of the answer.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.lateness = prometheus_client.Histogram(
            "mulberrydeck_tick_lateness_seconds",
            "Time by which periodic work was late.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = self._counter("attempts", "Attempts.", "outcome")
        self.sending = prometheus_client.Histogram(
            "mulberrydeck_send_delay_seconds",
            "Time from the choice of a target to the first byte sent.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.cold_sends = self._counter(
            "cold_sends", "Requests sent to targets known to be cold."
        )
        self.news_age = prometheus_client.Gauge(
            "mulberrydeck_news_age_seconds",
            "For how long changes in the store may be unknown here.",
            registry=self.registry,
        )
        self.lines = self._counter("log_lines_left_out", "Lines left out.")
        self.messages = self._counter(
            "peer_messages", "Messages between VMs.", "direction"
        )
        self.malformed = self._counter(
            "peer_malformed", "Peer messages dropped as malformed."
        )

    def _counter(self, name: str, text: str, *labels: str) -> object:
        return prometheus_client.Counter(
            f"mulberrydeck_{name}", text, labels, registry=self.registry
        )

    def attempt_ended(
        self,
        request: requests.Request,
        decision: effects.Forward,
        attempt: exchange.Attempt,
    ) -> None:
        """Reports an attempt that was not answered as wanted."""
        self.attempts.labels(attempt.outcome.value).inc()
        if attempt.sent_after_s is not None:
            self.sending.observe(attempt.sent_after_s)
            if decision.cold:
                self.cold_sends.inc()
        if attempt.outcome is events.Outcome.ANSWERED and attempt.status < 500:
            return
        self.write(
            "attempt",
            "An attempt failed.",
            request_id=request.request_id,
            attempt=decision.attempt,
            target=decision.target,
            address=decision.address,
            outcome=attempt.outcome.value,
            status=attempt.status,
            reason=attempt.reason,
            **decision.inputs,
            **_sending(attempt.sent_after_s),
        )

    def request_ended(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        taken_s: float,
    ) -> None:
        """Reports the end of a request.

        Args:
            request: The request.
            progress: How far it came.
            taken_s: Time since its arrival, in seconds.
        """
        last = progress.last_forward
        fields = {
            "request_id": request.request_id,
            "path": request.path,
            "status": request.answer.status,
            "taken_s": round(taken_s, 4),
        }
        if last is not None:
            fields |= {"target": last.target, "attempts": last.attempt}
            fields |= last.inputs | _sending(progress.sent_after_s)
        match progress.decision:
            case effects.Refuse(kind=kind, inputs=inputs):
                self.latency.labels(kind).observe(taken_s)
                self.write(
                    "request", "Refused.", kind=kind, **(fields | inputs)
                )
            case None:
                self.latency.labels("abandoned").observe(taken_s)
                self.write("request", "The caller left.", **fields)
            case _ if not request.answer.finished:
                self.latency.labels("broken off").observe(taken_s)
                self.write("request", "Broken off.", **fields)
            case _:
                self.latency.labels("answered").observe(taken_s)
                if self.routine.allows():
                    logs.write("request", "Answered.", **fields)

    def log(self, effect: effects.Log) -> None:
        """Writes a line that the reducer asked for."""
        self.write(effect.part, effect.text, **effect.fields)

    def ticked(self, late_s: float, news_age_s: float) -> None:
        """Reports periodic work.

        Args:
            late_s: By how much it was late, in seconds.
            news_age_s: For how long changes in the store may be unknown here,
                in seconds.
        """
        self.lateness.observe(max(0.0, late_s))
        self.news_age.set(news_age_s)
        if late_s > LATE_S:
            self.write(
                "steer", "The process was late.", late_s=round(late_s, 3)
            )

    def write(self, part: str, text: str, **fields: object) -> None:
        """Writes a line if the budget allows it."""
        budget = self.key_parts if part in KEY_PARTS else self.others
        if not budget.allows():
            self.lines.inc()
            return
        left_out = budget.take_left_out()
        if left_out:
            fields["lines_left_out"] = left_out
        logs.write(part, text, **fields)

    def peer_message(self, direction: str, size: int) -> None:
        """Counts a message between VMs; part of the transport's metrics."""
        del size
        self.messages.labels(direction).inc()

    def peer_malformed(self) -> None:
        """Counts a message that could not be read."""
        self.malformed.inc()

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


def _sending(sent_after_s: float | None) -> dict[str, object]:
    """Returns the member of a line that says when a request was sent."""
    if sent_after_s is None:
        return {}
    return {"sent_after_s": round(sent_after_s, 3)}
