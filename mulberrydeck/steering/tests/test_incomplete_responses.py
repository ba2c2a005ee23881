"""Responses without a length that break off while a long upload goes on.

Such a response ends with its connection, so that a part of it looks complete
unless the connection ended in order. The upload must not hide a reset.
"""

import gevent
import gevent.socket
import pytest

from mulberrydeck.forward.tests import raw_sockets
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import loopback

Outcome = events.Outcome

# Longer than the buffers of both sockets, and than what is read ahead.
UPLOAD_BYTES = 32 * 1024 * 1024
MAX_UNREAD_BYTES = 1024 * 1024
# Longer than what is buffered, so that it was passed on before the reset.
LONG_BYTES = 400 * 1024
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n%s\r\n"
)
KEPT = HEAD % b"Content-Length: 2\r\n" + b"ok"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def post(framing, body, path=b"/once/1"):
    return (
        b"POST %s HTTP/1.1\r\nHost: permits.example\r\nX-Attempt-Id: a1\r\n"
        b"Connection: close\r\n%s\r\n%s" % (path, framing, body)
    )


LONG_UPLOADS = {
    "length": post(
        b"Content-Length: %d\r\n" % UPLOAD_BYTES, b"u" * UPLOAD_BYTES
    ),
    "chunked": post(
        CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (UPLOAD_BYTES, b"u" * UPLOAD_BYTES)
    ),
}


def send_part_and_reset(part_bytes, delay_s, head=HEAD):
    def serve(sock):
        gevent.sleep(0.05)
        sock.sendall(head % b"" + b"p" * part_bytes)
        if delay_s:
            gevent.sleep(delay_s)
            sock.sendall(b"q")
        raw_sockets.reset(sock)

    return serve


def send_and_finish(part_bytes, delay_s):
    def serve(sock):
        gevent.sleep(0.05)
        sock.sendall(HEAD % b"" + b"p" * part_bytes)
        sock.shutdown(gevent.socket.SHUT_WR)
        gevent.sleep(delay_s)
        raw_sockets.reset(sock)

    return serve


@pytest.fixture(name="started")
def fixture_started():
    started = []
    yield started
    for part in started:
        part.stop()


def start(started, *serves, **route_changes):
    targets = [raw_sockets.RawTarget(serve) for serve in serves]
    started.extend(targets)
    vm = loopback.LoopbackVm(targets, **route_changes)
    started.append(vm)
    return vm, targets


# Guards against a part that counts as complete, because the upload received
# the error of the reset and the reader then saw the end of the connection.
@pytest.mark.parametrize("upload", LONG_UPLOADS)
@pytest.mark.parametrize("delay_s", [0.0, 0.1])
@pytest.mark.parametrize("part_bytes", [0, 2, 5000, LONG_BYTES])
@pytest.mark.parametrize(
    "kind", [loopback.AT_MOST_ONCE, loopback.SAFE], ids=str
)
def test_a_part_before_a_reset_is_never_a_complete_response(
    started, kind, part_bytes, delay_s, upload
):
    vm, _ = start(
        started, send_part_and_reset(part_bytes, delay_s), repeatability=kind
    )
    for _ in range(3):
        response, was_reset = raw_sockets.exchange(
            vm.address, LONG_UPLOADS[upload]
        )
        if response.startswith(b"HTTP/1.1 200"):
            assert part_bytes == LONG_BYTES
            assert was_reset
            assert not response.endswith(b"0\r\n\r\n")
        elif not was_reset:
            assert response.startswith(b"HTTP/1.1 502 ")
    assert vm.outcomes == [Outcome.BROKEN] * 3


# A target may answer before it has read the upload, and then close a connection
# with unread bytes, which resets it behind its orderly end.
@pytest.mark.parametrize(
    ("part_bytes", "delay_s"),
    [(0, 0.0), (0, 0.3), (5000, 0.0), (5000, 0.3), (LONG_BYTES, 0.5)],
)
def test_an_early_response_with_an_orderly_end_is_delivered(
    started, part_bytes, delay_s
):
    vm, _ = start(
        started,
        send_and_finish(part_bytes, delay_s),
        repeatability=loopback.AT_MOST_ONCE,
    )
    request = LONG_UPLOADS["length"]
    if part_bytes == LONG_BYTES:
        # The VM resets callers that send much more than it reads.
        request = request[:MAX_UNREAD_BYTES]
    for _ in range(3):
        response, _ = raw_sockets.exchange(vm.address, request)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.count(b"p") >= part_bytes
        assert response.endswith(b"0\r\n\r\n")
    assert vm.outcomes == [Outcome.ANSWERED] * 3


# Guards against a part that counts as complete, because this VM itself ended
# the connection to the target when the caller's body was malformed.
@pytest.mark.parametrize("part_bytes", [0, 5000, UPLOAD_BYTES])
def test_a_part_before_a_malformed_body_is_no_complete_response(
    started, part_bytes
):
    def serve(sock):
        sock.sendall(HEAD % b"" + b"p" * part_bytes)
        # Otherwise, the VM would not read on to the malformed part.
        while sock.recv(65536):
            pass
        gevent.sleep(10.0)

    vm, _ = start(started, serve, repeatability=loopback.AT_MOST_ONCE)
    sock = raw_sockets.connect(vm.address)
    body = b"u" * 2 * MAX_UNREAD_BYTES
    sock.sendall(post(CHUNKED, b"%x\r\n%b\r\n" % (len(body), body)))
    # Until the VM waits for the caller to read the response, if it is long.
    gevent.sleep(1.0 if part_bytes == UPLOAD_BYTES else 0.2)
    sock.sendall(b"no chunk size\r\n")
    gevent.sleep(0.2)
    response, was_reset = raw_sockets.read_to_end(sock)
    if response.startswith(b"HTTP/1.1 200 "):
        assert was_reset
        assert not response.endswith(b"0\r\n\r\n")
    else:
        assert response.startswith(b"HTTP/1.1 400 ")


# Guards against the same on a connection that carried an earlier response.
def test_a_part_before_a_reset_on_a_kept_connection_is_not_complete(started):
    def serve(sock):
        sock.sendall(KEPT)
        raw_sockets.read_head(sock)
        head = HEAD.replace(b"Id: a1", b"Id: a2")
        send_part_and_reset(5000, 0.1, head)(sock)

    vm, targets = start(started, serve, repeatability=loopback.SAFE)
    for _ in range(3):
        small = post(b"Content-Length: 2\r\n", b"up")
        response, _ = raw_sockets.exchange(vm.address, small)
        assert response.startswith(b"HTTP/1.1 200 ")
        # A connection carries each identifier once.
        upload = LONG_UPLOADS["length"].replace(b"Id: a1", b"Id: a2", 1)
        response, _ = raw_sockets.exchange(vm.address, upload)
        assert not response.startswith(b"HTTP/1.1 200 ")
    assert vm.outcomes == [Outcome.ANSWERED, Outcome.BROKEN] * 3
    assert len(targets[0].heads) == 3


# Guards against a caller that gets a part, while the request can be repeated.
def test_a_safe_request_is_repeated_after_a_part_and_a_reset(started):
    attempts = []

    def serve(sock):
        attempts.append(sock)
        if len(attempts) == 1:
            send_part_and_reset(5000, 0.1)(sock)
        else:
            sock.sendall(KEPT)
            # A close with unread bytes would reset the connection.
            gevent.sleep(1.0)

    vm, _ = start(started, serve, serve, repeatability=loopback.SAFE)
    # Short enough to be read ahead, and longer than the sockets' buffers.
    body = b"u" * MAX_UNREAD_BYTES
    length = b"Content-Length: %d\r\n" % len(body)
    response, _ = raw_sockets.exchange(vm.address, post(length, body))
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.endswith(b"ok")
    assert len(attempts) == 2
