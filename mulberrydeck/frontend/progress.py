"""A request on its way through this VM, with its trace spans."""

import attrs
from opentelemetry import trace

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.forward import exchange
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import hops
from mulberrydeck.frontend import arrivals
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import requests
from mulberrydeck.observability import traces

Forward = effects.ForwardToTarget | effects.ForwardToVm


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
    outgoing: hops.OutgoingRequest
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

    def start_attempt_span(self) -> traces.HopSpan | None:
        """Starts the span of an attempt; None when traces are off."""
        if self.span is None:
            return None
        return self.span.child("attempt", trace.SpanKind.CLIENT)

    def end_span(self) -> None:
        """Ends the span of the request."""
        if self.span is None:
            return
        self.span.end(
            request_id=self.request.request_id,
            service=self.event.service,
            account=self.account,
            status=self.request.answer.status,
            whole=self.request.answer.finished,
        )


def begin(
    request: requests.Request, arrival: arrivals.Arrival, tracer: traces.Tracer
) -> Progress:
    """Returns the progress of a request that has just arrived.

    Args:
        request: The request.
        arrival: What was checked of it.
        tracer: Starts its span.
    """
    event = arrival.event
    received = request.head.index.get("traceparent", "")
    span = tracer.request(f"{event.method} {event.service}", received)
    return Progress(request, event, _outgoing(request, arrival), span)


def end_attempt_span(
    span: traces.HopSpan | None,
    decision: Forward,
    attempt: exchange.Attempt | None,
) -> None:
    """Ends the span of an attempt.

    Args:
        span: The span, or None when traces are off.
        decision: Where the request was sent.
        attempt: How it ended; None if it was cancelled.
    """
    if span is None:
        return
    span.end(
        address=decision.address,
        attempt=decision.attempt,
        outcome="cancelled" if attempt is None else attempt.outcome.value,
        status=0 if attempt is None else attempt.status,
    )


def _outgoing(
    request: requests.Request, arrival: arrivals.Arrival
) -> hops.OutgoingRequest:
    head = request.head
    passed = header_fields.filter_request(head.fields, arrival.secrets)
    started = ""
    if arrival.event.relayed_account is not None:
        started = head.index.get(header_fields.REQUEST_START, "")
    return hops.OutgoingRequest(
        method=head.method,
        path=arrival.split.forwarded,
        relay_path=head.target,
        header_lines=header_fields.encode(passed),
        framing_line=_framing(head),
        request_id=request.request_id,
        run_id=arrival.event.run_id,
        traceparent=traces.valid_traceparent(head.index.get("traceparent", "")),
        request_start=started,
    )


def _framing(head: heads.RequestHead) -> str:
    if head.chunked:
        return "transfer-encoding: chunked\r\n"
    if head.length is None:
        return ""
    return f"content-length: {head.length}\r\n"
