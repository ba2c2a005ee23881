"""Responses without a length that break off while a long upload goes on."""

import gevent
import pytest

from mulberrydeck.forward import outcomes
from mulberrydeck.forward.tests import raw_sockets
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

UNKNOWN = outcomes.AttemptOutcome.UNKNOWN
ANSWERED = outcomes.AttemptOutcome.ANSWERED
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# Longer than the buffers of both sockets.
UPLOAD_BYTES = 32 * 1024 * 1024
UPLOAD = (
    b"POST /v1/services/s/x HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (UPLOAD_BYTES, b"u" * UPLOAD_BYTES)
)
PART_SIZES = [0, 2, 5000, 400 * 1024]


@pytest.fixture(name="run")
def fixture_run(serve):
    """Runs a long upload at a target, through one VM or two."""
    started = []

    def run(serve_target, hops):
        target = raw_sockets.RawTarget(serve_target)
        started.append(target)
        gateway = fakes.FakeGateway(
            fakes.to_target(target.address, repeatable=False), fakes.refuse()
        )
        first = gateway
        if hops == 2:
            relay = serve(gateway, server.RelayServer)
            to_vm = fakes.to_vm(relay.address, repeatable=False)
            first = fakes.FakeGateway(to_vm, fakes.refuse())
        response = raw_sockets.exchange(serve(first).address, UPLOAD)
        # The first VM may respond before the second has ended its attempt.
        gateway.closed.wait(fakes.WAIT_S)
        return response, gateway.ended()[-1].outcome

    yield run
    for target in started:
        target.stop()


# Guards against a part that counts as complete, because the upload received
# the error of the reset and the reader then saw the end of the connection.
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("delay_s", [0.0, 0.1])
@pytest.mark.parametrize("part_bytes", PART_SIZES)
def test_a_part_before_a_reset_is_never_a_complete_response(
    run, part_bytes, delay_s, hops
):
    def serve_target(sock):
        gevent.sleep(0.05)
        sock.sendall(HEAD + b"p" * part_bytes)
        if delay_s:
            gevent.sleep(delay_s)
            sock.sendall(b"q")
        raw_sockets.reset(sock)

    (response, was_reset), outcome = run(serve_target, hops)
    if response.startswith(b"HTTP/1.1 200 "):
        assert was_reset
        assert not response.endswith(b"0\r\n\r\n")
    else:
        assert was_reset or b'"ran": "unknown"' in response
    assert outcome is UNKNOWN


# A target may answer before it has read the upload, and then close a connection
# with unread bytes, which resets it behind its orderly end.
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("delay_s", [0.0, 0.3])
@pytest.mark.parametrize("part_bytes", PART_SIZES[:3])
def test_an_early_response_with_an_orderly_end_is_delivered(
    run, part_bytes, delay_s, hops
):
    def serve_target(sock):
        gevent.sleep(0.05)
        sock.sendall(HEAD + b"p" * part_bytes)
        sock.shutdown(gevent.socket.SHUT_WR)
        gevent.sleep(delay_s)
        raw_sockets.reset(sock)

    (response, _), outcome = run(serve_target, hops)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.count(b"p") >= part_bytes
    assert response.endswith(b"0\r\n\r\n")
    assert outcome is ANSWERED
