"""Ambiguous or malformed requests get a 400 and close the connection."""

import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck.frontend import heads
from mulberrydeck.frontend.tests import fakes

PATH = b" /v1/services/s/x HTTP/1.1\r\n"
POST = b"POST" + PATH + b"Host: vm\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
SMUGGLED = b"GET /v1/services/s/smuggled HTTP/1.1\r\nHost: vm\r\n\r\n"

BAD_HEADS = {
    "length and chunked": POST
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunked and length": POST
    + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "differing lengths": POST
    + b"Content-Length: 0\r\nContent-Length: 9\r\n\r\n",
    "list of lengths": POST + b"Content-Length: 0, 9\r\n\r\n",
    "signed length": POST + b"Content-Length: +1\r\n\r\nx",
    "negative length": POST + b"Content-Length: -1\r\n\r\n",
    "hexadecimal length": POST + b"Content-Length: 0x1\r\n\r\nx",
    "underscored length": POST + b"Content-Length: 1_0\r\n\r\nx",
    "huge length": POST + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
    "two codings": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "coding twice": POST + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n",
    "disguised coding": POST + b"Transfer-Encoding: xchunked\r\n\r\n",
    "coding with tab": POST + b"Transfer-Encoding:\x0bchunked\r\n\r\n",
    "identity": POST + b"Transfer-Encoding: identity\r\n\r\n",
    "chunked in 1.0": b"POST /v1/services/s/x HTTP/1.0\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "space before colon": POST + b"Content-Length : 5\r\n\r\nhello",
    "obsolete folding": POST + b"X: a\r\n b\r\n\r\n",
    "leading space": b"GET" + PATH + b" Host: vm\r\n\r\n",
    "bare LF line end": b"GET" + PATH + b"Host: vm\nX: y\r\n\r\n",
    "bare LF head end": b"GET" + PATH + b"Host: vm\n\n",
    "bare CR": b"GET" + PATH + b"Host: vm\rX: y\r\n\r\n",
    "NUL in value": b"GET" + PATH + b"Host: vm\r\nX: a\x00b\r\n\r\n",
    "bad name": b"GET" + PATH + b"Host: vm\r\nX(y): 1\r\n\r\n",
    "empty name": b"GET" + PATH + b"Host: vm\r\n: 1\r\n\r\n",
    "no colon": b"GET" + PATH + b"Host: vm\r\nXY\r\n\r\n",
    "no host": b"GET" + PATH + b"\r\n",
    "two hosts": b"GET" + PATH + b"Host: vm\r\nHost: other\r\n\r\n",
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "HTTP/0.9": b"GET /v1/lookup\r\n\r\n",
    "extra word": b"GET /x y HTTP/1.1\r\nHost: vm\r\n\r\n",
    "two spaces": b"GET  /x HTTP/1.1\r\nHost: vm\r\n\r\n",
    "authority form": b"CONNECT vm:80 HTTP/1.1\r\nHost: vm\r\n\r\n",
    "oversized head": b"GET" + PATH + b"X: " + b"y" * 40_000 + b"\r\n\r\n",
    "endless head": b"GET" + PATH + b"X: " + b"y" * 40_000,
}
BAD_BODIES = {
    "no size": b"\r\nhello\r\n0\r\n\r\n",
    "not hexadecimal": b"xyz\r\nhello\r\n0\r\n\r\n",
    "prefixed size": b"0x5\r\nhello\r\n0\r\n\r\n",
    "signed size": b"-5\r\nhello\r\n0\r\n\r\n",
    "huge size": b"F" * 40 + b"\r\nhello\r\n0\r\n\r\n",
    "size after space": b" 5\r\nhello\r\n0\r\n\r\n",
    "size with LF": b"5\nhello\r\n0\r\n\r\n",
    "size with CR": b"5\rhello\r\n0\r\n\r\n",
    "longer than its size": b"5\r\nhello!\r\n0\r\n\r\n",
    "no line end after data": b"5\r\nhello0\r\n\r\n",
    "LF in extension": b"5;a\nb\r\nhello\r\n0\r\n\r\n",
    "endless extension": b"5;" + b"a" * 5000,
    "bad trailer": b"0\r\nno colon\r\n\r\n",
    "endless trailers": b"0\r\n" + b"T: " + b"y" * 40_000,
}


@pytest.fixture
def gateway(targets):
    target = targets(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    gateway.target = target
    return gateway


@pytest.mark.parametrize("case", BAD_HEADS)
def test_a_malformed_head_is_rejected_before_the_core(serve, gateway, case):
    caller = serve(gateway)
    response = fakes.exchange(caller.address, BAD_HEADS[case] + SMUGGLED)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert response.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in response
    assert gateway.arrived() == []


@pytest.mark.parametrize("case", BAD_BODIES)
def test_a_malformed_body_is_never_complete_at_the_target(serve, gateway, case):
    caller = serve(gateway)
    response = fakes.exchange(
        caller.address, CHUNKED + BAD_BODIES[case] + SMUGGLED
    )
    assert response.startswith(b"HTTP/1.1 400 ")
    assert response.count(b"HTTP/1.1 ") == 1
    # The head was already forwarded when the malformed body was read.
    assert b"mulberrydeck-ran: unknown" in response
    assert gateway.target.requests == []
    assert len(gateway.arrived()) == 1
    assert gateway.closed.wait(fakes.WAIT_S)


def test_a_body_is_not_taken_for_the_next_request(serve, gateway):
    caller = serve(gateway)
    head = POST + b"Content-Length: %d\r\nConnection: close\r\n\r\n"
    fakes.exchange(caller.address, head % len(SMUGGLED) + SMUGGLED)
    assert len(gateway.arrived()) == 1
    assert gateway.target.requests[0].endswith(SMUGGLED)


def test_pipelined_requests_are_answered_in_order(serve, gateway):
    caller = serve(gateway)
    last = fakes.get_request("/v1/services/s/b", "Connection: close")
    response = fakes.exchange(
        caller.address, fakes.get_request("/v1/services/s/a") + last
    )
    assert response.count(b"HTTP/1.1 200 OK") == 2
    assert [event.path for event in gateway.arrived()] == ["/a", "/b"]


def test_a_large_body_of_a_refused_request_is_not_read(serve):
    caller = serve(fakes.FakeGateway(fakes.refuse()))
    head = POST + b"Content-Length: 1000000000\r\n\r\n"
    response = fakes.exchange(caller.address, head + b"x" * 100_000)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in response


def test_continue_is_sent_only_after_the_decision(serve, gateway):
    expect = POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n"
    expect += b"Connection: close\r\n\r\n"
    refusing = serve(fakes.FakeGateway(fakes.refuse()))
    assert fakes.exchange(refusing.address, expect).startswith(b"HTTP/1.1 503 ")
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(expect)
    assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"ok")
    response, _ = fakes.read_to_end(sock)
    assert response.startswith(b"HTTP/1.1 200 OK")
    assert b"expect" not in gateway.target.requests[0].lower()


@pytest.mark.parametrize(
    "path",
    ["a/../b", "a/%2e%2e/b", "a//b", "a%2fb", "a%00", "a%5cb", "a%ff", "%252e"],
)
def test_ambiguous_paths_are_refused(serve, gateway, path):
    caller = serve(gateway)
    response = fakes.exchange(
        caller.address,
        fakes.get_request(f"/v1/services/s/{path}", "Connection: close"),
    )
    assert b'"kind": "bad-path"' in response
    assert gateway.arrived() == []


def test_routes_are_chosen_by_the_decoded_path(serve, gateway):
    caller = serve(gateway)
    fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/%66ee", "Connection: close"),
    )
    assert gateway.arrived()[0].path == "/fee"


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_parse_or_are_rejected(data):
    for head in (data, b"GET / HTTP/1.1\r\nHost: vm\r\n" + data):
        try:
            parsed = heads.parse(head)
        except heads.BadRequestError:
            continue
        assert not (parsed.chunked and parsed.length is not None)
