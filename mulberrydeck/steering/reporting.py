"""Log lines, limited in volume, and metrics of a steering VM."""

from collections.abc import Callable
import math

import prometheus_client

from mulberrydeck.frontend import requests
from mulberrydeck.observability import logs
from mulberrydeck.platform import headers
from mulberrydeck.steering import attempts
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import progress as progresses

# For requests that succeeded; failed ones have the limit below.
MAX_ROUTINE_LINES_PER_S = 20.0
# For all other lines, except those of `PRIORITY_PARTS`.
MAX_OTHER_LINES_PER_S = 100.0
# Parts that report on the configuration, this process and the store. They have
# a limit of their own, so that a burst of changed targets or failed attempts
# does not hide its cause.
PRIORITY_PARTS = frozenset(("configuration", "steer", "store"))
MAX_PRIORITY_LINES_PER_S = 30.0
# A tick that is later than this shows that the process stalled, or that it gets
# too little processor time to meet time limits of a few seconds.
LATE_TICK_S = 0.5
LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)


class LogRateLimiter:
    """Token bucket that limits log lines and counts those that are dropped.

    Attributes:
        rate_per_s: Allowed lines per second, and size of the bucket.
        dropped: Number of lines dropped since the last one written.
    """

    def __init__(self, rate_per_s: float, now_s: Callable[[], float]) -> None:
        self.rate_per_s = rate_per_s
        self.now_s = now_s
        self.tokens = rate_per_s
        self.updated_s = now_s()
        self.dropped = 0

    def allows(self) -> bool:
        """Takes a token; counts the line as dropped if there is none."""
        now_s = self.now_s()
        added_tokens = (now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.rate_per_s, self.tokens + added_tokens)
        self.updated_s = now_s
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True

    def take_dropped(self) -> int:
        """Returns and resets the number of dropped lines."""
        count = self.dropped
        self.dropped = 0
        return count


class Reports:
    """Writes log lines and updates metrics.

    Attributes:
        now_s: Monotonic clock, in seconds.
        registry: Registry of the metrics.
        restored_s: When the store last came back from an older copy, in
            seconds; -inf if never.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.now_s = now_s
        self.registry = prometheus_client.CollectorRegistry()
        self.routine_lines = LogRateLimiter(MAX_ROUTINE_LINES_PER_S, now_s)
        self.other_lines = LogRateLimiter(MAX_OTHER_LINES_PER_S, now_s)
        self.priority_lines = LogRateLimiter(MAX_PRIORITY_LINES_PER_S, now_s)
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
        self.not_run = self._counter(
            "not_run_responses",
            "Responses that tell the caller that its request did not run.",
            "basis",
        )
        self.send_delay = prometheus_client.Histogram(
            "mulberrydeck_send_delay_seconds",
            "Time from the choice of a target to the first byte sent.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.placements = self._counter(
            "placements", "Choices of a target.", "by"
        )
        self.slot_wait = prometheus_client.Histogram(
            "mulberrydeck_slot_wait_seconds",
            "Time that requests waited for a granted slot.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.cold_sends = self._counter(
            "cold_sends", "Requests sent to targets known to be cold."
        )
        self.slow_resets = self._counter(
            "slow_caller_resets",
            "Callers that were reset as they made no progress while the memory "
            "for all callers was used up.",
            "direction",
        )
        self.staleness = prometheus_client.Gauge(
            "mulberrydeck_news_age_seconds",
            "For how long changes in the store may be unknown here.",
            registry=self.registry,
        )
        self.headroom = prometheus_client.Gauge(
            "mulberrydeck_headroom",
            "Factor on this VM's share of callers; 1 unless it is short of "
            "memory, descriptors or link.",
            registry=self.registry,
        )
        self.headroom.set(1.0)
        self.dropped_lines = self._counter(
            "log_lines_left_out", "Lines left out."
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store.", "cause"
        )
        self.ignored_objects = self._counter(
            "ignored_objects",
            "Objects of the store that could not be read or used.",
            "kind",
        )
        self.store_restores = self._counter(
            "store_restores", "Returns of the store from an older copy."
        )
        self.restored_s = -math.inf
        restore_age = prometheus_client.Gauge(
            "mulberrydeck_store_restore_age_seconds",
            "Time since the last return of the store from an older copy.",
            registry=self.registry,
        )
        restore_age.set_function(lambda: now_s() - self.restored_s)
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
        attempt: attempts.Attempt,
    ) -> None:
        """Counts an attempt, and logs it if it failed."""
        self.attempts.labels(attempt.outcome.value).inc()
        self.placements.labels(decision.placement.value).inc()
        if decision.placement is effects.Placement.GRANTED:
            self.slot_wait.observe(decision.slot_wait_s)
        if attempt.sent_after_s is not None:
            self.send_delay.observe(attempt.sent_after_s)
            if decision.cold:
                self.cold_sends.inc()
        if (
            attempt.outcome is events.Outcome.ANSWERED
            and attempt.status < 500
            and attempt.status not in headers.NOT_RUN_STATUSES
        ):
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
            kept_connection=attempt.kept_connection,
            identified=attempt.identified,
            not_executed=attempt.not_executed,
            **decision.inputs,
            **_send_time_fields(attempt.sent_after_s),
        )

    def request_ended(
        self,
        request: requests.Request,
        progress: progresses.Progress,
        elapsed_s: float,
    ) -> None:
        """Logs and measures a request that has ended.

        Args:
            request: The request.
            progress: Its last attempt and the final decision.
            elapsed_s: Time since its arrival, in seconds.
        """
        last_attempt = progress.last_forward
        fields = {
            "request_id": request.request_id,
            "path": request.path,
            "status": request.response.status,
            "taken_s": round(elapsed_s, 4),
        }
        if last_attempt is not None:
            fields |= {
                "target": last_attempt.target,
                "attempts": last_attempt.attempt,
            }
            fields |= last_attempt.inputs | _send_time_fields(
                progress.sent_after_s
            )
        if request.response.status in headers.NOT_RUN_STATUSES:
            basis = progress.not_run_basis
            self.not_run.labels(basis.value).inc()
            fields["not_run_basis"] = basis.value
        match progress.decision:
            case effects.Refuse(kind=kind, inputs=inputs):
                self.latency.labels(kind).observe(elapsed_s)
                self.write(
                    "request", "Refused.", kind=kind, **(fields | inputs)
                )
            case None if request.superseded:
                self.latency.labels("superseded").observe(elapsed_s)
                self.write(
                    "request",
                    "Cancelled; an earlier response closed the connection.",
                    **fields,
                )
            case None:
                self.latency.labels("abandoned").observe(elapsed_s)
                self.write("request", "The caller disconnected.", **fields)
            case _ if not request.response.finished:
                self.latency.labels("broken off").observe(elapsed_s)
                self.write("request", "Broken off.", **fields)
            case _:
                self.latency.labels("answered").observe(elapsed_s)
                if self.routine_lines.allows():
                    logs.write("request", "Answered.", **fields)

    def request_cut_off(
        self, request: requests.Request, elapsed_s: float, target: str
    ) -> None:
        """Logs a request that is in progress as the process ends.

        Args:
            request: The request.
            elapsed_s: Time since its arrival, in seconds.
            target: Name of the target that works on it; empty for none.
        """
        self.write(
            "request",
            "Cut off by the end of the process.",
            request_id=request.request_id,
            path=request.path,
            status=request.response.status,
            taken_s=round(elapsed_s, 4),
            target=target,
        )

    def slow_reader_reset(self, held_bytes: int, stalled_s: float) -> None:
        """Counts and logs the reset of a caller that does not read.

        Args:
            held_bytes: Bytes that were kept for it.
            stalled_s: Time without progress, in seconds.
        """
        self._slow_reset("reading", held_bytes, stalled_s)

    def slow_sender_reset(self, held_bytes: int, stalled_s: float) -> None:
        """Counts and logs the reset of a caller that does not send its body.

        Args:
            held_bytes: Bytes of the body that were kept.
            stalled_s: Time without progress, in seconds.
        """
        self._slow_reset("sending", held_bytes, stalled_s)

    def _slow_reset(
        self, direction: str, held_bytes: int, stalled_s: float
    ) -> None:
        self.slow_resets.labels(direction).inc()
        self.write(
            "request",
            "Reset a slow caller.",
            direction=direction,
            held_bytes=held_bytes,
            stalled_s=round(stalled_s, 3),
        )

    def log(self, effect: effects.Log) -> None:
        """Writes a log line that the reducer returned as an effect."""
        self.write(effect.part, effect.text, **effect.fields)

    def ticked(self, late_s: float, staleness_s: float) -> None:
        """Updates the metrics of a tick, and logs a late one.

        Args:
            late_s: Time by which the tick was late, in seconds.
            staleness_s: Time for which changes in the store may be unknown to
                this VM, in seconds.
        """
        self.lateness.observe(max(0.0, late_s))
        self.staleness.set(staleness_s)
        if late_s > LATE_TICK_S:
            self.write(
                "steer", "A periodic tick was late.", late_s=round(late_s, 3)
            )

    def write(self, part: str, text: str, **fields: object) -> None:
        """Writes a log line, unless the limit of its part is exceeded."""
        limiter = (
            self.priority_lines if part in PRIORITY_PARTS else self.other_lines
        )
        if not limiter.allows():
            self.dropped_lines.inc()
            return
        dropped = limiter.take_dropped()
        if dropped:
            fields["lines_left_out"] = dropped
        logs.write(part, text, **fields)

    def store_call(self, cause: str) -> None:
        """Counts a call to the store.

        Args:
            cause: Method of `StoreClient` and kind of object.
        """
        self.store_calls.labels(cause).inc()

    def object_ignored(self, kind: str, reason: str, **fields: object) -> None:
        """Counts and logs an object of the store that is not used.

        Args:
            kind: Kind of the object.
            reason: Why it is not used.
            **fields: What is known of the object.
        """
        self.ignored_objects.labels(kind).inc()
        self.write(
            "store",
            "An object was ignored.",
            kind=kind,
            reason=reason,
            **fields,
        )

    def store_restored(self) -> None:
        """Counts a return of the store from an older copy."""
        self.store_restores.inc()
        self.restored_s = self.now_s()

    def peer_message(self, direction: str, size: int) -> None:
        """Counts a message between VMs, as the transport requires.

        Args:
            direction: `in` or `out`.
            size: Size of the message, in bytes, which is not recorded here.
        """
        del size
        self.messages.labels(direction).inc()

    def peer_malformed(self) -> None:
        """Counts a peer message that could not be decoded."""
        self.malformed.inc()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def _send_time_fields(sent_after_s: float | None) -> dict[str, object]:
    """Returns the log field with the send delay; none if nothing was sent."""
    if sent_after_s is None:
        return {}
    return {"sent_after_s": round(sent_after_s, 3)}
