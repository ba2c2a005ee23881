"""State and trace spans of requests in progress."""

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
    """State of a request in progress.

    Attributes:
        request: The request.
        event: Event that reported its arrival to the core.
        outgoing: Parts of the request that all of its attempts share.
        span: Trace span of the request; None if tracing is off.
        account: Client account; empty until the core determined it.
        may_have_run: Whether an attempt had an unknown outcome.
        peer_problem: Problem details with which another VM refused the last
            attempt, or None.
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
        """Whether another VM relayed it; only that VM counts it in metrics."""
        return self.event.relayed_account is not None

    @property
    def ran(self) -> str:
        """Value of `ran` in a refusal of the request: `no` or `unknown`."""
        return "unknown" if self.may_have_run else "no"

    def start_attempt_span(self) -> traces.HopSpan | None:
        """Starts the span of an attempt; None if tracing is off."""
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
            status=self.request.response.status,
            whole=self.request.response.finished,
        )


def begin(
    request: requests.Request, arrival: arrivals.Arrival, tracer: traces.Tracer
) -> Progress:
    """Returns the progress of a request that has just arrived.

    Args:
        request: The request.
        arrival: The checked request.
        tracer: Creates its span.
    """
    event = arrival.event
    traceparent = request.head.index.get("traceparent", "")
    span = tracer.request(f"{event.method} {event.service}", traceparent)
    return Progress(request, event, _outgoing(request, arrival), span)


def end_attempt_span(
    span: traces.HopSpan | None,
    decision: Forward,
    attempt: exchange.Attempt | None,
) -> None:
    """Ends the span of an attempt.

    Args:
        span: The span, or None if tracing is off.
        decision: Destination of the attempt.
        attempt: Result of the attempt; None if it was cancelled.
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
    forwarded_fields = header_fields.filter_request(
        head.fields, arrival.presented_keys
    )
    request_start = ""
    if arrival.event.relayed_account is not None:
        request_start = head.index.get(header_fields.REQUEST_START, "")
    return hops.OutgoingRequest(
        method=head.method,
        path=arrival.service_path.forwarded,
        relay_path=head.target,
        header_lines=header_fields.encode(forwarded_fields),
        framing_line=_framing(head),
        request_id=request.request_id,
        run_id=arrival.event.run_id,
        traceparent=traces.valid_traceparent(head.index.get("traceparent", "")),
        request_start=request_start,
    )


def _framing(head: heads.RequestHead) -> str:
    if head.chunked:
        return "transfer-encoding: chunked\r\n"
    if head.length is None:
        return ""
    return f"content-length: {head.length}\r\n"
