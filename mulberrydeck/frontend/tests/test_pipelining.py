"""Pipelined requests: order, cancellation, limits and planned stops."""

import gevent
import gevent.event
import pytest

from mulberrydeck.frontend import listeners
from mulberrydeck.frontend.tests import fakes
from standins import waiting

MAX_REQUESTS = 4
PIECE = b"x" * 65536


class Listener(listeners.HttpListener):
    """Responds to a path once it is released; `/once` may not be repeated.

    Attributes:
        started: Paths of the requests that were handled, in order.
        cancelled: Paths of those that were cancelled.
        written: Bytes of streamed bodies that were passed to the writer.
    """

    def __init__(self, limit):
        super().__init__("127.0.0.1:0")
        self.max_pipelined_requests = limit
        self.started = []
        self.cancelled = []
        self.written = 0
        self.releases = {}

    def may_pipeline(self, head):
        return not head.target.startswith("/once")

    def release(self, path):
        self.releases.setdefault(path, gevent.event.Event()).set()

    def handle_request(self, request):
        path = request.path
        self.started.append(path)
        if request.body is not None:
            request.body.load()
        try:
            self.releases.setdefault(path, gevent.event.Event()).wait()
        except BaseException:
            self.cancelled.append(path)
            raise
        if path == "/fail":
            raise ValueError(path)
        if path == "/cut":
            return
        if path == "/stream":
            self.stream(request.response)
            return
        request.response.closing |= path == "/close"
        request.response.send_complete(200, [("x-path", path)], b"ok")

    def stream(self, response):
        response.begin(200, [], 64 * len(PIECE))
        for _ in range(64):
            response.write(PIECE)
            response.flush()
            self.written += len(PIECE)
        response.finish()


@pytest.fixture(name="start")
def fixture_start():
    started = []

    def start(limit=MAX_REQUESTS):
        started.append(Listener(limit))
        started[-1].start()
        return started[-1]

    yield start
    for listener in started:
        listener.listener.stop(timeout=0)
        listener.watcher.stop()


def send(listener, *paths, tail=b""):
    """Sends pipelined requests on a new connection, which is returned."""
    sock = fakes.connect(listener.address)
    sock.sendall(b"".join(fakes.get_request(path) for path in paths) + tail)
    return sock


def wait_started(listener, *paths):
    """Waits until just these requests were handled."""
    waiting.until(lambda: len(listener.started) >= len(paths), "handled")
    gevent.sleep(0.05)
    assert listener.started == list(paths)


def receive_paths(sock, count):
    """Returns the paths in the next responses, and reads no further."""
    data = b""
    while data.count(b"\r\n\r\nok") < count:
        data += sock.recv(1)
    return paths_of(data)


def paths_of(data):
    lines = data.decode().split("\r\n")
    return [line[8:] for line in lines if line.startswith("x-path: ")]


# Guards against requests that are late because the one before them is slow.
def test_safe_requests_are_handled_together_and_answered_in_order(start):
    listener = start()
    sock = send(listener, "/a", "/b", "/c")
    wait_started(listener, "/a", "/b", "/c")
    for path in ("/c", "/b"):
        listener.release(path)
    with pytest.raises(TimeoutError):
        sock.settimeout(0.1)
        sock.recv(1)
    listener.release("/a")
    sock.settimeout(fakes.WAIT_S)
    assert receive_paths(sock, 3) == ["/a", "/b", "/c"]
    waiting.until(lambda: listener.in_flight == 0, "no request is in progress")


# Guards against a change of other deployments, whose limit is 1.
@pytest.mark.parametrize("limit", [1, 2])
def test_no_more_requests_than_allowed_are_in_progress(start, limit):
    listener = start(limit)
    paths = ["/a", "/b", "/c"]
    sock = send(listener, *paths)
    wait_started(listener, *paths[:limit])
    assert listener.in_flight == limit
    for path in paths:
        listener.release(path)
    assert receive_paths(sock, 3) == paths


POST = (
    b"POST /b HTTP/1.1\r\nHost: vm\r\nContent-Length: 4\r\n"
    b"Expect: 100-continue\r\n\r\n"
)


# Guards against at-most-once requests that run and are then cancelled, and
# against an interim response in the middle of another response.
@pytest.mark.parametrize(
    ("path", "tail"),
    [
        ("/b", POST),
        ("/b", b"DELETE /b HTTP/1.1\r\nHost: vm\r\n\r\n"),
        ("/b", b"GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"),
        ("/once", fakes.get_request("/once")),
    ],
)
def test_other_requests_wait_until_all_earlier_ones_are_answered(
    start, path, tail
):
    listener = start()
    sock = send(listener, "/a1", "/a2", tail=tail)
    wait_started(listener, "/a1", "/a2")
    listener.release("/a2")
    gevent.sleep(0.05)
    assert listener.started == ["/a1", "/a2"]
    listener.release("/a1")
    assert receive_paths(sock, 2) == ["/a1", "/a2"]
    if tail is POST:
        assert fakes.receive(sock) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"body")
    sock.sendall(fakes.get_request("/c"))
    wait_started(listener, "/a1", "/a2", path)
    listener.release("/c")
    listener.release(path)
    assert receive_paths(sock, 2) == [path, "/c"]


# Guards against responses, or parts of them, behind the end of a connection,
# and against requests that run although callers resend them.
@pytest.mark.parametrize(
    ("path", "status"),
    [("/close", b"200"), ("/fail", b"500"), ("/cut", None)],
)
def test_a_response_that_closes_ends_the_requests_behind_it(
    start, path, status
):
    listener = start()
    sock = send(listener, path, "/b", "/c", "/once")
    wait_started(listener, path, "/b", "/c")
    listener.release("/b")
    gevent.sleep(0.05)
    listener.release(path)
    data, was_reset = fakes.read_to_end(sock)
    assert was_reset == (status is None)
    assert data.startswith(b"HTTP/1.1 " + status if status else b"")
    assert data.count(b"HTTP/1.1") == (status is not None)
    assert listener.started == [path, "/b", "/c"]
    assert listener.cancelled == ["/c"]
    assert listener.in_flight == 0


def test_nothing_behind_a_request_to_close_is_handled(start):
    listener = start()
    closing = fakes.get_request("/b", "Connection: close")
    sock = send(listener, "/a", tail=closing + fakes.get_request("/c"))
    wait_started(listener, "/a", "/b")
    for path in ("/b", "/a"):
        listener.release(path)
    assert paths_of(fakes.read_to_end(sock)[0]) == ["/a", "/b"]
    assert listener.started == ["/a", "/b"]


# Guards against work for callers that have left. A half-closed connection
# counts as left, as without pipelining.
@pytest.mark.parametrize("half", [True, False])
def test_a_disconnect_cancels_all_requests(start, half):
    listener = start()
    sock = send(listener, "/a", "/b", "/once")
    wait_started(listener, "/a", "/b")
    listener.release("/b")
    if half:
        sock.shutdown(1)
    else:
        sock.close()
    waiting.until(lambda: not listener.open_connections, "it is closed")
    assert listener.started == ["/a", "/b"]
    assert listener.cancelled == ["/a"]
    assert listener.in_flight == 0


# Guards against a good request that is lost with a malformed one.
def test_a_malformed_head_is_refused_behind_the_earlier_responses(start):
    listener = start()
    sock = send(listener, "/a", tail=b"GET / HTTP/2.0\r\n\r\n")
    wait_started(listener, "/a")
    gevent.sleep(0.05)
    listener.release("/a")
    data, was_reset = fakes.read_to_end(sock)
    assert not was_reset
    assert data.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 400" in data.partition(b"ok")[2]


# Guards against unbounded memory for responses that wait for their turn.
def test_a_streamed_response_waits_for_its_turn_and_its_reader(start):
    listener = start()
    sock = send(listener, "/a", "/stream")
    listener.release("/stream")
    wait_started(listener, "/a", "/stream")
    assert listener.written == 0
    listener.release("/a")
    last_written = -1
    while last_written != listener.written:
        last_written = listener.written
        gevent.sleep(0.1)
    listener.release("/b")
    sock.sendall(fakes.get_request("/b", "Connection: close"))
    data, _ = fakes.read_to_end(sock)
    assert data.count(b"x" * 1000) >= 64 * 65
    assert paths_of(data) == ["/a", "/b"]


# Guards against connections that time out while their requests are in progress
# or at once after the last response.
def test_the_idle_timeout_starts_after_the_last_response(start):
    listener = start()
    listener.keep_alive_s = 0.2
    sock = send(listener, "/a")
    gevent.sleep(0.35)
    listener.release("/a")
    assert receive_paths(sock, 1) == ["/a"]
    gevent.sleep(0.1)
    listener.release("/b")
    sock.sendall(fakes.get_request("/b"))
    assert receive_paths(sock, 1) == ["/b"]
    assert fakes.read_to_end(sock) == (b"", False)


# Guards against requests that a planned stop loses, or that run unanswered.
def test_a_stop_answers_the_requests_that_were_read(start):
    listener = start()
    idle = fakes.connect(listener.address)
    sock = send(listener, "/a", "/b")
    wait_started(listener, "/a", "/b")
    listener.stopping = True
    listener.close_idle()
    assert fakes.read_to_end(idle) == (b"", False)
    sock.sendall(fakes.get_request("/c") + fakes.get_request("/d"))
    wait_started(listener, "/a", "/b", "/c")
    for path in ("/c", "/b", "/a"):
        listener.close_idle()
        listener.release(path)
    data, was_reset = fakes.read_to_end(sock)
    assert not was_reset
    assert paths_of(data) == ["/a", "/b", "/c"]
    assert data.count(b"connection: close") == 1
    assert listener.started == ["/a", "/b", "/c"]


# Guards against the unannounced end of a connection, on which the caller sends
# its next request.
@pytest.mark.parametrize("path", ["/a", "/once"])
def test_a_connection_whose_last_response_keeps_it_stays_open_in_a_stop(
    start, path
):
    listener = start()
    sock = send(listener, path)
    wait_started(listener, path)
    listener.stopping = True
    listener.release(path)
    assert receive_paths(sock, 1) == [path]
    gevent.sleep(0.05)
    listener.release("/b")
    sock.sendall(fakes.get_request("/b"))
    data, was_reset = fakes.read_to_end(sock)
    assert not was_reset
    assert paths_of(data) == ["/b"]
    assert b"connection: close" in data


# Guards against two runs of a request whose route changed while it was read.
def test_a_request_whose_route_changes_meanwhile_waits_for_its_turn(start):
    listener = start()
    answers = {"/close": [True], "/b": [True, False]}
    listener.may_pipeline = lambda head: answers[head.target].pop(0)
    sock = send(listener, "/close", "/b")
    wait_started(listener, "/close")
    listener.release("/close")
    assert paths_of(fakes.read_to_end(sock)[0]) == ["/close"]
    assert listener.started == ["/close"]
    assert not answers["/b"]
