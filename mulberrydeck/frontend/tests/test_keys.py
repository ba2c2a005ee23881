"""A caller's key does not leave the VM in any form."""

import io

import pytest

from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes
from mulberrydeck.observability import logs

KEY = "mdk_AbCdEfGhIjKlMnOpQrSt"
UNPREFIXED_KEY = "not-the-documented-form"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

HEADER_LINES = {
    "lower case": [f"mulberrydeck-key: {KEY}"],
    "upper case": [f"MULBERRYDECK-KEY: {KEY}"],
    "no space": [f"Mulberrydeck-Key:{KEY}"],
    "same twice": [f"Mulberrydeck-Key: {KEY}", f"mulberrydeck-KEY: {KEY}"],
    "underscores": [f"Mulberrydeck_Key: {KEY}"],
    "one underscore beside": [
        f"Mulberrydeck-Key: {KEY}",
        f"mulberrydeck_key: {KEY}",
    ],
    "bearer": [f"Authorization: Bearer {KEY}"],
    "cookie": [f"Mulberrydeck-Key: {KEY}", f"Cookie: a=b; k={KEY}"],
    "unprefixed key elsewhere": [
        f"Mulberrydeck-Key: {UNPREFIXED_KEY}",
        f"X-Forwarded-Key: {UNPREFIXED_KEY}",
    ],
    "unprefixed key with underscores": [
        f"mulberrydeck_key: {UNPREFIXED_KEY}",
        f"Referer: http://x/?k={UNPREFIXED_KEY}",
    ],
    "named in Connection": [
        f"Mulberrydeck-Key: {KEY}",
        "Connection: mulberrydeck-account, mulberrydeck-request-id",
    ],
    "trace state": [f"Mulberrydeck-Key: {KEY}", f"tracestate: k={KEY}"],
}


def contains_key(data):
    return KEY.encode() in data or UNPREFIXED_KEY.encode() in data


@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("case", HEADER_LINES)
def test_no_hop_receives_the_key(serve, targets, tmp_path, case, hops):
    target = targets(OK)
    address = target.address
    gateway = fakes.FakeGateway(fakes.to_target(address))
    trace = tmp_path / "trace"
    if hops == 2:
        relay = serve(gateway, server.RelayServer)
        relay_stand_in = targets(OK)
        direct = fakes.FakeGateway(fakes.to_vm(relay_stand_in.address))
        request = fakes.get_request("/v1/services/s/x", *HEADER_LINES[case])
        sock = fakes.connect(serve(direct).address)
        sock.sendall(request)
        assert sock.recv(9) == b"HTTP/1.1 "
        assert not contains_key(relay_stand_in.requests[0])
        gateway = fakes.FakeGateway(fakes.to_vm(relay.address))
    caller = serve(gateway, trace_path=str(trace))
    response = fakes.exchange(
        caller.address,
        fakes.get_request(
            "/v1/services/s/x", *HEADER_LINES[case], "Connection: close"
        ),
    )
    assert response.startswith(b"HTTP/1.1 200 OK")
    caller.dependencies.tracer.stop()
    assert trace.stat().st_size
    assert b"mulberrydeck-account: acme" in target.requests[0]
    assert not contains_key(target.requests[0] + response + trace.read_bytes())
    assert not contains_key(caller.dependencies.metrics.render())


def test_trailers_do_not_reach_the_target(serve, targets):
    target = targets(OK)
    caller = serve(fakes.FakeGateway(fakes.to_target(target.address)))
    request = (
        "POST /v1/services/s/x HTTP/1.1\r\nHost: vm\r\nTrailer: a\r\n"
        "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        f"2\r\nhi\r\n0\r\nMulberrydeck-Key: {KEY}\r\n\r\n"
    ).encode()
    assert fakes.exchange(caller.address, request).startswith(
        b"HTTP/1.1 200 OK"
    )
    assert target.requests[0].endswith(b"2\r\nhi\r\n0\r\n\r\n")
    assert not contains_key(target.requests[0])


@pytest.mark.parametrize(
    "path",
    [
        f"/v1/services/s/x?key={KEY}",
        f"/v1/services/s/x?key=mdk%5F{KEY[4:]}",
        f"/v1/services/s/{KEY}",
        f"/v1/services/s/x?k={UNPREFIXED_KEY}",
    ],
)
def test_a_key_in_the_url_is_refused(serve, path):
    gateway = fakes.FakeGateway(fakes.refuse())
    caller = serve(gateway)
    lines = (f"Mulberrydeck-Key: {UNPREFIXED_KEY}", "Connection: close")
    response = fakes.exchange(caller.address, fakes.get_request(path, *lines))
    assert b'"kind": "misplaced-key"' in response
    assert not contains_key(response)
    assert gateway.arrived() == []


def test_several_different_keys_are_refused(serve):
    caller = serve(fakes.FakeGateway(fakes.refuse()))
    lines = (f"Mulberrydeck-Key: {KEY}", f"Mulberrydeck-Key: {UNPREFIXED_KEY}")
    response = fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/x", *lines, "Connection: close"),
    )
    assert b'"kind": "ambiguous-key"' in response
    assert not contains_key(response)


def test_reserved_fields_of_a_caller_are_not_forwarded(serve, targets):
    target = targets(OK)
    caller = serve(fakes.FakeGateway(fakes.to_target(target.address)))
    forged = ("Account", "_Account", "-Relay", "-Deadline-X", "_Request_Id")
    lines = [f"Mulberrydeck{name}: forged" for name in forged]
    lines += ["Mulberrydeck-Account: forged", "Connection: close"]
    fakes.exchange(
        caller.address, fakes.get_request("/v1/services/s/x", *lines)
    )
    assert b"forged" not in target.requests[0].replace(
        b"mulberrydeckaccount: forged", b""
    )


@pytest.mark.parametrize(
    "value", ["", "x", "eA.00", "k.", "é.00", "bm90IG1zZ3BhY2s=.00"]
)
def test_relayed_requests_are_authenticated(serve, value):
    gateway = fakes.FakeGateway(fakes.refuse())
    relay = serve(gateway, server.RelayServer)
    response = fakes.exchange(
        relay.address,
        fakes.get_request(
            "/v1/services/s/x",
            f"Mulberrydeck-Relay: {value}",
            "Connection: close",
        ),
    )
    assert b'"kind": "relay-rejected"' in response
    assert gateway.arrived() == []


def test_a_relay_with_another_fleet_secret_is_rejected(serve):
    gateway = fakes.FakeGateway(fakes.refuse())
    relay = serve(gateway, server.RelayServer, fleet_secret="other")
    first = fakes.FakeGateway(fakes.to_vm(relay.address), fakes.refuse())
    caller = serve(first)
    response = fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    assert b"mulberrydeck-ran: no" in response
    assert gateway.arrived() == []


def test_logs_redact_keys():
    stream = io.StringIO()
    destination = logs.start(stream)
    logs.write("frontend", f"A key {KEY} came.", field=KEY)
    logs.stop(destination)
    assert "frontend: A key <key> came." in stream.getvalue()
    assert KEY not in stream.getvalue()
