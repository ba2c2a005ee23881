"""Writing of responses to a caller or a relaying VM."""

from collections.abc import Callable

import gevent.event

from mulberrydeck import errors
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import responses as upstream_responses
from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems

LAST_CHUNK = b"0\r\n\r\n"

_STATUS_LINES = {
    status: f"HTTP/1.1 {status} {problems.reason_phrase(status)}\r\n"
    for status in range(200, 600)
}


class ResponseWriter:
    """Writes one response and tracks how much of it was sent.

    Attributes:
        begun: Whether the response was started.
        sent: Whether sending to the peer has started.
        finished: Whether the response was sent completely.
        status: HTTP status code; 0 before the response is started.
        closing: Whether the connection closes after this response.
        turn: Set when all earlier responses of the connection are written;
            None if there are none.
    """

    def __init__(
        self,
        connection: buffered.BufferedConnection,
        head: heads.RequestHead | None,
        closing: bool,
        pace: Callable[[int], int] | None = None,
    ) -> None:
        """Prepares a response.

        Args:
            connection: Connection to write to.
            head: Head of the request; None if it could not be read.
            closing: Whether the connection closes after this response.
            pace: Blocks until at least one of the given number of bytes may be
                sent, and returns how many may; None if not limited.
        """
        self.connection = connection
        self.method = "GET" if head is None else head.method
        self.minor = 1 if head is None else head.minor
        self.closing = closing
        self.pace = pace
        self.turn: gevent.event.Event | None = None
        self.pending: list[bytes] = []
        self.chunked = False
        self.omits_body = False
        self.remaining_bytes: int | None = None
        self.begun = False
        self.sent = False
        self.finished = False
        self.status = 0

    def begin(
        self, status: int, fields: list[tuple[str, str]], length: int | None
    ) -> None:
        """Starts the response; the head is sent with the first piece.

        Args:
            status: HTTP status code, from 200 to 599.
            fields: Header fields as received from the next hop.
            length: Body length in bytes; None if unknown.
        """
        lines = header_fields.encode(header_fields.filter_response(fields))
        self._begin(status, lines, length)

    def send_complete(
        self, status: int, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a complete response that this VM generates itself.

        Args:
            status: HTTP status code.
            fields: Header fields without those of framing and connection.
            body: Complete body.
        """
        self._begin(status, header_fields.encode(fields), len(body))
        self.write(body)
        self.finish()

    def write(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if self.omits_body or not data:
            return
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(data)
        if self.chunked:
            self.pending.append(b"%x\r\n" % len(data))
            self.pending.append(data)
            self.pending.append(b"\r\n")
        else:
            self.pending.append(data)

    def flush(self) -> None:
        """Sends the pieces that were added; waits for the turn of the response.

        Raises:
            buffered.ConnectionLostError: The connection failed, or the link to
                the peer had no quota for too long.
        """
        if not self.pending:
            return
        if self.turn is not None and not self.turn.is_set():
            waiting_bytes = sum(map(len, self.pending))
            with self.connection.count_unsent(waiting_bytes):
                self.turn.wait()
        data = b"".join(self.pending)
        self.pending.clear()
        if self.pace is None:
            self.sent = True
            self.connection.send(data)
            return
        view = memoryview(data)
        while len(view):
            allowed = self._allow(len(view))
            self.sent = True
            self.connection.send(view[:allowed])
            view = view[allowed:]

    def _allow(self, count: int) -> int:
        try:
            return self.pace(count)
        except errors.LinkBusyError as error:
            raise buffered.ConnectionLostError(str(error)) from error

    def finish(self) -> None:
        """Marks the response as complete and sends the rest of it.

        Raises:
            buffered.ConnectionLostError: The connection failed, or the link to
                the peer had no quota for too long.
        """
        if self.chunked and not self.omits_body:
            self.pending.append(LAST_CHUNK)
        self.flush()
        self.finished = True
        if self.remaining_bytes:
            self.closing = True

    def _begin(self, status: int, lines: str, length: int | None) -> None:
        self.begun = True
        self.status = status
        has_no_content = status in upstream_responses.NO_CONTENT_STATUSES
        self.omits_body = has_no_content or self.method == "HEAD"
        framing = ""
        if length is not None and status != 204:
            framing = f"content-length: {length}\r\n"
            self.remaining_bytes = 0 if self.omits_body else length
        elif not has_no_content and self.minor == 1:
            framing = "transfer-encoding: chunked\r\n"
            self.chunked = True
        elif not has_no_content:
            self.closing = True
        head = "".join(
            (
                _STATUS_LINES[status],
                lines,
                framing,
                self._connection_line(),
                "\r\n",
            )
        )
        self.pending.append(head.encode("latin-1"))

    def _connection_line(self) -> str:
        if self.closing:
            return "connection: close\r\n"
        return "connection: keep-alive\r\n" if self.minor == 0 else ""
