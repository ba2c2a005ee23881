"""Serves requests below `/v1/services/`: decide, forward, retry, answer."""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import exchange
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import hops
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward import relaying
from mulberrydeck.frontend import bodies
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import paths
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests


@attrs.define(eq=False)
class Progress:
    """What became of a request so far.

    Attributes:
        outgoing: The request as it is sent on.
        may_have_run: Whether an attempt had an unknown outcome.
    """

    outgoing: hops.Outgoing
    may_have_run: bool = False

    @property
    def ran(self) -> str:
        """What a refusal may say of the request: `no` or `unknown`."""
        return "unknown" if self.may_have_run else "no"


class ServiceRequests:
    """Serves requests from callers or from relaying VMs."""

    def __init__(
        self,
        gateway: gateways.Gateway,
        pool: pools.ConnectionPool,
        fleet_secret: str,
    ) -> None:
        """Wires the parts.

        Args:
            gateway: Entry to the core.
            pool: Connections to targets and other VMs.
            fleet_secret: Secret that authenticates relayed requests.
        """
        self.gateway = gateway
        self.pool = pool
        self.secret = fleet_secret.encode()

    def serve_caller(self, request: requests.Request) -> None:
        """Serves a caller's request.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        head = request.head
        secrets_seen = requests.presented_secrets(head)
        requests.check_target(head.target, secrets_seen)
        request_id = requests.identifier_of(head, requests.REQUEST_ID_FIELD)
        request.request_id = request_id or request.handling_id
        split = paths.split(request.path, request.query)
        arrived = events.RequestArrived(
            at_s=self.gateway.now_s(),
            request_id=request.handling_id,
            service=split.service,
            method=head.method,
            path=split.routed,
            key=requests.key_of(head),
            run_id=requests.identifier_of(head, requests.RUN_ID_FIELD),
            deadline_s=requests.deadline_of(head),
        )
        self._serve(request, split, arrived, secrets_seen)

    def serve_relayed(self, request: requests.Request) -> None:
        """Serves a request that another VM relays.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        head = request.head
        relay = self._relay_head(head)
        request.request_id = relay.request_id
        if relay.answer_link:
            request.answer.pace = lambda count: self.gateway.allow_bytes(
                relay.answer_link, count
            )
        split = paths.split(request.path, request.query)
        arrived = events.RequestArrived(
            at_s=self.gateway.now_s(),
            request_id=request.handling_id,
            service=split.service,
            method=head.method,
            path=split.routed,
            run_id=relay.run_id,
            deadline_s=relay.remaining_s,
            relayed_account=relay.account,
        )
        self._serve(request, split, arrived, ())

    def _relay_head(self, head: heads.RequestHead) -> relaying.RelayHead:
        value = head.index.get(relaying.FIELD, "")
        try:
            return relaying.decode(value, self.secret, head.method, head.target)
        except relaying.RelayAuthenticationError:
            raise requests.RefusedError(problems.RELAY_REJECTED) from None

    def _serve(
        self,
        request: requests.Request,
        split: paths.ServicePath,
        arrived: events.RequestArrived,
        secrets_seen: tuple[str, ...],
    ) -> None:
        outgoing = hops.Outgoing(
            method=request.head.method,
            path=split.forwarded,
            relay_path=request.head.target,
            lines=header_fields.encode(
                header_fields.of_request(request.head.fields, secrets_seen)
            ),
            framing=_framing(request.head),
            request_id=request.request_id,
            run_id=arrived.run_id,
        )
        _load_small_body(request)
        try:
            decision = self.gateway.decide(arrived)
            self._carry_out(request, Progress(outgoing), decision)
        finally:
            self.gateway.submit(
                events.RequestClosed(self.gateway.now_s(), arrived.request_id)
            )

    def _carry_out(
        self,
        request: requests.Request,
        progress: Progress,
        decision: gateways.Decision,
    ) -> None:
        while not isinstance(decision, effects.Refuse):
            if decision.remaining_s <= 0:
                request.refuse(problems.deadline_exceeded(progress.ran))
                return
            attempt = self._attempt(request, progress, decision)
            ended = self._ended(request, decision, attempt)
            if attempt.outcome is events.AttemptOutcome.UNKNOWN:
                progress.may_have_run = True
            if attempt.begun or attempt.expired:
                self.gateway.submit(ended)
                self._end(request, progress, attempt)
                return
            decision = self.gateway.decide(ended)
        problem = decision.problem
        if progress.may_have_run:
            problem = attrs.evolve(problem, ran="unknown")
        request.refuse(problem)

    def _attempt(
        self,
        request: requests.Request,
        progress: Progress,
        decision: effects.ForwardToTarget | effects.ForwardToVm,
    ) -> exchange.Attempt:
        match decision:
            case effects.ForwardToTarget():
                hop = hops.to_target(progress.outgoing, decision, "")
            case effects.ForwardToVm():
                hop = hops.to_vm(
                    progress.outgoing,
                    decision,
                    "",
                    self.secret,
                    self.gateway.allow_bytes,
                )
        return exchange.Exchange(self.pool, hop, request.body).run(
            request.answer
        )

    def _ended(
        self,
        request: requests.Request,
        decision: effects.ForwardToTarget | effects.ForwardToVm,
        attempt: exchange.Attempt,
    ) -> events.AttemptEnded:
        replayable = request.body is None or request.body.replayable
        return events.AttemptEnded(
            at_s=self.gateway.now_s(),
            request_id=decision.request_id,
            attempt=decision.attempt,
            outcome=attempt.outcome,
            status=attempt.status,
            latency_s=attempt.latency_s,
            replayable=replayable and not attempt.begun and not attempt.expired,
        )

    def _end(
        self,
        request: requests.Request,
        progress: Progress,
        attempt: exchange.Attempt,
    ) -> None:
        if request.answer.finished:
            return
        if request.answer.sent:
            request.wire.abort()
        elif attempt.expired:
            request.refuse(problems.deadline_exceeded(progress.ran))
        else:
            request.refuse(problems.ANSWER_BROKEN)


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
