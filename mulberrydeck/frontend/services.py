"""Serves requests below `/v1/services/`: decide, forward, retry, answer."""

from collections.abc import Callable

import attrs

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import exchange
from mulberrydeck.forward import hops
from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import arrivals
from mulberrydeck.frontend import bodies
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import parts as part_sets
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import progress as progresses
from mulberrydeck.frontend import requests
from mulberrydeck.observability import traces

# Refusals of the core that say less than the last VM's own refusal.
GENERIC_KINDS = frozenset(("no-capacity", "outcome-unknown"))

Checker = Callable[[requests.Request, part_sets.Parts], arrivals.Arrival]


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
        progress = progresses.begin(request, arrival, self.parts.tracer)
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
            progress.end_span()

    def _carry_out(
        self, progress: progresses.Progress, decision: gateways.Decision
    ) -> None:
        while not isinstance(decision, effects.Refuse):
            progress.account = decision.account
            attempt = self._attempt(progress, decision)
            ended = self._ended(progress, decision, attempt)
            if attempt.response_started or attempt.expired:
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
        self, progress: progresses.Progress, decision: progresses.Forward
    ) -> exchange.Attempt:
        span = progress.start_attempt_span()
        hop = self._hop(progress.outgoing, decision, span)
        attempt = None
        running = exchange.Exchange(self.parts.pool, hop, progress.request.body)
        try:
            attempt = running.run(progress.request.answer)
        finally:
            if attempt is None:
                self._cancelled(progress, decision, running)
            progresses.end_attempt_span(span, decision, attempt)
        progress.peer_problem = attempt.problem
        if attempt.outcome is outcomes.AttemptOutcome.UNKNOWN:
            progress.may_have_run = True
        return attempt

    def _cancelled(
        self,
        progress: progresses.Progress,
        decision: progresses.Forward,
        running: exchange.Exchange,
    ) -> None:
        """Tells the core what the target had answered when it was cut off."""
        progress.may_have_run |= running.upload.sent_any
        if running.response_started:
            ended = self._ended(progress, decision, running.answered())
            self.gateway.submit(ended)

    def _hop(
        self,
        outgoing: hops.OutgoingRequest,
        decision: progresses.Forward,
        span: traces.HopSpan | None,
    ) -> exchange.Hop:
        traceparent = outgoing.traceparent
        if span is not None:
            traceparent = span.traceparent()
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
        self,
        progress: progresses.Progress,
        decision: progresses.Forward,
        attempt: exchange.Attempt,
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
            replayable=replayable
            and not attempt.response_started
            and not attempt.expired,
        )

    def _finish(
        self, progress: progresses.Progress, attempt: exchange.Attempt
    ) -> None:
        answer = progress.request.answer
        if answer.finished:
            self._count_answer(progress)
        elif attempt.response_started:
            self._refuse(progress, problems.ANSWER_BROKEN)
        else:
            self._refuse(progress, problems.deadline_exceeded(progress.ran))

    def _count_answer(self, progress: progresses.Progress) -> None:
        if progress.is_relayed:
            return
        taken_s = self.gateway.now_s() - progress.event.at_s
        self.parts.metrics.responded(
            progress.event.service, progress.account, taken_s
        )

    def _refuse(
        self, progress: progresses.Progress, problem: errors.Problem
    ) -> None:
        if not progress.is_relayed:
            self.parts.metrics.refused(problem.kind, progress.account)
        progress.request.refuse(problem)


def _load_small_body(request: requests.Request) -> None:
    body = request.body
    if body is None or body.length is None:
        return
    small = body.length <= bodies.MAX_REPLAY_BYTES
    if small and not requests.expects_continue(request.head):
        body.load()
