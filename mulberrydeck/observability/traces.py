"""Tracing with one span per hop and W3C trace context propagation."""

import re

from opentelemetry import context as contexts
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.trace.propagation import tracecontext

from mulberrydeck.observability import exporting
from mulberrydeck.settings import declarations

_TRACEPARENT = re.compile(
    r"[0-9a-f]{2}(-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2})"
)
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_NO_CONTEXT = contexts.Context()


class HopSpan:
    """Span of a request on this VM, or of one attempt.

    Attributes:
        span: The span of the SDK.
    """

    def __init__(self, tracer: trace.Tracer, span: trace.Span) -> None:
        self.tracer = tracer
        self.span = span

    def child(self, name: str, kind: trace.SpanKind) -> "HopSpan":
        """Starts a child span.

        Args:
            name: Name of the span.
            kind: Kind of the span.
        """
        parent = trace.set_span_in_context(self.span, _NO_CONTEXT)
        span = self.tracer.start_span(name, context=parent, kind=kind)
        return HopSpan(self.tracer, span)

    def traceparent(self) -> str:
        """Returns the W3C `traceparent` value for the next hop."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(self.span, _NO_CONTEXT)
        _PROPAGATOR.inject(carrier, context)
        return carrier.get("traceparent", "")

    def end(self, **attributes: str | int | float) -> None:
        """Ends the span.

        Args:
            **attributes: Attributes, recorded with the prefix `mulberrydeck.`.
        """
        for name, value in attributes.items():
            self.span.set_attribute(f"mulberrydeck.{name}", value)
        self.span.end()


class Tracer:
    """Starts spans, or does nothing if tracing is disabled.

    Attributes:
        enabled: Whether spans are recorded.
        exporter: Exporter of finished spans; None if tracing is disabled.
    """

    def __init__(self, settings: declarations.Settings) -> None:
        """Configures tracing from the settings.

        Args:
            settings: Settings of this VM.
        """
        self.exporter = exporting.make(settings)
        self.enabled = self.exporter is not None
        self.tracer: trace.Tracer | None = None
        if self.exporter is not None:
            self.tracer = self._provider(settings).get_tracer("mulberrydeck")

    def start(self) -> None:
        """Starts exporting."""
        if self.exporter is not None:
            self.exporter.start()

    def stop(self) -> None:
        """Exports the queued spans and stops."""
        if self.exporter is not None:
            self.exporter.stop()

    def request(self, name: str, traceparent: str) -> HopSpan | None:
        """Starts the span of a request; returns None if tracing is disabled.

        Args:
            name: Name of the span.
            traceparent: W3C `traceparent` value as received, or empty.
        """
        if self.tracer is None:
            return None
        carrier = {"traceparent": traceparent}
        parent = _PROPAGATOR.extract(carrier, _NO_CONTEXT)
        span = self.tracer.start_span(
            name, context=parent, kind=trace.SpanKind.SERVER
        )
        return HopSpan(self.tracer, span)

    def _provider(
        self, settings: declarations.Settings
    ) -> sdk_trace.TracerProvider:
        resource = resources.Resource(
            {
                "service.name": "mulberrydeck",
                "service.instance.id": settings.name,
                "cloud.availability_zone": settings.zone,
            }
        )
        provider = sdk_trace.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        provider.add_span_processor(self.exporter)
        return provider


def valid_traceparent(traceparent: str) -> str:
    """Returns a `traceparent` value if it is well-formed, else empty."""
    matched = _TRACEPARENT.fullmatch(traceparent)
    return traceparent if matched is not None else ""
