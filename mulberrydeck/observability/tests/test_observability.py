"""Rendered metrics and exported traces."""

import json
import threading

import gevent.pywsgi
from opentelemetry import trace
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from mulberrydeck.core import gateway as gateways
from mulberrydeck.frontend.tests import fakes
from mulberrydeck.observability import exporting
from mulberrydeck.observability import fairness
from mulberrydeck.observability import metrics
from mulberrydeck.observability import traces

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def finish_request(tracer, traceparent=PARENT):
    span = tracer.request("GET permits", traceparent)
    attempt = span.child("attempt", trace.SpanKind.CLIENT)
    traceparent_sent = attempt.traceparent()
    attempt.end(outcome="answered", status=200)
    span.end(service="permits")
    return traceparent_sent


def test_rendered_metrics_contain_recorded_events():
    vm_metrics = metrics.Metrics()
    vm_metrics.responded("permits", "acme", 0.004)
    vm_metrics.responded("permits", "guides", 0.004)
    vm_metrics.refused("rate-limited", "acme")
    vm_metrics.relayed_bytes("a/b", 10)
    vm_metrics.peer_message("in", 19)
    vm_metrics.peer_malformed()
    vm_metrics.spans_dropped(2)
    vm_metrics.drained(1.5)
    vm_metrics.watch_in_flight("caller", lambda: 3)
    quota = gateways.QuotaStatus("account/acme", 4, 1, 2, 0.5)
    target = gateways.TargetStatus("t1", "permits", True, "ready", 1, 3)
    vm_metrics.set_status(
        gateways.Status(
            name="a1",
            zone="a",
            leaving=False,
            config_version=9,
            keys_version=2,
            platform_age_s=0.5,
            zone_holder="a1",
            peers=(),
            quotas=(quota,),
            targets=(target,),
        )
    )
    text = vm_metrics.render().decode()
    for line in (
        'request_seconds_count{service="permits"} 2.0',
        'refusals_total{account="acme",kind="rate-limited"} 1.0',
        'link_bytes_total{link="a/b"} 10.0',
        'requests_in_flight{server="caller"} 3.0',
        'lease_units{part="lent",resource="account/acme"} 1.0',
        "worst_account_served_ratio 0.5",
        "config_version 9.0",
        "drain_seconds_count 1.0",
        "trace_spans_dropped_total 2.0",
    ):
        assert f"mulberrydeck_{line}\n" in text


def test_the_lowest_served_ratio_omits_old_intervals():
    now_s = [0.0]
    served_ratios = fairness.ServedRatios(lambda: now_s[0])
    served_ratios.refused("acme")
    assert served_ratios.lowest() == 0.0
    now_s[0] = fairness.INTERVAL_S
    served_ratios.served("acme")
    assert served_ratios.lowest() == 0.5
    now_s[0] = 4 * fairness.INTERVAL_S
    assert served_ratios.lowest() == 1.0


def test_spans_continue_the_callers_trace(tmp_path):
    path = tmp_path / "trace"
    tracer = traces.Tracer(fakes.settings(trace_path=str(path)))
    threads = threading.active_count()
    tracer.start()
    traceparent_sent = finish_request(tracer)
    tracer.stop()
    child, parent = [json.loads(line) for line in path.open()]
    assert traceparent_sent.split("-")[1] == PARENT.split("-")[1]
    assert child["context"]["span_id"] == f"0x{traceparent_sent.split('-')[2]}"
    assert child["parent_id"] == parent["context"]["span_id"]
    assert parent["parent_id"] == "0xb7ad6b7169203331"
    assert threading.active_count() == threads


def test_spans_are_posted_as_otlp():
    bodies = []

    def collect(environ, start_response):
        bodies.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "0")])
        return []

    collector = gevent.pywsgi.WSGIServer(
        ("127.0.0.1", 0), collect, log=None, environ={"SERVER_NAME": "otlp"}
    )
    collector.start()
    url = f"http://127.0.0.1:{collector.server_port}/v1/traces"
    tracer = traces.Tracer(fakes.settings(otlp_url=url))
    finish_request(tracer)
    tracer.stop()
    collector.stop(timeout=0)
    request = trace_service_pb2.ExportTraceServiceRequest.FromString(bodies[0])
    spans = request.resource_spans[0].scope_spans[0].spans
    assert [span.name for span in spans] == ["attempt", "GET permits"]
    assert spans[0].parent_span_id == spans[1].span_id
    assert tracer.exporter.dropped == 0


def test_spans_are_dropped_and_counted_when_full_or_refused():
    tracer = traces.Tracer(fakes.settings(otlp_url="http://127.0.0.1:1/"))
    drops = []
    tracer.exporter.on_drop = drops.append
    for _ in range(exporting.MAX_QUEUED_SPANS):
        finish_request(tracer, "")
    assert len(tracer.exporter.queue) == exporting.MAX_QUEUED_SPANS
    assert sum(drops) == exporting.MAX_QUEUED_SPANS
    tracer.stop()
    assert sum(drops) == 2 * exporting.MAX_QUEUED_SPANS


def test_tracing_is_disabled_without_a_destination():
    tracer = traces.Tracer(fakes.settings())
    assert tracer.request("GET permits", PARENT) is None
    assert traces.valid_traceparent(PARENT) == PARENT
    assert traces.valid_traceparent("mdk_0123456789") == ""
