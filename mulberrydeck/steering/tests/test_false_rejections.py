"""Rejections that are no proof that a request did not run, on loopback."""

import gevent
import pytest

from mulberrydeck.forward.tests import raw_sockets
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import loopback

Outcome = events.Outcome

REJECTION = (
    b"HTTP/1.1 %s\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
BUSY = REJECTION % b"503 Busy"
OK = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
UPLOAD_BYTES = 32 * 1024 * 1024


def post(body, framing=b"Content-Length: %d\r\n"):
    if b"%d" in framing:
        framing = framing % len(body)
    return (
        b"POST /once/1 HTTP/1.1\r\nHost: permits.example\r\n"
        b"X-Attempt-Id: a1\r\nConnection: close\r\n%s\r\n%s" % (framing, body)
    )


@pytest.fixture(name="start")
def fixture_start():
    """Starts a VM and its targets for at-most-once requests."""
    started = []

    def start(*serves):
        targets = [raw_sockets.RawTarget(serve) for serve in serves]
        vm = loopback.LoopbackVm(targets, repeatability=loopback.AT_MOST_ONCE)
        started.extend([*targets, vm])
        return vm, targets

    yield start
    for part in started:
        part.stop()


# Guards against a target that rejects a request, runs it all the same and then
# sends a second response: it ran twice, or its caller was told "not run".
@pytest.mark.parametrize("status", [b"503 Busy", b"429 Slow", b"421 Other"])
@pytest.mark.parametrize("second", [OK, OK[:20], BUSY])
@pytest.mark.parametrize("in_one_piece", [True, False])
def test_a_rejection_with_bytes_behind_it_states_nothing(
    start, in_one_piece, second, status
):
    def serve(sock):
        if in_one_piece:
            sock.sendall(REJECTION % status + second)
        else:
            sock.sendall(REJECTION % status)
            sock.sendall(second)
        gevent.sleep(1.0)

    vm, targets = start(serve, serve)
    response, _ = raw_sockets.exchange(vm.address, post(b"fee"))
    assert response.startswith(b"HTTP/1.1 502 ")
    assert vm.outcomes == [Outcome.BROKEN]
    assert sum(len(target.heads) for target in targets) == 1


# Guards against the copy of a rejection that is taken for the response to a
# later request, since its caller used the identifier again.
@pytest.mark.parametrize("first", [BUSY, OK])
def test_a_copy_with_the_same_identifier_refuses_no_later_request(start, first):
    ran = []

    def serve(sock):
        sock.sendall(first if not ran else OK)
        while raw_sockets.read_head(sock):
            ran.append(sock)
            sock.sendall(BUSY + OK)

    vm, targets = start(serve)
    raw_sockets.exchange(vm.address, post(b"fee"))
    ran.append(None)
    response, _ = raw_sockets.exchange(vm.address, post(b"fee"))
    assert response.startswith(b"HTTP/1.1 200 ")
    assert len(targets[0].heads) == 2


# Guards against a rejection without a length whose connection was reset, while
# the upload received the error of the reset.
def test_a_rejection_before_a_reset_states_nothing(start):
    unframed = BUSY.replace(b"Content-Length: 0\r\n", b"")

    def serve(sock):
        gevent.sleep(0.05)
        sock.sendall(unframed + b"p")
        gevent.sleep(0.05)
        sock.sendall(b"q")
        raw_sockets.reset(sock)

    vm, _ = start(serve)
    request = post(b"u" * UPLOAD_BYTES)
    for _ in range(3):
        response, was_reset = raw_sockets.exchange(vm.address, request)
        assert was_reset or response.startswith(b"HTTP/1.1 502 ")
    assert vm.outcomes == [Outcome.BROKEN] * 3


# Guards against "ran": "no" for a request of which a part reached a target.
def test_a_body_that_proves_malformed_is_not_reported_as_not_run(start):
    received = []

    def serve(sock):
        while data := sock.recv(65536):
            received.append(data)

    vm, _ = start(serve)
    sock = raw_sockets.connect(vm.address)
    body = b"200000\r\n%b\r\n" % (b"u" * 0x200000)
    sock.sendall(post(body, b"Transfer-Encoding: chunked\r\n"))
    with gevent.Timeout(5.0):
        while not received:
            gevent.sleep(0.01)
    sock.sendall(b"no chunk size\r\n")
    response, _ = raw_sockets.read_to_end(sock)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert b'"ran": "unknown"' in response
