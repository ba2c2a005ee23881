"""Stand-in of a target: slots, rejections and broken answers."""

import collections
import contextlib
import socket
import time

import attrs
import gevent
import gevent.event
import gevent.server

END_OF_HEAD = b"\r\n\r\n"
RECEIVE_BYTES = 65536
SIGNATURE = "sig"


@attrs.frozen
class Received:
    """A request as it arrived.

    Attributes:
        method: HTTP method.
        path: Path and query.
        fields: Header fields by lower-case name.
        body: Whole body.
        arrived_s: When it had arrived, on the monotonic clock, in seconds.
    """

    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    arrived_s: float = attrs.field(factory=time.monotonic)


class Instance:
    """One target on a port of its own.

    Attributes:
        name: Identifier of the target.
        slots: Requests at the same time; more are rejected.
        work_s: Time to work on a request, in seconds.
        script: Faults of the next answers, in order; see `_answer`.
        runs: Requests that were run.
        rejected: Number of requests that were not run.
        running: Requests in progress.
        cancelled: Requests whose caller left while they ran.
        connections: Connections accepted so far.
        endless: Answers without an end that were begun so far.
        endless_open: Those whose caller has not closed the connection.
    """

    def __init__(self, name: str, slots: int = 4, work_s: float = 0.0):
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.script: collections.deque[str] = collections.deque()
        self.runs: list[Received] = []
        self.rejected = 0
        self.running = 0
        self.cancelled = 0
        self.connections = 0
        self.endless = 0
        self.endless_open = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it listens, `ip:port`."""
        return f"127.0.0.1:{self.server.server_port}"

    def entry(self, service: str, zone: str, **status: object) -> dict:
        """Returns what it says of itself to the store."""
        return {
            "Address": self.address,
            "born": 1,
            "Info": {
                "Service": service,
                "Version": "v1",
                "Zone": zone,
                "Slots": self.slots,
            },
            "Status": {"State": "ready", "Seq": 1, **status},
        }

    def _serve(self, sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        with contextlib.suppress(OSError):
            self._serve_requests(sock)

    def _serve_requests(self, sock) -> None:
        """Answers requests; `OSError` is how a caller's end shows."""
        rest = b""
        while True:
            while END_OF_HEAD not in rest:
                rest += _receive(sock)
            head, _, rest = rest.partition(END_OF_HEAD)
            received, rest = self._read(sock, head, rest)
            fault = self.script.popleft() if self.script else ""
            if not self._answer(sock, received, fault):
                sock.close()
                return

    def _read(self, sock, head, rest):
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        if fields.get("transfer-encoding") == "chunked":
            while not rest.endswith(b"0\r\n\r\n"):
                rest += _receive(sock)
            return Received(method, path, fields, _unchunked(rest)), b""
        length = int(fields.get("content-length", 0))
        while len(rest) < length:
            rest += _receive(sock)
        return Received(method, path, fields, rest[:length]), rest[length:]

    def _answer(self, sock, received: Received, fault: str) -> bool:
        """Answers a request; returns whether the connection is kept."""
        attempt_id = received.fields.get("x-attempt-id", "")
        wanted = received.fields.get("x-target-instance", self.name)
        if wanted != self.name:
            self.rejected += 1
            return self._send(sock, "421 Misdirected", attempt_id, b"")
        if fault == "reject" or self.running >= self.slots:
            self.rejected += 1
            not_run = ["X-Not-Executed: 1"]
            return self._send(sock, "503 Busy", attempt_id, b"", not_run)
        self.runs.append(received)
        self.running += 1
        try:
            gone = self._work(sock, fault)
        finally:
            self.running -= 1
        if gone:
            self.cancelled += 1
            return False
        body = b"%s of %s" % (attempt_id.encode(), self.name.encode())
        if fault.startswith("endless"):
            return self._answer_endlessly(sock, fault, attempt_id, body)
        return self._finish(sock, fault, attempt_id, body)

    def _work(self, sock, fault: str) -> bool:
        """Works; returns whether the caller left meanwhile."""
        work_s = 60.0 if fault == "hang" else self.work_s
        if not work_s:
            return False
        try:
            with gevent.Timeout(work_s, False):
                return sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True
        return False

    def _finish(self, sock, fault, attempt_id, body) -> bool:
        match fault:
            case "reset":
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" + b"\0" * 4
                )
                return False
            case "fail":
                return self._send(sock, "500 Failed", attempt_id, body)
            case "truncate":
                head = self._head("200 OK", attempt_id, len(body) + 9)
                sock.sendall(head + body)
                return False
            case "garbage":
                sock.sendall(b"\0\1\2 this is no answer\r\n\r\n")
                return False
            case "unsigned":
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return True
            case "unframed":
                head = self._head("200 OK", attempt_id, None)
                sock.sendall(head + body)
                return False
            case "unframed reset":
                head = self._head("200 OK", attempt_id, None)
                sock.sendall(head + body)
                gevent.sleep(0.05)
                return self._finish(sock, "reset", attempt_id, body)
            case "extra late":
                self._send(sock, "200 OK", attempt_id, body)
                gevent.spawn_later(0.1, self._send_extra, sock, attempt_id)
                return True
        return self._send(sock, "200 OK", attempt_id, body)

    def _answer_endlessly(self, sock, fault, attempt_id, body) -> bool:
        """Answers with bytes without end that are no answer."""
        begun, repeated = b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"
        match fault:
            case "endless head":
                begun, repeated = begun + b"A: ", b"a"
            case "endless trailer":
                begun = self._chunked(attempt_id, body) + b"0\r\nA: "
                repeated = b"a"
            case "endless trailers":
                begun = self._chunked(attempt_id, body) + b"0\r\n"
            case "endless extension":
                begun = self._chunked(attempt_id, body) + b"1;"
                repeated = b"a"
            case "endless body":
                begun = self._head("200 OK", attempt_id, None) + body
                repeated = b"a"
            case "endless chunks":
                begun = self._chunked(attempt_id, body)
                repeated = b"400\r\n%s\r\n" % (b"a" * 0x400)
        piece = repeated * (RECEIVE_BYTES // len(repeated))
        self.endless += 1
        self.endless_open += 1
        try:
            sock.sendall(begun)
            while True:
                sock.sendall(piece)
        finally:
            self.endless_open -= 1

    def _chunked(self, attempt_id, body) -> bytes:
        """Returns an answer in chunks, without its end."""
        coding = ["Transfer-Encoding: chunked"]
        head = self._head("200 OK", attempt_id, None, coding)
        return head + b"%x\r\n%s\r\n" % (len(body), body)

    def _send_extra(self, sock, attempt_id) -> None:
        try:
            self._send(sock, "200 OK", attempt_id, b"extra")
        except OSError:
            return

    def _head(self, status, attempt_id, length, extra=()) -> bytes:
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Response-Signature: {SIGNATURE}.{self.name}",
            f"X-Instance-Load: {self.running},0,{self.slots}",
            *extra,
        ]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + END_OF_HEAD

    def _send(self, sock, status, attempt_id, body, extra=()) -> bool:
        sock.sendall(self._head(status, attempt_id, len(body), extra) + body)
        return True


def _receive(sock) -> bytes:
    """Returns some bytes.

    Raises:
        ConnectionError: The other end has closed the connection.
    """
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("The caller has left.")
    return data


def _unchunked(data: bytes) -> bytes:
    pieces = []
    while True:
        size, _, rest = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return b"".join(pieces)
        pieces.append(rest[:length])
        data = rest[length + 2 :]
