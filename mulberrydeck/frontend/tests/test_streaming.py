"""Large bodies stream both ways; hang-ups, deadlines and stops."""

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


def push(sock, size):
    for _ in range(size // len(PIECE)):
        sock.sendall(PIECE)


class Sized:
    """A target that takes in `size` body bytes, then answers with `answer`."""

    def __init__(self, size, answer=b""):
        self.size = size
        self.answer = answer
        self.received = 0
        self.go = gevent.event.Event()
        self.go.set()
        self.ended = gevent.event.Event()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, sock, _address):
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(100)
        self.received = len(data.partition(b"\r\n\r\n")[2])
        self.go.wait()
        while self.received < self.size and (data := sock.recv(65536)):
            self.received += len(data)
        if self.received >= self.size:
            length = len(self.answer) * 4 if self.answer else 0
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            sock.sendall(head % length)
            for _ in range(4 if self.answer else 0):
                sock.sendall(self.answer)
        sock.close()
        self.ended.set()


@pytest.mark.parametrize("hops", [1, 2])
def test_large_bodies_pass_with_flat_memory(serve, hops):
    target = Sized(LARGE, b"y" * (LARGE // 4))
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    if hops == 2:
        relay = serve(gateway, server.RelayServer)
        gateway = fakes.FakeGateway(fakes.to_vm(relay.address, link="a/b"))
    sock = fakes.connect(serve(gateway).address)
    tracemalloc.start()
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % LARGE)
    pusher = gevent.spawn(push, sock, LARGE)
    received = 0
    while data := sock.recv(65536):
        received += len(data)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    pusher.get()
    assert target.received == LARGE
    assert received > LARGE
    assert peak < 8 * MIB
    if hops == 2:
        carried = sum(count for link, count in gateway.paced)
        assert LARGE < carried < LARGE + 2000


def test_a_target_that_does_not_read_stops_the_caller(serve):
    target = Sized(LARGE * 4)
    target.go.clear()
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % (LARGE * 4))
    pushed = [0]

    def push_counted():
        while pushed[0] < LARGE * 4:
            pushed[0] += sock.send(PIECE)

    gevent.spawn(push_counted)
    seen = -1
    while seen != pushed[0]:
        seen = pushed[0]
        gevent.sleep(0.3)
    assert seen < LARGE * 2
    target.go.set()
    answer, _ = fakes.read_to_end(sock)
    assert answer.startswith(b"HTTP/1.1 200 OK")


def test_an_early_answer_ends_an_upload(serve, targets):
    early = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"

    def answer_at_once(sock, _address):
        sock.recv(1000)
        sock.sendall(early)
        gevent.sleep(fakes.WAIT_S)

    eager = gevent.server.StreamServer(("127.0.0.1", 0), answer_at_once)
    eager.start()
    address = f"127.0.0.1:{eager.server_port}"
    gateway = fakes.FakeGateway(fakes.to_target(address))
    caller = serve(gateway)
    sock = fakes.connect(caller.address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % LARGE + PIECE)
    answer, _ = fakes.read_to_end(sock)
    assert answer.endswith(b"big")
    eager.stop(timeout=0)


def test_a_large_body_is_not_replayed(serve, targets):
    target = targets(None)
    gateway = fakes.FakeGateway(
        fakes.to_target("127.0.0.1:1"),
        fakes.to_target(target.address),
        fakes.refuse(),
    )
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(POST + b"Content-Length: %d\r\n\r\n" % len(PIECE) + PIECE)
    answer, _ = fakes.read_to_end(sock)
    first, second = gateway.ended()
    assert (first.outcome, first.replayable) == (NOT_RUN, True)
    assert (second.outcome, second.replayable) == (UNKNOWN, False)
    assert b"mulberrydeck-ran: unknown" in answer


def test_a_small_chunked_body_is_replayed(serve, targets):
    broken, target = targets(None), targets(OK)
    gateway = fakes.FakeGateway(
        fakes.to_target(broken.address), fakes.to_target(target.address)
    )
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    chunked += b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
    answer = fakes.ask(serve(gateway).address, POST + chunked)
    assert answer.endswith(b"ok")
    body = target.requests[0].partition(b"\r\n\r\n")[2]
    assert body == b"5\r\nabcde\r\n0\r\n\r\n"


@pytest.mark.parametrize("extra", [b"", fakes.get() * 3])
@pytest.mark.parametrize("body", [b"", b"Content-Length: 1000000\r\n"])
def test_a_hang_up_cancels_the_work(serve, extra, body):
    target = Sized(MIB)
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


def test_a_hang_up_within_the_answer_leaves_its_status_known(serve, targets):
    def begin(sock):
        sock.sendall(b"HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nab")
        sock.recv(1)

    target = targets(begin)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(fakes.get())
    assert fakes.receive(sock).startswith(b"HTTP/1.1 201 ")
    sock.close()
    assert gateway.closed.wait(fakes.WAIT_S)
    ended = gateway.ended()[0]
    assert (ended.outcome, ended.status) == (ANSWERED, 201)


def test_a_truncated_upload_is_never_whole_at_the_target(serve, targets):
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
def test_a_passed_deadline_tells_the_truth(serve, targets, address, ran):
    silent = targets(lambda sock: gevent.sleep(fakes.WAIT_S))
    address = silent.address if address == "silent" else address
    expired = fakes.to_target(address, remaining_s=0.0)
    gateway = fakes.FakeGateway(
        fakes.to_target(address, remaining_s=0.3), expired
    )
    caller = serve(gateway)
    request = fakes.get("/v1/services/s/x", "Mulberrydeck-Deadline: 0.3")
    sock = fakes.connect(caller.address)
    sock.sendall(request)
    answer = fakes.read_message(sock)
    problem = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert answer.startswith(b"HTTP/1.1 504 ")
    assert (problem["kind"], problem["ran"]) == ("deadline-exceeded", ran)
    assert gateway.arrived()[0].deadline_s == 0.3


@pytest.mark.parametrize("value", ["0", "-1", "soon", "1e9", "nan", ""])
def test_bad_deadlines_are_refused(serve, value):
    caller = serve(fakes.FakeGateway(fakes.refuse()))
    lines = (f"Mulberrydeck-Deadline: {value}", "Connection: close")
    answer = fakes.ask(caller.address, fakes.get("/v1/services/s/x", *lines))
    assert b'"kind": "bad-deadline"' in answer


def test_a_stop_serves_what_has_arrived(serve, targets):
    release = gevent.event.Event()

    def slow(sock):
        release.wait()
        sock.sendall(OK)

    target = targets(slow)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway)
    busy, idle = fakes.connect(caller.address), fakes.connect(caller.address)
    busy.sendall(fakes.get())
    while not caller.in_flight:
        gevent.sleep(0.01)
    stopping = gevent.spawn(caller.stop)
    gevent.sleep(0.2)
    late = fakes.connect(caller.address)
    late.sendall(fakes.get())
    assert not stopping.ready()
    release.set()
    for sock in (busy, late):
        answer, _ = fakes.read_to_end(sock)
        assert answer.endswith(b"ok")
    assert b"connection: close" in answer
    assert fakes.read_to_end(idle) == (b"", False)
    stopping.get(timeout=fakes.WAIT_S)
    with pytest.raises(ConnectionRefusedError):
        fakes.connect(caller.address)


def test_a_request_may_come_byte_by_byte(serve, targets):
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
    assert fakes.ask(serve(gateway).address, head + body).endswith(b"ok")
    received = target.requests[0].partition(b"\r\n\r\n")[2]
    assert received.count(b"x") == count
    assert received.count(b"\r\n") < 200
