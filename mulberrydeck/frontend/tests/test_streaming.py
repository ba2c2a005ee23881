"""Streaming of large bodies, disconnects, deadlines and stops."""

import json
import tracemalloc

import gevent
import gevent.event
import pytest

from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MIB = 1024 * 1024
LARGE = 48 * MIB
PIECE = b"x" * (256 * 1024)
POST = b"POST /v1/services/s/x HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
UNKNOWN = outcomes.AttemptOutcome.UNKNOWN
ANSWERED = outcomes.AttemptOutcome.ANSWERED
NOT_RUN = outcomes.AttemptOutcome.NOT_RUN


def send_body(sock, size):
    for _ in range(size // len(PIECE)):
        sock.sendall(PIECE)


class SizedTarget:
    """Reads `size` bytes of a body, then sends `response_quarter` four times.

    It starts to read the body once `may_read` is set.
    """

    def __init__(self, size, response_quarter=b""):
        self.size = size
        self.response_quarter = response_quarter
        self.received = 0
        self.may_read = gevent.event.Event()
        self.may_read.set()
        self.ended = gevent.event.Event()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, sock, _address):
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(100)
        self.received = len(data.partition(b"\r\n\r\n")[2])
        self.may_read.wait()
        while self.received < self.size and (data := sock.recv(65536)):
            self.received += len(data)
        if self.received >= self.size:
            length = (
                len(self.response_quarter) * 4 if self.response_quarter else 0
            )
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            sock.sendall(head % length)
            for _ in range(4 if self.response_quarter else 0):
                sock.sendall(self.response_quarter)
        sock.close()
        self.ended.set()


@pytest.mark.parametrize("hops", [1, 2])
def test_large_bodies_are_streamed_in_bounded_memory(serve, hops):
    target = SizedTarget(LARGE, b"y" * (LARGE // 4))
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    if hops == 2:
        relay = serve(gateway, server.RelayServer)
        gateway = fakes.FakeGateway(fakes.to_vm(relay.address, link="a/b"))
    sock = fakes.connect(serve(gateway).address)
    tracemalloc.start()
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % LARGE)
    upload = gevent.spawn(send_body, sock, LARGE)
    received = 0
    while data := sock.recv(65536):
        received += len(data)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    upload.get()
    assert target.received == LARGE
    assert received > LARGE
    assert peak < 8 * MIB
    if hops == 2:
        carried = sum(count for link, count in gateway.pacing_calls)
        assert LARGE < carried < LARGE + 2000


def test_a_target_that_does_not_read_stalls_the_upload(serve):
    target = SizedTarget(LARGE * 4)
    target.may_read.clear()
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % (LARGE * 4))
    sent_bytes = [0]

    def send_counted():
        while sent_bytes[0] < LARGE * 4:
            sent_bytes[0] += sock.send(PIECE)

    gevent.spawn(send_counted)
    last_sent_bytes = -1
    while last_sent_bytes != sent_bytes[0]:
        last_sent_bytes = sent_bytes[0]
        gevent.sleep(0.3)
    assert last_sent_bytes < LARGE * 2
    target.may_read.set()
    response, _ = fakes.read_to_end(sock)
    assert response.startswith(b"HTTP/1.1 200 OK")


def test_an_early_response_ends_the_upload(serve, targets):
    early = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"

    def respond_early(sock, _address):
        sock.recv(1000)
        sock.sendall(early)
        gevent.sleep(fakes.WAIT_S)

    early_target = gevent.server.StreamServer(("127.0.0.1", 0), respond_early)
    early_target.start()
    address = f"127.0.0.1:{early_target.server_port}"
    gateway = fakes.FakeGateway(fakes.to_target(address))
    caller = serve(gateway)
    sock = fakes.connect(caller.address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % LARGE + PIECE)
    response, _ = fakes.read_to_end(sock)
    assert response.endswith(b"big")
    early_target.stop(timeout=0)


def test_a_large_body_is_not_replayed(serve, targets):
    target = targets(None)
    gateway = fakes.FakeGateway(
        fakes.to_target("127.0.0.1:1"),
        fakes.to_target(target.address),
        fakes.refuse(),
    )
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % len(PIECE) + PIECE)
    response, _ = fakes.read_to_end(sock)
    first, second = gateway.ended()
    assert (first.outcome, first.replayable) == (NOT_RUN, True)
    assert (second.outcome, second.replayable) == (UNKNOWN, False)
    assert b"mulberrydeck-ran: unknown" in response


def test_a_small_chunked_body_is_replayed(serve, targets):
    broken, target = targets(None), targets(OK)
    gateway = fakes.FakeGateway(
        fakes.to_target(broken.address), fakes.to_target(target.address)
    )
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    chunked += b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    response = fakes.exchange(serve(gateway).address, POST + chunked)
    assert response.endswith(b"ok")
    body = target.requests[0].partition(b"\r\n\r\n")[2]
    assert body == b"5\r\nabcde\r\n0\r\n\r\n"


@pytest.mark.parametrize("extra", [b"", fakes.get_request() * 3])
@pytest.mark.parametrize("body", [b"", b"Content-Length: 1000000\r\n"])
def test_a_disconnect_cancels_the_request(serve, extra, body):
    target = SizedTarget(MIB)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway)
    sock = fakes.connect(caller.address)
    sock.sendall(POST + body + b"\r\n" + (b"" if body else extra))
    while not caller.in_flight:
        gevent.sleep(0.01)
    gevent.sleep(0.05)
    sock.close()
    assert gateway.closed.wait(fakes.WAIT_S)
    assert target.ended.wait(fakes.WAIT_S)
    assert len(gateway.arrived()) == 1
    while caller.in_flight:
        gevent.sleep(0.01)


def test_a_disconnect_during_the_response_reports_its_status(serve, targets):
    def begin(sock):
        sock.sendall(b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nab")
        sock.recv(1)

    target = targets(begin)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(fakes.get_request())
    assert fakes.receive(sock).startswith(b"HTTP/1.1 201 ")
    sock.close()
    assert gateway.closed.wait(fakes.WAIT_S)
    ended = gateway.ended()[0]
    assert (ended.outcome, ended.status) == (ANSWERED, 201)


def test_a_truncated_upload_is_never_complete_at_the_target(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    gevent.sleep(0.05)
    sock.close()
    assert gateway.closed.wait(fakes.WAIT_S)
    assert target.closed.wait(fakes.WAIT_S)
    assert target.requests == []


@pytest.mark.parametrize(
    ("address", "ran"), [("silent", "unknown"), ("127.0.0.1:1", "no")]
)
def test_a_passed_deadline_reports_whether_the_request_may_have_run(
    serve, targets, address, ran
):
    silent = targets(lambda sock: gevent.sleep(fakes.WAIT_S))
    address = silent.address if address == "silent" else address
    expired = fakes.to_target(address, remaining_s=0.0)
    gateway = fakes.FakeGateway(
        fakes.to_target(address, remaining_s=0.3), expired
    )
    caller = serve(gateway)
    request = fakes.get_request(
        "/v1/services/s/x", "Mulberrydeck-Deadline: 0.3"
    )
    sock = fakes.connect(caller.address)
    sock.sendall(request)
    response = fakes.read_message(sock)
    problem = json.loads(response.partition(b"\r\n\r\n")[2])
    assert response.startswith(b"HTTP/1.1 504 ")
    assert (problem["kind"], problem["ran"]) == ("deadline-exceeded", ran)
    assert gateway.arrived()[0].deadline_s == 0.3


@pytest.mark.parametrize("value", ["0", "-1", "soon", "1e9", "nan", ""])
def test_invalid_deadlines_are_refused(serve, value):
    caller = serve(fakes.FakeGateway(fakes.refuse()))
    lines = (f"Mulberrydeck-Deadline: {value}", "Connection: close")
    response = fakes.exchange(
        caller.address, fakes.get_request("/v1/services/s/x", *lines)
    )
    assert b'"kind": "bad-deadline"' in response


def test_a_stop_serves_requests_that_have_arrived(serve, targets):
    release = gevent.event.Event()

    def slow(sock):
        release.wait()
        sock.sendall(OK)

    target = targets(slow)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway)
    busy, idle = fakes.connect(caller.address), fakes.connect(caller.address)
    busy.sendall(fakes.get_request())
    while not caller.in_flight:
        gevent.sleep(0.01)
    stopping = gevent.spawn(caller.stop)
    gevent.sleep(0.2)
    late = fakes.connect(caller.address)
    late.sendall(fakes.get_request())
    assert not stopping.ready()
    release.set()
    for sock in (busy, late):
        response, _ = fakes.read_to_end(sock)
        assert response.endswith(b"ok")
    assert b"connection: close" in response
    assert fakes.read_to_end(idle) == (b"", False)
    stopping.get(timeout=fakes.WAIT_S)
    with pytest.raises(ConnectionRefusedError):
        fakes.connect(caller.address)


def test_a_request_may_arrive_byte_by_byte(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    for byte in head + b"3;x\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n":
        sock.sendall(bytes([byte]))
        gevent.sleep(0.001)
    assert fakes.read_to_end(sock)[0].endswith(b"ok")
    body = target.requests[0].partition(b"\r\n\r\n")[2]
    assert "".join(body.decode().split("\r\n")[1::2]) == "abcde"


def test_tiny_chunks_are_joined(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    count = 20_000
    body = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    assert fakes.exchange(serve(gateway).address, head + body).endswith(b"ok")
    received = target.requests[0].partition(b"\r\n\r\n")[2]
    assert received.count(b"x") == count
    assert received.count(b"\r\n") < 200
