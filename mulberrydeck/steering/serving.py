"""Serves callers' requests, look-ups and readiness over HTTP."""

from collections.abc import Callable
import json

import attrs

from mulberrydeck.forward import pool as pools
from mulberrydeck.frontend import listeners
from mulberrydeck.frontend import requests
from mulberrydeck.platform import headers
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import exchange
from mulberrydeck.steering import lookup
from mulberrydeck.steering import progress as progresses
from mulberrydeck.steering import reporting

# Bodies up to this size are read whole before a target is chosen, so that they
# can be sent again and a slow caller holds no slot.
MAX_LOADED_BYTES = 1024 * 1024
BACKLOG = 512  # New connections of a region's callers at once.
STOP_POLL_S = 0.02
FIRST_REQUEST_S = 0.25


class Listener(listeners.HttpListener):
    """A listener that hands its requests to a function.

    Attributes:
        answer: Answers one request.
    """

    def __init__(
        self, address: str, answer: Callable[[requests.Request], None]
    ) -> None:
        """Prepares a listener.

        Args:
            address: `ip:port` to listen on.
            answer: Answers one request.
        """
        super().__init__(address, BACKLOG)
        self.answer = answer


@attrs.define(eq=False)
class Steering:
    """Answers callers' requests.

    Attributes:
        loop: Event loop of this VM.
        pool: Connections to targets.
        reports: Log lines and metrics of requests.
    """

    loop: event_loop.EventLoop
    pool: pools.ConnectionPool
    reports: reporting.Reports

    def serve(self, request: requests.Request) -> None:
        """Serves a caller's request to its end."""
        said = headers.of_caller(request.head)
        request.request_id = said.attempt_id or request.handling_id
        arrived_s = self.loop.now_s()
        event = events.RequestArrived(
            at_s=arrived_s,
            request_id=request.handling_id,
            host=said.host,
            path=request.path,
            key=said.key,
            object_key=said.object_key,
            deadline_s=said.deadline_s,
            body_bytes=request.head.length or 0,
        )
        self._load_body(request)
        progress = progresses.Progress()
        try:
            self._carry_out(request, said, event, progress)
        finally:
            self.loop.submit(
                events.RequestClosed(self.loop.now_s(), event.request_id)
            )
            taken_s = self.loop.now_s() - arrived_s
            self.reports.request_ended(request, progress, taken_s)

    def _load_body(self, request: requests.Request) -> None:
        body = request.body
        if body is None or (body.length or 0) > MAX_LOADED_BYTES:
            return
        body.max_kept_bytes = MAX_LOADED_BYTES
        while body.read_bytes <= MAX_LOADED_BYTES and body.read_next():
            pass

    def _carry_out(
        self,
        request: requests.Request,
        said: headers.CallerFields,
        event: events.RequestArrived,
        progress: progresses.Progress,
    ) -> None:
        passed = headers.passed_on(request.head)
        decision = self.loop.decide(event)
        attempt: exchange.Attempt | None = None
        while isinstance(decision, effects.Forward):
            progress.last_forward = decision
            hop = self._hop(request, said, passed, decision)
            running = exchange.TargetExchange(
                self.pool, hop, request.body, self.loop.now_s
            )
            attempt = running.run(request.answer)
            progress.sent_after_s = attempt.sent_after_s
            self.reports.attempt_ended(request, decision, attempt)
            ended = self._ended(request, decision, attempt)
            if attempt.response_started:
                self.loop.submit(ended)
                break
            decision = self.loop.decide(ended)
        match decision:
            case effects.Deliver():
                deliver(request, attempt.response)
            case effects.Refuse():
                refuse(request, decision)
        progress.decision = decision

    def _hop(
        self,
        request: requests.Request,
        said: headers.CallerFields,
        passed: str,
        decision: effects.Forward,
    ) -> exchange.Hop:
        head = request.head
        fields = headers.to_target(
            passed,
            said.host,
            decision.target,
            decision.account,
            decision.ends_s - self.loop.now_s(),
        )
        framing = ""
        if head.chunked:
            framing = "transfer-encoding: chunked\r\n"
        elif head.length is not None:
            framing = f"content-length: {head.length}\r\n"
        text = f"{head.method} {head.target} HTTP/1.1\r\n{fields}{framing}\r\n"
        return exchange.Hop(
            address=decision.address,
            head=text.encode("latin-1"),
            method=head.method,
            attempt_id=said.attempt_id,
            ends_s=decision.ends_s,
            repeatable=decision.repeatable,
        )

    def _ended(
        self,
        request: requests.Request,
        decision: effects.Forward,
        attempt: exchange.Attempt,
    ) -> events.AttemptEnded:
        body = request.body
        return events.AttemptEnded(
            at_s=self.loop.now_s(),
            request_id=decision.request_id,
            outcome=attempt.outcome,
            status=attempt.status,
            reported_load=attempt.reported_load,
            replayable=body is None or body.replayable,
            reason=attempt.reason,
        )


@attrs.define(eq=False)
class LookUps:
    """Answers look-ups and questions for readiness.

    Attributes:
        loop: Event loop of this VM.
    """

    loop: event_loop.EventLoop

    def serve(self, request: requests.Request) -> None:
        """Answers a look-up or a question for readiness."""
        state = self.loop.state
        match request.path:
            case headers.READY_PATH:
                ready = lookup.is_ready(state)
                send_json(request, 200 if ready else 503, {"ready": ready})
            case headers.LOOK_UP_PATH:
                self._look_up(request)
            case _:
                send_json(request, 404, {"detail": "No such path."})

    def _look_up(self, request: requests.Request) -> None:
        _, region, zone = headers.look_up_query(request.query)
        state = self.loop.state
        now_s = self.loop.now_s()
        found = lookup.addresses(state, now_s, region, zone)
        if not found:
            send_json(request, 503, {"detail": "No VM is ready; ask another."})
            return
        content = headers.look_up_answer(found, lookup.lifetime_s(state))
        send_json(request, 200, content)


def send_json(
    request: requests.Request, status: int, content: dict[str, object]
) -> None:
    """Answers with a JSON body."""
    fields = [("content-type", "application/json")]
    request.answer.send_whole(status, fields, json.dumps(content).encode())


def deliver(request: requests.Request, answer: exchange.Response) -> None:
    """Passes a whole answer of a target on."""
    writer = request.answer
    writer.closing = writer.closing or not request.fully_read
    writer.begin(answer.status, answer.fields, answer.length)
    writer.write(answer.body)
    writer.finish()


def refuse(request: requests.Request, refusal: effects.Refuse) -> None:
    """Answers with a failure of this VM's own."""
    writer = request.answer
    writer.closing = writer.closing or not request.fully_read
    fields = [
        ("content-type", "application/problem+json"),
        *headers.retry_after(refusal.retry_after_s),
    ]
    content = {
        "status": refusal.status,
        "kind": refusal.kind,
        "detail": refusal.detail,
        "request_id": request.request_id,
    }
    writer.send_whole(refusal.status, fields, json.dumps(content).encode())
