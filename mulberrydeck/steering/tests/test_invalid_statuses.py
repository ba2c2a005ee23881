"""Responses with a status that is none; no caller may get one."""

import time

import gevent
import pytest

from mulberrydeck.forward.tests import raw_sockets
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import loopback

Outcome = events.Outcome

FIELDS = (
    b"X-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
OK = b"HTTP/1.1 200 OK\r\n" + FIELDS
REQUEST = (
    b"POST /once/1 HTTP/1.1\r\nHost: permits.example\r\nX-Attempt-Id: a1\r\n"
    b"Connection: close\r\nContent-Length: 2\r\n\r\nup"
)
# The deadline is 3 s.
MAX_TAKEN_S = 1.5

# The last ones have a body, so that they are no interim responses.
INVALID = [
    b"000",
    b"0",
    b"1",
    b"99",
    b"099",
    b"600",
    b"999",
    b"1000",
    b"100",
    b"104",
    b"199",
]


def respond_and_wait(response):
    def serve(sock):
        sock.sendall(response)
        while raw_sockets.read_head(sock):
            sock.sendall(OK)
        gevent.sleep(5.0)

    return serve


@pytest.fixture(name="exchange")
def fixture_exchange():
    """Runs two requests at targets; returns what the caller got and the VM."""
    started = []

    def exchange(kind, *serves):
        targets = [raw_sockets.RawTarget(serve) for serve in serves]
        vm = loopback.LoopbackVm(targets, repeatability=kind)
        started.extend([*targets, vm])
        started_s = time.monotonic()
        response, was_reset = raw_sockets.exchange(vm.address, REQUEST)
        assert time.monotonic() - started_s < MAX_TAKEN_S
        assert not was_reset
        return response, vm

    yield exchange
    for part in started:
        part.stop()


# Guards against an invalid status that a caller gets, or that holds its request
# until the deadline.
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_a_broken_response(exchange, status):
    serve = respond_and_wait(b"HTTP/1.1 %s X\r\n%s" % (status, FIELDS))
    response, vm = exchange(loopback.AT_MOST_ONCE, serve)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert vm.outcomes == [Outcome.BROKEN]
    assert not vm.pool.idle


@pytest.mark.parametrize("status", INVALID)
def test_a_safe_request_is_repeated_after_an_invalid_status(exchange, status):
    responses = [b"HTTP/1.1 %s X\r\n%s" % (status, FIELDS), OK]

    def serve(sock):
        respond_and_wait(responses.pop(0))(sock)

    response, vm = exchange(loopback.SAFE, serve, serve)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert vm.outcomes == [Outcome.BROKEN, Outcome.ANSWERED]


# Guards against an invalid status that counts as an interim response.
@pytest.mark.parametrize("status", INVALID[:8])
@pytest.mark.parametrize("identifier", [b"a1", b"other"])
def test_no_response_is_accepted_after_an_invalid_status(
    exchange, identifier, status
):
    head = b"HTTP/1.1 %s X\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
    serve = respond_and_wait(head % (status, identifier) + OK)
    response, vm = exchange(loopback.AT_MOST_ONCE, serve)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert vm.outcomes == [Outcome.BROKEN]


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"104", b"199"])
def test_interim_responses_before_the_final_one_are_dropped(exchange, status):
    serve = respond_and_wait(b"HTTP/1.1 %s X\r\n\r\n" % status + OK)
    response, vm = exchange(loopback.AT_MOST_ONCE, serve)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert vm.outcomes == [Outcome.ANSWERED]
