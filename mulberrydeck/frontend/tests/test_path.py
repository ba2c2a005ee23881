"""Requests from a caller to a target and back, and responses of the VM."""

import json

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-One: 1\r\n\r\nhello"


def test_a_request_is_forwarded_and_its_response_returned(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway)
    request = fakes.get_request(
        "/v1/services/s/x?q=1",
        "Mulberrydeck-Key: mdk_secret12",
        "Connection: close",
    )
    response = fakes.exchange(caller.address, request)
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert b"x-one: 1" in head
    assert body == b"hello"
    received = target.requests[0]
    assert received.startswith(b"GET /x?q=1 HTTP/1.1\r\n")
    assert b"mulberrydeck-account: acme" in received
    assert b"mdk_" not in received
    arrived = gateway.arrived()[0]
    assert (arrived.service, arrived.path) == ("s", "/x")
    assert arrived.key == "mdk_secret12"
    assert gateway.ended()[0].outcome is outcomes.AttemptOutcome.ANSWERED
    assert isinstance(gateway.events[-1], events.RequestClosed)


def test_refuses_with_problem_details(serve):
    limited = effects.Refuse("", fakes.NO_TARGET, "acme")
    caller = serve(fakes.FakeGateway(limited))
    response = fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    metrics = caller.dependencies.metrics.render()
    assert b'refusals_total{account="acme",kind="no-target"} 1.0' in metrics
    assert b"worst_account_served_ratio 0.0" in metrics
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"content-type: application/problem+json" in head
    assert b"mulberrydeck-ran: no" in head
    assert b"retry-after: 2" in head
    problem = json.loads(body)
    assert (problem["kind"], problem["ran"]) == ("no-target", "no")


class BusyGateway(fakes.FakeGateway):
    """A gateway whose links have no quota."""

    def allow_bytes(self, link, count):
        raise errors.LinkBusyError(f"{link} has no quota.")


def test_relays_through_another_vm(serve, targets):
    target = targets(OK)
    second = fakes.FakeGateway(fakes.to_target(target.address))
    relay = serve(second, server.RelayServer)
    first = fakes.FakeGateway(fakes.to_vm(relay.address, link="r1/r2"))
    caller = serve(first)
    request = fakes.get_request(
        "/v1/services/s/x",
        "Mulberrydeck-Request-Id: abc",
        "Mulberrydeck-Run-Id: fee-1",
        "Connection: close",
    )
    response = fakes.exchange(caller.address, request)
    assert response.endswith(b"\r\n\r\nhello")
    arrived = second.arrived()[0]
    assert (arrived.relayed_account, arrived.run_id) == ("acme", "fee-1")
    assert arrived.relayed_attempt == 1
    assert b"mulberrydeck-request-id: abc\r\n" in target.requests[0]
    assert b"mulberrydeck-run-id: fee-1\r\n" in target.requests[0]
    assert first.pacing_calls[0][0] == "r1/r2"
    assert second.pacing_calls[0][0] == "r2/r1"
    counted = b'request_seconds_count{service="s"} 1.0'
    assert counted in caller.dependencies.metrics.render()
    assert counted not in relay.dependencies.metrics.render()


def test_a_link_without_quota_ends_the_response_and_frees_the_slot(
    serve, targets
):
    second = BusyGateway(fakes.to_target(targets(OK).address))
    relay = serve(second, server.RelayServer)
    hop = fakes.to_vm(relay.address, link="r1/r2")
    first = fakes.FakeGateway(hop, fakes.refuse())
    request = fakes.get_request("/v1/services/s/x", "Connection: close")
    response = fakes.exchange(serve(first).address, request)
    assert first.ended()[0].outcome is outcomes.AttemptOutcome.UNKNOWN
    assert b"mulberrydeck-ran: unknown" in response
    assert second.closed.wait(fakes.WAIT_S)
    assert isinstance(second.events[-1], events.RequestClosed)


def test_retries_on_the_next_decision(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(
        fakes.to_target("127.0.0.1:1"), fakes.to_target(target.address)
    )
    caller = serve(gateway)
    post = (
        b"POST /v1/services/s/x HTTP/1.1\r\nHost: vm\r\nContent-Length: 4\r\n"
        b"Connection: close\r\n\r\nbody"
    )
    assert fakes.exchange(caller.address, post).endswith(b"hello")
    assert target.requests[0].endswith(b"\r\n\r\nbody")
    first, second = gateway.ended()
    assert first.outcome is outcomes.AttemptOutcome.NOT_RUN
    assert first.replayable
    assert (second.attempt, second.status) == (2, 200)


def test_a_lookup_returns_entry_vms(serve):
    gateway = fakes.FakeGateway()
    caller = serve(gateway)
    response = fakes.exchange(
        caller.address,
        fakes.get_request(
            "/v1/lookup?service=s&from=zone-a", "Connection: close"
        ),
    )
    body = json.loads(response.partition(b"\r\n\r\n")[2])
    assert body["vms"][0]["name"] == "a1"
    assert gateway.events[0].place == "zone-a"


def test_the_outcome_of_a_single_run_is_returned(serve):
    gateway = fakes.FakeGateway()
    gateway.outcome = gateways.RunOutcome("finished", 201)
    caller = serve(gateway)
    lines = ("Mulberrydeck-Key: mdk_secret12", "Connection: close")
    request = fakes.get_request("/v1/runs/fee-1", *lines)
    body = fakes.exchange(caller.address, request).partition(b"\r\n\r\n")[2]
    assert json.loads(body) == {"state": "finished", "status": 201}
    assert gateway.events == [("mdk_secret12", "fee-1")]
    gateway.outcome = fakes.NO_TARGET
    assert fakes.exchange(caller.address, request).startswith(b"HTTP/1.1 503 ")
    post = fakes.get_request("/v1/lookup", *lines).replace(b"GET", b"POST")
    assert b'"kind": "method-not-allowed"' in fakes.exchange(
        caller.address, post
    )
    unknown = fakes.get_request("/v2", *lines)
    assert b'"kind": "not-found"' in fakes.exchange(caller.address, unknown)
