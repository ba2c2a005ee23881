"""Serves requests below `/v1/services/`: decide, forward, retry, answer."""

from collections.abc import Callable

import attrs
from opentelemetry import trace

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import exchange
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import hops
from mulberrydeck.frontend import arrivals
from mulberrydeck.frontend import bodies
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import parts as part_sets
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.observability import traces

# Refusals of the core that say less than the last VM's own refusal.
GENERIC_KINDS = frozenset(("no-capacity", "outcome-unknown"))

Forward = effects.ForwardToTarget | effects.ForwardToVm
Checker = Callable[[requests.Request, part_sets.Parts], arrivals.Arrival]


@attrs.define(eq=False)
class Progress:
    """A request and what became of it so far.

    Attributes:
        request: The request.
        event: What the core was told of its arrival.
        outgoing: The request as it is sent on.
        span: Trace span of the request, or None.
        account: Client account, once the core has named it.
        may_have_run: Whether an attempt had an unknown outcome.
        peer_problem: Refusal that another VM gave to the last attempt.
    """

    request: requests.Request
    event: events.RequestArrived
    outgoing: hops.Outgoing
    span: traces.HopSpan | None = None
    account: str = ""
    may_have_run: bool = False
    peer_problem: errors.Problem | None = None

    @property
    def is_relayed(self) -> bool:
        """Whether another VM sent it, which counts it in its metrics."""
        return self.event.relayed_account is not None

    @property
    def ran(self) -> str:
        """What a refusal may say of the request: `no` or `unknown`."""
        return "unknown" if self.may_have_run else "no"


class ServiceRequests:
    """Serves requests of callers or of relaying VMs."""

    def __init__(self, parts: part_sets.Parts, check: Checker) -> None:
        """Wires the parts.

        Args:
            parts: Parts of this VM.
            check: Turns a request into an arrival.
        """
        self.parts = parts
        self.gateway = parts.gateway
        self.check = check
        self.secret = parts.settings.fleet_secret.encode()

    def serve(self, request: requests.Request) -> None:
        """Serves a request to its end.

        Args:
            request: A request below `/v1/services/`.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        arrival = self.check(request, self.parts)
        progress = Progress(
            request=request,
            event=arrival.event,
            outgoing=_outgoing(request, arrival),
            span=self._start_span(request, arrival),
        )
        _load_small_body(request)
        try:
            decision = self.gateway.decide(arrival.event)
            self._carry_out(progress, decision)
        except heads.BadRequestError:
            request.answer.closing = True
            problem = attrs.evolve(problems.BAD_REQUEST, ran=progress.ran)
            self._refuse(progress, problem)
        finally:
            self.gateway.submit(
                events.RequestClosed(
                    self.gateway.now_s(), arrival.event.request_id
                )
            )
            _end_span(progress)

    def _carry_out(
        self, progress: Progress, decision: gateways.Decision
    ) -> None:
        while not isinstance(decision, effects.Refuse):
            progress.account = decision.account
            if decision.remaining_s <= 0:
                self._refuse(progress, problems.deadline_exceeded(progress.ran))
                return
            attempt = self._attempt(progress, decision)
            ended = self._ended(progress, decision, attempt)
            if attempt.begun or attempt.expired:
                self.gateway.submit(ended)
                self._finish(progress, attempt)
                return
            decision = self.gateway.decide(ended)
        problem = decision.problem
        if progress.peer_problem and problem.kind in GENERIC_KINDS:
            problem = progress.peer_problem
        if progress.may_have_run:
            problem = attrs.evolve(problem, ran="unknown")
        progress.account = decision.account or progress.account
        self._refuse(progress, problem)

    def _attempt(
        self, progress: Progress, decision: Forward
    ) -> exchange.Attempt:
        span = None
        traceparent = progress.outgoing.traceparent
        if progress.span is not None:
            span = progress.span.child("attempt", trace.SpanKind.CLIENT)
            traceparent = span.traceparent()
        hop = self._hop(progress.outgoing, decision, traceparent)
        attempt = None
        running = exchange.Exchange(self.parts.pool, hop, progress.request.body)
        try:
            attempt = running.run(progress.request.answer)
        finally:
            if attempt is None:
                progress.may_have_run |= running.upload.sent_any
            if span is not None:
                _end_attempt_span(span, decision, attempt)
        progress.peer_problem = attempt.problem
        if attempt.outcome is events.AttemptOutcome.UNKNOWN:
            progress.may_have_run = True
        return attempt

    def _hop(
        self, outgoing: hops.Outgoing, decision: Forward, traceparent: str
    ) -> exchange.Hop:
        match decision:
            case effects.ForwardToTarget():
                return hops.to_target(outgoing, decision, traceparent)
            case effects.ForwardToVm():
                return hops.to_vm(
                    outgoing,
                    decision,
                    traceparent,
                    self.secret,
                    self.parts.allow_bytes,
                )

    def _ended(
        self, progress: Progress, decision: Forward, attempt: exchange.Attempt
    ) -> events.AttemptEnded:
        body = progress.request.body
        replayable = body is None or body.replayable
        return events.AttemptEnded(
            at_s=self.gateway.now_s(),
            request_id=decision.request_id,
            attempt=decision.attempt,
            outcome=attempt.outcome,
            status=attempt.status,
            latency_s=attempt.latency_s,
            replayable=replayable and not attempt.begun and not attempt.expired,
        )

    def _finish(self, progress: Progress, attempt: exchange.Attempt) -> None:
        answer = progress.request.answer
        if answer.finished:
            self._count_answer(progress)
        elif attempt.begun:
            self._refuse(progress, problems.ANSWER_BROKEN)
        else:
            self._refuse(progress, problems.deadline_exceeded(progress.ran))

    def _count_answer(self, progress: Progress) -> None:
        if progress.is_relayed:
            return
        taken_s = self.gateway.now_s() - progress.event.at_s
        self.parts.metrics.answered(
            progress.event.service, progress.account, taken_s
        )

    def _refuse(self, progress: Progress, problem: errors.Problem) -> None:
        if not progress.is_relayed:
            self.parts.metrics.refused(problem.kind, progress.account)
        progress.request.refuse(problem)

    def _start_span(
        self, request: requests.Request, arrival: arrivals.Arrival
    ) -> traces.HopSpan | None:
        received = request.head.index.get("traceparent", "")
        name = f"{arrival.event.method} {arrival.event.service}"
        return self.parts.tracer.request(name, received)


def _outgoing(
    request: requests.Request, arrival: arrivals.Arrival
) -> hops.Outgoing:
    head = request.head
    passed = header_fields.of_request(head.fields, arrival.secrets)
    return hops.Outgoing(
        method=head.method,
        path=arrival.split.forwarded,
        relay_path=head.target,
        lines=header_fields.encode(passed),
        framing=_framing(head),
        request_id=request.request_id,
        run_id=arrival.event.run_id,
        traceparent=traces.accepted(head.index.get("traceparent", "")),
    )


def _framing(head: heads.RequestHead) -> str:
    if head.chunked:
        return "transfer-encoding: chunked\r\n"
    if head.length is None:
        return ""
    return f"content-length: {head.length}\r\n"


def _load_small_body(request: requests.Request) -> None:
    body = request.body
    if body is None or body.length is None:
        return
    small = body.length <= bodies.MAX_REPLAY_BYTES
    if small and not requests.expects_continue(request.head):
        body.load()


def _end_span(progress: Progress) -> None:
    if progress.span is None:
        return
    progress.span.end(
        request_id=progress.request.request_id,
        service=progress.event.service,
        account=progress.account,
        status=progress.request.answer.status,
        whole=progress.request.answer.finished,
    )


def _end_attempt_span(
    span: traces.HopSpan, decision: Forward, attempt: exchange.Attempt | None
) -> None:
    outcome = "cancelled" if attempt is None else attempt.outcome.value
    span.end(
        address=decision.address,
        attempt=decision.attempt,
        outcome=outcome,
        status=0 if attempt is None else attempt.status,
    )
