"""Writing of answers towards a caller or a relaying VM."""

from collections.abc import Callable

from mulberrydeck import errors
from mulberrydeck.forward import fields as header_fields
from mulberrydeck.forward import responses as parsed
from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems

LAST_CHUNK = b"0\r\n\r\n"

_STATUS_LINES = {
    status: f"HTTP/1.1 {status} {problems.reason_phrase(status)}\r\n"
    for status in range(200, 600)
}


class ResponseWriter:
    """Writes one answer and remembers how far it got.

    Attributes:
        begun: Whether `begin` was called.
        sent: Whether any byte went to the peer.
        finished: Whether the answer was sent as whole.
        status: HTTP status code, or 0 before `begin`.
        closing: Whether the connection closes after this answer.
    """

    def __init__(
        self,
        connection: buffered.BufferedConnection,
        head: heads.RequestHead | None,
        closing: bool,
        pace: Callable[[int], int] | None = None,
    ) -> None:
        """Prepares an answer.

        Args:
            connection: Connection to write to.
            head: Head of the request; None if it could not be read.
            closing: Whether the connection closes after this answer.
            pace: Blocks until some of so many bytes may be sent, and returns
                how many; None if not limited.
        """
        self.connection = connection
        self.method = "GET" if head is None else head.method
        self.minor = 1 if head is None else head.minor
        self.closing = closing
        self.pace = pace
        self.pending: list[bytes] = []
        self.chunked = False
        self.bodyless = False
        self.left: int | None = None
        self.begun = False
        self.sent = False
        self.finished = False
        self.status = 0

    def begin(
        self, status: int, fields: list[tuple[str, str]], length: int | None
    ) -> None:
        """Starts the answer; the head is sent with the first piece.

        Args:
            status: HTTP status code.
            fields: Fields as the next hop sent them.
            length: Body length in bytes; None if unknown.
        """
        lines = header_fields.encode(header_fields.filter_response(fields))
        self._begin(status, lines, length)

    def send_complete(
        self, status: int, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends an answer made by this VM.

        Args:
            status: HTTP status code.
            fields: Header fields besides the framing.
            body: Whole body.
        """
        self._begin(status, header_fields.encode(fields), len(body))
        self.write(body)
        self.finish()

    def write(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if self.bodyless or not data:
            return
        if self.left is not None:
            self.left -= len(data)
        if self.chunked:
            self.pending.append(b"%x\r\n" % len(data))
            self.pending.append(data)
            self.pending.append(b"\r\n")
        else:
            self.pending.append(data)

    def flush(self) -> None:
        """Sends what was added.

        Raises:
            buffered.ConnectionLostError: The peer went away, or the link to it
                had no quota for too long.
        """
        if not self.pending:
            return
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
        """Ends the answer as whole and sends it.

        Raises:
            buffered.ConnectionLostError: The peer went away.
        """
        if self.chunked and not self.bodyless:
            self.pending.append(LAST_CHUNK)
        self.flush()
        self.finished = True
        if self.left:
            self.closing = True

    def _begin(self, status: int, lines: str, length: int | None) -> None:
        self.begun = True
        self.status = status
        empty = status in parsed.NO_CONTENT_STATUSES
        self.bodyless = empty or self.method == "HEAD"
        framing = ""
        if length is not None and status != 204:
            framing = f"content-length: {length}\r\n"
            self.left = 0 if self.bodyless else length
        elif not empty and self.minor == 1:
            framing = "transfer-encoding: chunked\r\n"
            self.chunked = True
        elif not empty:
            self.closing = True
        head = "".join(
            (
                _STATUS_LINES.get(status) or f"HTTP/1.1 {status} \r\n",
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
