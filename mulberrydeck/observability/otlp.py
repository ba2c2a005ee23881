"""Encodes spans as OTLP protobuf."""

from collections.abc import Mapping
from collections.abc import Sequence

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
from opentelemetry.proto.common.v1 import common_pb2
from opentelemetry.proto.trace.v1 import trace_pb2
from opentelemetry.sdk import trace as sdk_trace

_SPAN_ID_BYTES = 8
_TRACE_ID_BYTES = 16


def encode(spans: Sequence[sdk_trace.ReadableSpan]) -> bytes:
    """Returns an export request for spans of one resource.

    Args:
        spans: Finished spans, at least one.
    """
    request = trace_service_pb2.ExportTraceServiceRequest()
    resource_spans = request.resource_spans.add()
    resource_spans.resource.attributes.extend(
        _attributes(spans[0].resource.attributes)
    )
    scope_spans = resource_spans.scope_spans.add()
    scope_spans.scope.name = spans[0].instrumentation_scope.name
    scope_spans.spans.extend([_span(span) for span in spans])
    return request.SerializeToString()


def _span(span: sdk_trace.ReadableSpan) -> trace_pb2.Span:
    context = span.context
    parent_id = b""
    if span.parent is not None:
        parent_id = span.parent.span_id.to_bytes(_SPAN_ID_BYTES, "big")
    return trace_pb2.Span(
        trace_id=context.trace_id.to_bytes(_TRACE_ID_BYTES, "big"),
        span_id=context.span_id.to_bytes(_SPAN_ID_BYTES, "big"),
        parent_span_id=parent_id,
        name=span.name,
        # The SDK counts kinds from 0 (internal), the protocol from 1.
        kind=span.kind.value + 1,
        start_time_unix_nano=span.start_time,
        end_time_unix_nano=span.end_time,
        attributes=_attributes(span.attributes),
    )


def _attributes(values: Mapping[str, object]) -> list[common_pb2.KeyValue]:
    return [
        common_pb2.KeyValue(key=name, value=_value(value))
        for name, value in values.items()
    ]


def _value(value: object) -> common_pb2.AnyValue:
    match value:
        case bool():
            return common_pb2.AnyValue(bool_value=value)
        case int():
            return common_pb2.AnyValue(int_value=value)
        case float():
            return common_pb2.AnyValue(double_value=value)
        case _:
            return common_pb2.AnyValue(string_value=str(value))
