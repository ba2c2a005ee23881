"""Stand-in of a target: slots, rejections and faulty responses."""

import collections
import contextlib
import socket
import time
import urllib.parse

import attrs
import gevent
import gevent.event
import gevent.server

END_OF_HEAD = b"\r\n\r\n"
RECEIVE_BYTES = 65536
SIGNATURE = "sig"
# The copy of a refusal arrives while the next request is running.
COPY_DELAY_S = 0.05
CUT_HEAD_BYTES = 10
# Length of a long body; larger than what a VM keeps of a failed response.
LONG_BODY_BYTES = 400_000
MISSING_BODY_BYTES = 9
MS_PER_S = 1000
REASONS = {
    200: "OK",
    408: "Timeout",
    429: "Too Many Requests",
    500: "Failed",
    503: "Busy",
}


@attrs.frozen
class Request:
    """A complete request as it arrived.

    Attributes:
        method: HTTP method.
        path: Path and query.
        fields: Header fields by lower-case name.
        body: Complete body.
        arrived_s: Monotonic time at which it was complete, in seconds.
    """

    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    arrived_s: float = attrs.field(factory=time.monotonic)


class Instance:
    """One target, which listens on its own port.

    Attributes:
        name: Identifier of the target.
        slots: Requests that run at once; more are rejected.
        work_s: Work time of a request, in seconds. A request with `work_ms` in
            its query sets its own, in milliseconds.
        leaving: Whether all responses say that it is about to stop.
        pause: Value of `Retry-After` in refusals; empty for none.
        queued_faults: Faults of the next requests, in order; see `_respond`.
        runs: Requests that were run.
        statuses: Statuses of its signed responses, by identifier of the
            request.
        played_faults: Faults so far, by identifier of the request; `copy` or
            `bare copy` if an earlier response was repeated before its own.
        current_ids: Identifier of the latest request, by connection.
        broken_off: Identifiers of requests whose last response breaks off.
        copies: Refusals that are repeated before the next response on a
            connection, by connection.
        rejected: Number of requests that were not run.
        running: Number of requests that are running.
        cancelled: Number of requests whose caller closed the connection while
            they ran.
        cancelled_s: Monotonic time at which that was noticed, in seconds, by
            identifier of the request.
        connections: Number of connections accepted so far.
        endless_responses_started: Number of endless responses started so far.
        endless_responses_open: Number of them whose connection is still open.
    """

    def __init__(self, name: str, slots: int = 4, work_s: float = 0.0):
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.leaving = False
        self.pause = ""
        self.queued_faults: collections.deque[str] = collections.deque()
        self.runs: list[Request] = []
        self.statuses: dict[str, set[int]] = {}
        self.played_faults: dict[str, list[str]] = {}
        self.current_ids: dict[socket.socket, str] = {}
        self.broken_off: set[str] = set()
        self.copies: dict[socket.socket, bytes] = {}
        self.rejected = 0
        self.running = 0
        self.cancelled = 0
        self.cancelled_s: dict[str, float] = {}
        self.connections = 0
        self.endless_responses_started = 0
        self.endless_responses_open = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Address that it listens on, `ip:port`."""
        return f"127.0.0.1:{self.server.server_port}"

    def entry(self, service: str, zone: str, **status: object) -> dict:
        """Returns the target's entry in the metadata store."""
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

    def body(self, attempt_id: str) -> bytes:
        """Returns the body of a successful response to a request."""
        return f"{attempt_id} of {self.name}".encode()

    def _serve(self, sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        try:
            with contextlib.suppress(OSError):
                self._serve_requests(sock)
        finally:
            self.copies.pop(sock, None)
            self.current_ids.pop(sock, None)

    def _serve_requests(self, sock) -> None:
        """Serves requests until an `OSError` ends the connection."""
        rest = b""
        while True:
            while END_OF_HEAD not in rest:
                rest += _receive(sock)
            head, _, rest = rest.partition(END_OF_HEAD)
            method, path, fields = _parsed(head)
            if self.queued_faults and self.queued_faults[0] == "reject early":
                fault = self.queued_faults.popleft()
                attempt_id = fields.get("x-attempt-id", "")
                self._record_fault(attempt_id, fault)
                self._reject(sock, fault, attempt_id)
                _, rest = self._read(sock, method, path, fields, rest)
                continue
            received, rest = self._read(sock, method, path, fields, rest)
            fault = self.queued_faults.popleft() if self.queued_faults else ""
            if not self._respond(sock, received, fault):
                sock.close()
                return

    def _read(self, sock, method, path, fields, rest):
        if fields.get("transfer-encoding") == "chunked":
            while not rest.endswith(b"0\r\n\r\n"):
                rest += _receive(sock)
            return Request(method, path, fields, _unchunked(rest)), b""
        length = int(fields.get("content-length", 0))
        while len(rest) < length:
            rest += _receive(sock)
        return Request(method, path, fields, rest[:length]), rest[length:]

    def _respond(self, sock, received: Request, fault: str) -> bool:
        """Runs or rejects a request; returns whether the connection is kept.

        Args:
            sock: Connection of the request.
            received: The request.
            fault: Empty for none; `hang`, or a fault of `_reject`, `_finish`,
                `_send_status` or `_respond_endlessly`.
        """
        attempt_id = received.fields.get("x-attempt-id", "")
        self.current_ids[sock] = attempt_id
        if fault:
            self._record_fault(attempt_id, fault)
        if sock in self.copies:
            interim = self._interim_head(attempt_id)
            self._send_copy(sock, interim, self.copies.pop(sock))
        addressee = received.fields.get("x-target-instance", self.name)
        if addressee != self.name:
            self.rejected += 1
            return self._send(sock, "421 Misdirected", attempt_id, b"")
        if fault.startswith("reject") or self.running >= self.slots:
            return self._reject(sock, fault, attempt_id)
        self.runs.append(received)
        self.running += 1
        try:
            caller_closed = self._work(sock, received, fault)
        finally:
            self.running -= 1
        if caller_closed:
            self.cancelled += 1
            self.cancelled_s[attempt_id] = time.monotonic()
            return False
        body = self.body(attempt_id)
        if fault.startswith("endless"):
            return self._respond_endlessly(sock, fault, attempt_id, body)
        if fault.startswith("ran "):
            return self._send_status(sock, fault, attempt_id, body)
        return self._finish(sock, fault, attempt_id, body)

    def _reject(self, sock, fault: str, attempt_id: str) -> bool:
        """Rejects a request.

        Args:
            sock: Connection of the request.
            fault: Empty or `reject` for none; `reject broken` (it ends within
                the body); `reject early` (before the request's body is read);
                `reject twice` (the copy comes late), `reject twice spaced` (the
                copy comes after empty lines), `reject twice interim` (the copy
                comes after an interim response to the next request), each also
                with `bare` (without the identifier).
            attempt_id: Identifier of the request.

        Returns:
            Whether the connection is kept.
        """
        self.rejected += 1
        words = fault.split()
        extra = ["X-Not-Executed: 1"]
        if self.pause:
            extra.append(f"Retry-After: {self.pause}")
        length = MISSING_BODY_BYTES if "broken" in words else 0
        head = self._head("503 Busy", attempt_id, length, extra)
        if "bare" in words:
            head = head.replace(f"X-Attempt-Id: {attempt_id}\r\n".encode(), b"")
        if "broken" in words:
            self.broken_off.add(attempt_id)
        sock.sendall(head)
        if "interim" in words:
            self.copies[sock] = head
        elif "twice" in words:
            start = b"\r\n\r\n" if "spaced" in words else b""
            gevent.spawn_later(COPY_DELAY_S, self._send_copy, sock, start, head)
        return "broken" not in words

    def _work(self, sock, received: Request, fault: str) -> bool:
        """Waits for the work time.

        Returns:
            Whether the caller closed the connection meanwhile.
        """
        work_s = 60.0 if fault == "hang" else self._work_s(received)
        if not work_s:
            return False
        try:
            with gevent.Timeout(work_s, False):
                return sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True
        return False

    def _work_s(self, received: Request) -> float:
        _, _, query = received.path.partition("?")
        values = urllib.parse.parse_qs(query).get("work_ms")
        return float(values[0]) / MS_PER_S if values else self.work_s

    def _finish(self, sock, fault, attempt_id, body) -> bool:
        """Sends the response to a request that ran, with its fault.

        Returns:
            Whether the connection is kept.
        """
        match fault:
            case "reset":
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" + b"\0" * 4
                )
                return False
            case "fail":
                return self._send(sock, "500 Failed", attempt_id, body)
            case "truncate":
                length = len(body) + MISSING_BODY_BYTES
                head = self._head("200 OK", attempt_id, length)
                self.broken_off.add(attempt_id)
                sock.sendall(head + body)
                return False
            case "cut head":
                head = self._head("200 OK", attempt_id, len(body))
                self.broken_off.add(attempt_id)
                sock.sendall(head[:-CUT_HEAD_BYTES])
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
                self.broken_off.add(attempt_id)
                sock.sendall(head + body)
                gevent.sleep(0.05)
                return self._finish(sock, "reset", attempt_id, body)
            case "extra late":
                self._send(sock, "200 OK", attempt_id, body)
                gevent.spawn_later(0.1, self._send_extra, sock, attempt_id)
                return True
        return self._send(sock, "200 OK", attempt_id, body)

    def _send_status(self, sock, fault, attempt_id, body) -> bool:
        """Sends a response with the status that the fault names.

        Args:
            sock: Connection of the request.
            fault: `ran`, the status (as in `ran 503`), and any of the words
                `pause` (with `Retry-After`), `marked` (with `X-Not-Executed`,
                although the request ran), `blank` (the same, with an empty
                value), `long` (with a long body) and `broken` (it ends within
                the body).
            attempt_id: Identifier of the request.
            body: Body, or its start.

        Returns:
            Whether the connection is kept.
        """
        _, status, *words = fault.split()
        extra = []
        if "pause" in words:
            extra.append("Retry-After: 1")
        if "marked" in words:
            extra.append("X-Not-Executed: 1")
        if "blank" in words:
            extra.append("X-Not-Executed:")
        if "long" in words:
            body += b"a" * LONG_BODY_BYTES
        is_broken = "broken" in words
        length = len(body) + MISSING_BODY_BYTES * is_broken
        line = f"{status} {REASONS[int(status)]}"
        head = self._head(line, attempt_id, length, extra)
        if is_broken:
            self.broken_off.add(attempt_id)
        sock.sendall(head + body)
        return not is_broken

    def _respond_endlessly(self, sock, fault, attempt_id, body) -> bool:
        """Sends a response that never ends, until the caller closes."""
        start, repeated = b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"
        match fault:
            case "endless head":
                start, repeated = start + b"A: ", b"a"
            case "endless trailer":
                start = self._chunked(attempt_id, body) + b"0\r\nA: "
                repeated = b"a"
            case "endless trailers":
                start = self._chunked(attempt_id, body) + b"0\r\n"
            case "endless extension":
                start = self._chunked(attempt_id, body) + b"1;"
                repeated = b"a"
            case "endless body":
                start = self._head("200 OK", attempt_id, None) + body
                repeated = b"a"
            case "endless chunks":
                start = self._chunked(attempt_id, body)
                repeated = b"400\r\n%s\r\n" % (b"a" * 0x400)
        chunk = repeated * (RECEIVE_BYTES // len(repeated))
        self.endless_responses_started += 1
        self.endless_responses_open += 1
        try:
            sock.sendall(start)
            while True:
                sock.sendall(chunk)
        finally:
            self.endless_responses_open -= 1

    def _chunked(self, attempt_id, body) -> bytes:
        """Returns a chunked response without its last chunk."""
        coding = ["Transfer-Encoding: chunked"]
        head = self._head("200 OK", attempt_id, None, coding)
        return head + b"%x\r\n%s\r\n" % (len(body), body)

    def _send_extra(self, sock, attempt_id) -> None:
        body = b"extra"
        head = self._head("200 OK", attempt_id, len(body))
        self._send_copy(sock, b"", head + body)

    def _send_copy(self, sock, start: bytes, copy: bytes) -> None:
        """Sends a response to an earlier request, after some other bytes."""
        kind = "copy" if b"X-Attempt-Id" in copy else "bare copy"
        self._record_fault(self.current_ids.get(sock, ""), kind)
        with contextlib.suppress(OSError):
            sock.sendall(start + copy)

    def _record_fault(self, attempt_id: str, fault: str) -> None:
        self.played_faults.setdefault(attempt_id, []).append(fault)

    def _interim_head(self, attempt_id) -> bytes:
        lines = ["HTTP/1.1 103 Early Hints", f"X-Attempt-Id: {attempt_id}"]
        return "\r\n".join(lines).encode() + END_OF_HEAD

    def _head(self, status, attempt_id, length, extra=()) -> bytes:
        code = int(status.split()[0])
        self.statuses.setdefault(attempt_id, set()).add(code)
        self.broken_off.discard(attempt_id)
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Response-Signature: {SIGNATURE}.{self.name}",
            f"X-Instance-Load: {self.running},0,{self.slots}",
            *extra,
        ]
        if self.leaving:
            lines.append("Server-Leaving: 1")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + END_OF_HEAD

    def _send(self, sock, status, attempt_id, body, extra=()) -> bool:
        sock.sendall(self._head(status, attempt_id, len(body), extra) + body)
        return True


def _receive(sock) -> bytes:
    """Returns the next bytes of a connection.

    Raises:
        ConnectionError: The caller has closed the connection.
    """
    data = sock.recv(RECEIVE_BYTES)
    if not data:
        raise ConnectionError("Caller closed the connection.")
    return data


def _parsed(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Returns the method, the path and the header fields of a request."""
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return method, path, fields


def _unchunked(data: bytes) -> bytes:
    chunks = []
    while True:
        size, _, rest = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return b"".join(chunks)
        chunks.append(rest[:length])
        data = rest[length + 2 :]
