"""A scripted core, scripted targets, and helpers to send raw HTTP requests."""

import socket
import time

import attrs
import gevent
import gevent.event
import gevent.server
import gevent.socket

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway as gateways
from mulberrydeck.settings import declarations

NO_TARGET = errors.Problem("no-target", 503, "None is free.", "no", 1.5)
SECRET = "fleet"
WAIT_S = 20.0


def settings(**changes):
    values = {
        "name": "a1",
        "zone": "a",
        "caller_address": "127.0.0.1:0",
        "relay_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_url": "http://127.0.0.1:1",
        "fleet_secret": SECRET,
        "stop_notice_s": 0.05,
    }
    return declarations.Settings(**(values | changes))


def to_target(address, **changes):
    values = {
        "request_id": "",
        "attempt": 1,
        "target": "t1",
        "address": address,
        "account": "acme",
        "remaining_s": 30.0,
        "repeatable": True,
    }
    return effects.ForwardToTarget(**(values | changes))


def to_vm(address, **changes):
    values = {
        "request_id": "",
        "attempt": 1,
        "vm": "b1",
        "address": address,
        "account": "acme",
        "remaining_s": 30.0,
        "repeatable": True,
    }
    return effects.ForwardToVm(**(values | changes))


class FakeGateway:
    """Returns decisions from a list; the last one is repeated."""

    def __init__(self, *decisions):
        self.decisions = list(decisions)
        self.events = []
        self.pacing_calls = []
        self.closed = gevent.event.Event()
        self.outcome = None

    def now_s(self):
        return time.monotonic()

    def submit(self, event):
        self.events.append(event)
        if isinstance(event, events.RequestClosed):
            self.closed.set()

    def decide(self, event):
        self.events.append(event)
        decision = self.decisions[0]
        if len(self.decisions) > 1:
            self.decisions.pop(0)
        attempt = sum(
            isinstance(past, events.AttemptEnded) for past in self.events
        )
        if isinstance(decision, effects.Refuse):
            return decision
        return attrs.evolve(
            decision, request_id=event.request_id, attempt=attempt + 1
        )

    def allow_bytes(self, link, count):
        self.pacing_calls.append((link, count))
        return count

    def lookup(self, query):
        self.events.append(query)
        vm = gateways.EntryVm("a1", "a", "127.0.0.1:1")
        return gateways.LookupResponse((vm,), 5.0, 7)

    def run_outcome(self, key, run_id):
        self.events.append((key, run_id))
        return self.outcome

    def arrived(self):
        return [e for e in self.events if isinstance(e, events.RequestArrived)]

    def ended(self):
        return [e for e in self.events if isinstance(e, events.AttemptEnded)]


def refuse(problem=NO_TARGET):
    return effects.Refuse("", problem)


class ScriptedTarget:
    """Handles each request with the next step of a script.

    A step is bytes to send, None to close the connection, or a callable that
    takes the socket. The last step is repeated.

    Attributes:
        echoes: Whether bytes of a script are identified with the attempt.
    """

    def __init__(self, *steps, echoes=False):
        self.steps = list(steps)
        self.echoes = echoes
        self.requests = []
        self.connections = 0
        self.closed = gevent.event.Event()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, sock, _address):
        self.connections += 1
        try:
            while (request := read_message(sock)) is not None:
                self.requests.append(request)
                step = (
                    self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
                )
                if step is None:
                    break
                if callable(step):
                    step(sock)
                else:
                    sock.sendall(self.identify(step) if self.echoes else step)
        except OSError:
            pass
        finally:
            sock.close()
            self.closed.set()

    def identify(self, response):
        """Adds the identifier of the last attempt to a response."""
        return identify(response, self.requests[-1])

    def stop(self):
        self.server.stop(timeout=0)


def identify(response, request):
    """Adds the identifier of an attempt to a response.

    Args:
        response: Response as encoded.
        request: Request of the attempt, as received.
    """
    name = b"mulberrydeck-attempt-id"
    head, _, _ = request.partition(b"\r\n\r\n")
    status_line, *rest = response.split(b"\r\n")
    added = [line for line in head.split(b"\r\n") if line.startswith(name)]
    return b"\r\n".join([status_line, *added, *rest])


def read_message(sock):
    """Reads a message as sent; returns None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        while not body.endswith(b"0\r\n\r\n"):
            body += receive(sock)
    elif b"content-length: " in lowered:
        length = int(lowered.split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += receive(sock)
    return head + b"\r\n\r\n" + body


def receive(sock):
    piece = sock.recv(65536)
    if not piece:
        raise ConnectionError("connection closed early")
    return piece


def connect(address):
    host, _, port = address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    sock.settimeout(WAIT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_to_end(sock):
    """Returns the bytes up to the end, and whether the connection was reset."""
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except ConnectionResetError:
        return data, True
    return data, False


def read_to_end_of(sock, count):
    """Reads at least `count` bytes; returns them and whether it was reset."""
    data = b""
    try:
        while len(data) < count and (piece := sock.recv(65536)):
            data += piece
    except ConnectionResetError:
        return data, True
    return data, False


def exchange(address, data):
    """Sends bytes on a new connection and returns all received bytes."""
    sock = connect(address)
    sock.sendall(data)
    response, _ = read_to_end(sock)
    sock.close()
    return response


def get_request(path="/v1/services/s/x", *lines):
    fields = "".join(f"{line}\r\n" for line in ("Host: vm", *lines))
    return f"GET {path} HTTP/1.1\r\n{fields}\r\n".encode("latin-1")
