"""Serves callers' requests, lookups and readiness checks over HTTP."""

from collections.abc import Callable
import json
import random

import attrs
import gevent

from mulberrydeck.forward import budgets
from mulberrydeck.forward import pool as pools
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import listeners
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.platform import headers
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import attempts
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import exchange
from mulberrydeck.steering import lookup
from mulberrydeck.steering import progress as progresses
from mulberrydeck.steering import reporting
from mulberrydeck.steering import tables

# Bodies up to this size are read completely before a target is chosen, so that
# they can be sent again and a slow caller occupies no slot of a target.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024
# All such bodies of a VM; beyond this size, they are sent while they are read.
MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024
# All data of a VM that callers have not yet read: 64 responses of the largest
# size that is buffered. Beyond it, callers that do not read are reset.
MAX_TOTAL_UNSENT_BYTES = 16 * 1024 * 1024
# All callers of a region may connect at the same time.
LISTEN_BACKLOG = 512
# While stopping, interval between checks whether requests are in progress.
STOP_POLL_INTERVAL_S = 0.02
# Time for the first request on connections accepted just before a stop.
FIRST_REQUEST_GRACE_S = 0.25


class Listener(listeners.HttpListener):
    """An HTTP listener that passes each request to a function.

    Attributes:
        handle_request: Responds to one request.
        may_pipeline: Returns whether a safe request without body may be
            handled while earlier ones of its connection are in progress.
    """

    def __init__(
        self,
        address: str,
        handle_request: Callable[[requests.Request], None],
        may_pipeline: Callable[[heads.RequestHead], bool] | None = None,
    ) -> None:
        """Initializes a listener.

        Args:
            address: `ip:port` to listen on.
            handle_request: Responds to one request.
            may_pipeline: Returns whether a safe request without body may be
                handled while earlier ones of its connection are in progress;
                None for no request.
        """
        super().__init__(address, LISTEN_BACKLOG)
        self.handle_request = handle_request
        if may_pipeline is not None:
            self.may_pipeline = may_pipeline

    def finish(self, until_s: float, now_s: Callable[[], float]) -> None:
        """Waits for requests in progress and closes idle connections.

        Greenlets that became ready by `until_s` still run, so that a process
        that was paused writes the responses that are ready when it resumes.

        Args:
            until_s: When to stop waiting, in seconds.
            now_s: Clock of the process, in seconds.
        """
        expired = False
        while not expired and (self.in_flight or self.open_connections):
            self.close_idle()
            expired = now_s() >= until_s
            gevent.sleep(STOP_POLL_INTERVAL_S)


@attrs.frozen(eq=False)
class Arrival:
    """A request in progress.

    Attributes:
        request: The request.
        arrived_s: When its head was read, in seconds.
    """

    request: requests.Request
    arrived_s: float


@attrs.define(eq=False)
class CallerRequestHandler:
    """Forwards callers' requests to targets.

    Attributes:
        loop: Event loop of this VM.
        pool: Connections to targets.
        reports: Log lines and metrics of requests.
        body_budget: Memory of all bodies that are read ahead.
        response_budget: Memory of all buffered responses.
        unsent_budget: Memory of all data that callers have not yet read.
        in_progress: Requests in progress by identifier of their handling.
    """

    loop: event_loop.EventLoop
    pool: pools.ConnectionPool
    reports: reporting.Reports
    body_budget: budgets.ByteBudget = attrs.field(
        factory=lambda: budgets.ByteBudget(MAX_TOTAL_BODY_BYTES)
    )
    response_budget: budgets.ByteBudget = attrs.field(
        factory=lambda: budgets.ByteBudget(exchange.MAX_TOTAL_BUFFERED_BYTES)
    )
    unsent_budget: budgets.ByteBudget = attrs.field(
        factory=lambda: budgets.ByteBudget(MAX_TOTAL_UNSENT_BYTES)
    )
    in_progress: dict[str, Arrival] = attrs.field(factory=dict)

    def serve(self, request: requests.Request) -> None:
        """Serves a caller's request until it is complete."""
        arrived_s = self.loop.now_s()
        self.in_progress[request.handling_id] = Arrival(request, arrived_s)
        try:
            self._serve(request, arrived_s)
        finally:
            del self.in_progress[request.handling_id]

    def may_pipeline(self, head: heads.RequestHead) -> bool:
        """Returns whether the route of a request allows to repeat it."""
        table = self.loop.state.table
        if table is None:
            return False
        path = head.target.partition("?")[0]
        route = table.route_of(head.index.get("host", ""), path)
        if route is None:
            return False
        return route.repeatability is tables.Repeatability.SAFE

    def report_unfinished(self) -> None:
        """Logs each request that the end of the process cuts off."""
        now_s = self.loop.now_s()
        for handling_id, arrival in self.in_progress.items():
            placed = self.loop.state.requests.get(handling_id)
            target = None if placed is None else placed.target
            self.reports.request_cut_off(
                arrival.request,
                now_s - arrival.arrived_s,
                "" if target is None else target.entry.name,
            )

    def _serve(self, request: requests.Request, arrived_s: float) -> None:
        caller_fields = headers.parse_caller_fields(request.head)
        request.request_id = caller_fields.attempt_id or request.handling_id
        with self.body_budget.reserve() as read_ahead:
            if request.body is not None:
                with read_ahead.wait_for_peer(request.connection.reset_sender):
                    request.body.read_ahead(MAX_BUFFERED_BODY_BYTES, read_ahead)
            event = events.RequestArrived(
                # The body took time; the reducer's time must not go back.
                at_s=self.loop.now_s(),
                request_id=request.handling_id,
                host=caller_fields.host,
                path=request.path,
                key=caller_fields.key,
                object_key=caller_fields.object_key,
                timeout_s=caller_fields.timeout_s,
                body_bytes=request.head.length or 0,
                arrived_s=arrived_s,
            )
            self._decide(request, caller_fields, event)

    def _decide(
        self,
        request: requests.Request,
        caller_fields: headers.CallerFields,
        event: events.RequestArrived,
    ) -> None:
        progress = progresses.Progress()
        try:
            with self.response_budget.reserve() as buffered:
                self._run_attempts(
                    request, caller_fields, event, progress, buffered
                )
        except heads.BadRequestError:
            # The body proved malformed while it was sent.
            progress.decision = refuse_malformed(request, event.request_id)
        finally:
            self.loop.submit(
                events.RequestClosed(self.loop.now_s(), event.request_id)
            )
            elapsed_s = self.loop.now_s() - event.arrived_s
            self.reports.request_ended(request, progress, elapsed_s)

    def _run_attempts(
        self,
        request: requests.Request,
        caller_fields: headers.CallerFields,
        event: events.RequestArrived,
        progress: progresses.Progress,
        buffered: budgets.Reservation,
    ) -> None:
        forwarded_fields = headers.encode_forwarded_fields(request.head)
        decision = self.loop.decide(event)
        attempt: attempts.Attempt | None = None
        while isinstance(decision, effects.Forward):
            progress.last_forward = decision
            hop = self._hop(
                request, caller_fields, forwarded_fields, decision, progress
            )
            # The response of an earlier attempt is no longer needed.
            buffered.release()
            target_exchange = exchange.TargetExchange(
                self.pool, hop, request.body, self.loop.now_s, buffered
            )
            attempt = target_exchange.run(request.response)
            progress.attempt_ended(decision, attempt)
            self.reports.attempt_ended(request, decision, attempt)
            ended_event = self._attempt_ended(request, decision, attempt)
            if attempt.response_started:
                self.loop.submit(ended_event)
                break
            decision = self.loop.decide(ended_event)
        match decision:
            case effects.Deliver():
                send_buffered_response(request, attempt.response)
            case effects.Refuse():
                refuse(request, decision)
        progress.decision = decision

    def _hop(
        self,
        request: requests.Request,
        caller_fields: headers.CallerFields,
        forwarded_fields: str,
        decision: effects.Forward,
        progress: progresses.Progress,
    ) -> attempts.Hop:
        head = request.head
        fields = headers.encode_target_fields(
            forwarded_fields,
            caller_fields.host,
            decision.target,
            decision.account,
            decision.deadline_s - self.loop.now_s(),
        )
        framing = ""
        if head.chunked:
            framing = "transfer-encoding: chunked\r\n"
        elif head.length is not None:
            framing = f"content-length: {head.length}\r\n"
        text = f"{head.method} {head.target} HTTP/1.1\r\n{fields}{framing}\r\n"
        return attempts.Hop(
            address=decision.address,
            head=text.encode("latin-1"),
            method=head.method,
            attempt_id=caller_fields.attempt_id,
            deadline_s=decision.deadline_s,
            repeatable=decision.repeatable,
            send_by_s=decision.send_by_s,
            fresh=decision.address in progress.addresses,
        )

    def _attempt_ended(
        self,
        request: requests.Request,
        decision: effects.Forward,
        attempt: attempts.Attempt,
    ) -> events.AttemptEnded:
        body = request.body
        return events.AttemptEnded(
            at_s=self.loop.now_s(),
            request_id=decision.request_id,
            outcome=attempt.outcome,
            status=attempt.status,
            reported_load=attempt.reported_load,
            replayable=body is None or body.replayable,
            leaving=attempt.leaving,
            pause_s=attempt.pause_s,
            reason=attempt.reason,
            reported_speed=attempt.reported_speed,
        )


@attrs.define(eq=False)
class LookupHandler:
    """Responds to lookups and readiness checks.

    Attributes:
        loop: Event loop of this VM.
        rng: Random number generator of the lists. That of the state belongs to
            the reducer, whose results must not depend on lookups.
    """

    loop: event_loop.EventLoop
    rng: random.Random = attrs.field(factory=random.Random)

    def serve(self, request: requests.Request) -> None:
        """Responds to a lookup or a readiness check."""
        state = self.loop.state
        match request.path:
            case headers.READINESS_PATH:
                ready = lookup.is_ready(state)
                send_json(request, 200 if ready else 503, {"ready": ready})
            case headers.LOOKUP_PATH:
                self._respond_to_lookup(request)
            case _:
                send_json(request, 404, {"detail": "No such path."})

    def _respond_to_lookup(self, request: requests.Request) -> None:
        _, region, zone = headers.parse_lookup_query(request.query)
        state = self.loop.state
        now_s = self.loop.now_s()
        addresses = lookup.addresses(state, now_s, region, zone, self.rng)
        if not addresses:
            send_json(request, 503, {"detail": "No VM is ready; ask another."})
            return
        content = headers.lookup_response(addresses, lookup.lifetime_s(state))
        send_json(request, 200, content)


def send_json(
    request: requests.Request, status: int, content: dict[str, object]
) -> None:
    """Sends a response with a JSON body."""
    fields = [("content-type", "application/json")]
    request.response.send_complete(status, fields, json.dumps(content).encode())


def send_buffered_response(
    request: requests.Request, response: attempts.Response
) -> None:
    """Sends a target's response that was buffered until it was complete."""
    writer = request.response
    writer.closing = writer.closing or not request.fully_read
    writer.begin(response.status, response.fields, response.length)
    writer.write(response.body)
    writer.finish()


def refuse(request: requests.Request, refusal: effects.Refuse) -> None:
    """Sends an error response that this VM generates itself."""
    writer = request.response
    writer.closing = writer.closing or not request.fully_read
    fields = [
        ("content-type", "application/problem+json"),
        *headers.retry_after_fields(refusal.retry_after_s),
    ]
    content = {
        "status": refusal.status,
        "kind": refusal.kind,
        "detail": refusal.detail,
        "request_id": request.request_id,
    }
    writer.send_complete(refusal.status, fields, json.dumps(content).encode())


def refuse_malformed(
    request: requests.Request, request_id: str
) -> effects.Refuse:
    """Refuses a malformed request of which a part was sent to a target.

    Args:
        request: The request.
        request_id: Identifier of its handling.
    """
    problem = attrs.evolve(problems.BAD_REQUEST, ran="unknown")
    request.response.closing = True
    request.refuse(problem)
    return effects.Refuse(
        request_id, problem.status, problem.kind, problem.detail
    )
