"""Handling of requests below `/v1/services/`."""

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
from mulberrydeck.frontend import dependencies as dependency_sets
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import progress as progresses
from mulberrydeck.frontend import requests
from mulberrydeck.observability import traces

# Problem kinds of the core that give no specific cause. If the VM tried last
# refused with a problem of its own, that problem is returned instead.
GENERIC_KINDS = frozenset(("no-capacity", "outcome-unknown"))

Checker = Callable[
    [requests.Request, dependency_sets.Dependencies], arrivals.Arrival
]


class ServiceRequestHandler:
    """Forwards requests of callers or of relaying VMs, and retries them."""

    def __init__(
        self, dependencies: dependency_sets.Dependencies, check: Checker
    ) -> None:
        """Prepares a handler.

        Args:
            dependencies: Dependencies of request handling.
            check: Checks a request and returns its arrival.
        """
        self.dependencies = dependencies
        self.gateway = dependencies.gateway
        self.check = check
        self.secret = dependencies.settings.fleet_secret.encode()

    def serve(self, request: requests.Request) -> None:
        """Serves a request until it is complete.

        Args:
            request: A request below `/v1/services/`.

        Raises:
            requests.RefusedError: The request is refused before it reaches the
                core.
        """
        arrival = self.check(request, self.dependencies)
        progress = progresses.begin(request, arrival, self.dependencies.tracer)
        _load_small_body(request)
        try:
            decision = self.gateway.decide(arrival.event)
            self._run_attempts(progress, decision)
        except heads.BadRequestError:
            request.response.closing = True
            problem = attrs.evolve(problems.BAD_REQUEST, ran=progress.ran)
            self._refuse(progress, problem)
        finally:
            self.gateway.submit(
                events.RequestClosed(
                    self.gateway.now_s(), arrival.event.request_id
                )
            )
            progress.end_span()

    def _run_attempts(
        self, progress: progresses.Progress, decision: gateways.Decision
    ) -> None:
        while not isinstance(decision, effects.Refuse):
            progress.account = decision.account
            attempt = self._run_attempt(progress, decision)
            ended_event = self._attempt_ended(progress, decision, attempt)
            answered = attempt.outcome is outcomes.AttemptOutcome.ANSWERED
            if answered or attempt.response_started or attempt.expired:
                self.gateway.submit(ended_event)
                self._finish(progress, attempt)
                return
            decision = self.gateway.decide(ended_event)
        problem = decision.problem
        if progress.peer_problem and problem.kind in GENERIC_KINDS:
            problem = progress.peer_problem
        if progress.may_have_run:
            problem = attrs.evolve(problem, ran="unknown")
        progress.account = decision.account or progress.account
        self._refuse(progress, problem)

    def _run_attempt(
        self, progress: progresses.Progress, decision: progresses.Forward
    ) -> exchange.Attempt:
        span = progress.start_attempt_span()
        hop = self._hop(progress.outgoing, decision, span)
        attempt = None
        hop_exchange = exchange.Exchange(
            self.dependencies.pool, hop, progress.request.body
        )
        try:
            attempt = hop_exchange.run(progress.request.response)
        finally:
            if attempt is None:
                self._report_cancelled(progress, decision, hop_exchange)
            progresses.end_attempt_span(span, decision, attempt)
        progress.peer_problem = attempt.problem
        if attempt.outcome is outcomes.AttemptOutcome.UNKNOWN:
            progress.may_have_run = True
        return attempt

    def _report_cancelled(
        self,
        progress: progresses.Progress,
        decision: progresses.Forward,
        hop_exchange: exchange.Exchange,
    ) -> None:
        """Reports a cancelled attempt to the core if it received a response."""
        progress.may_have_run |= hop_exchange.upload.sent_any
        if hop_exchange.response_started:
            ended_event = self._attempt_ended(
                progress, decision, hop_exchange.answered()
            )
            self.gateway.submit(ended_event)

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
                    self.dependencies.allow_bytes,
                )

    def _attempt_ended(
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
        response = progress.request.response
        if response.finished:
            self._count_response(progress)
        elif attempt.response_started:
            self._refuse(progress, problems.ANSWER_BROKEN)
        elif attempt.outcome is outcomes.AttemptOutcome.ANSWERED:
            self._refuse(progress, problems.answer_withheld(attempt.status))
        else:
            self._refuse(progress, problems.deadline_exceeded(progress.ran))

    def _count_response(self, progress: progresses.Progress) -> None:
        if progress.is_relayed:
            return
        elapsed_s = self.gateway.now_s() - progress.event.at_s
        self.dependencies.metrics.responded(
            progress.event.service, progress.account, elapsed_s
        )

    def _refuse(
        self, progress: progresses.Progress, problem: errors.Problem
    ) -> None:
        if not progress.is_relayed:
            self.dependencies.metrics.refused(problem.kind, progress.account)
        progress.request.refuse(problem)


def _load_small_body(request: requests.Request) -> None:
    body = request.body
    if body is None or body.length is None:
        return
    small = body.length <= bodies.MAX_REPLAY_BYTES
    if small and not requests.expects_continue(request.head):
        body.load()
