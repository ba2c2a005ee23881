"""Sending of a request body while its answer is awaited."""

from collections.abc import Callable
from collections.abc import Iterator
import socket
from typing import Protocol

import gevent
import gevent.socket

from mulberrydeck import errors

MAX_START_S = 3600.0
LAST_CHUNK = b"0\r\n\r\n"


class Body(Protocol):
    """A request body as the forwarding side sees it.

    Attributes:
        length: Declared length in bytes; None if unknown.
        finished: Whether the whole body was read from the caller.
        replayable: Whether all bytes read so far can be sent again.
    """

    length: int | None
    finished: bool
    replayable: bool

    def pieces(self) -> Iterator[bytes]:
        """Returns an iterator that starts at the first byte."""


class Upload:
    """Sends a request head and body.

    A body that was not yet read to its end is sent by a greenlet of its own,
    so that an answer that comes early is read meanwhile.

    Attributes:
        sent_any: Whether any byte may have left this VM.
        finished: Whether the whole request was sent.
        caller_error: Why the caller's side failed, or None.
    """

    def __init__(
        self,
        pace: Callable[[int], int] | None,
        now_s: Callable[[], float],
        start_by_s: float = float("inf"),
    ) -> None:
        """Prepares an upload.

        Args:
            pace: Blocks until some of so many bytes may be sent, and returns
                how many; None if not limited.
            now_s: Monotonic clock, in seconds.
            start_by_s: When the first byte must be sent at the latest, on
                that clock.
        """
        self.pace = pace
        self.now_s = now_s
        self.start_by_s = start_by_s
        self.sent_any = False
        self.finished = False
        self.caller_error: Exception | None = None
        self.moved_s = 0.0
        self.pump: gevent.Greenlet | None = None
        self.sock: gevent.socket.socket | None = None

    def start(
        self, sock: gevent.socket.socket, head: bytes, body: Body | None
    ) -> None:
        """Sends the head, and the body or its beginning.

        Args:
            sock: Connection to the next hop.
            head: Encoded request head.
            body: Request body, or None.

        Raises:
            OSError: The connection broke.
            errors.AdmissionExpiredError: It was too late for the first byte.
        """
        self.sock = sock
        if body is None:
            self._send(head)
            self.finished = True
        elif body.finished:
            self._send(head + self._encode_whole(body))
            self.finished = True
        else:
            self._send(head)
            self.pump = gevent.spawn(self._pump, body)

    def stop(self) -> None:
        """Ends an unfinished upload."""
        if self.pump is not None:
            self.pump.kill()

    def moved_since(self, since_s: float) -> bool:
        """Returns whether a piece was sent since a monotonic time."""
        return self.pump is not None and self.moved_s > since_s

    def raise_caller_error(self) -> None:
        """Raises the error of the caller's side, if there was one."""
        if self.caller_error is not None:
            raise self.caller_error

    def _encode_whole(self, body: Body) -> bytes:
        pieces = list(body.pieces())
        if body.length is not None:
            return b"".join(pieces)
        return b"".join(_chunk(piece) for piece in pieces) + LAST_CHUNK

    def _pump(self, body: Body) -> None:
        pieces = body.pieces()
        while True:
            try:
                piece = next(pieces, b"")
            except Exception as error:  # The caller's side, of any kind.
                self.caller_error = error
                self.sock.shutdown(socket.SHUT_RDWR)
                return
            try:
                self._send_piece(piece, body.length is None)
            except OSError:
                return
            if not piece:
                self.finished = True
                return

    def _send_piece(self, piece: bytes, chunked: bool) -> None:
        if chunked:
            self._send(_chunk(piece) if piece else LAST_CHUNK)
        elif piece:
            self._send(piece)

    def _send(self, data: bytes) -> None:
        view = memoryview(data)
        while len(view):
            allowed = self._allowed(len(view))
            self._send_allowed(view[:allowed])
            view = view[allowed:]

    def _allowed(self, count: int) -> int:
        """Returns how many bytes may be sent, waiting for the link."""
        if self.sent_any:
            return count if self.pace is None else self.pace(count)
        left_s = self.start_by_s - self.now_s()
        late = errors.AdmissionExpiredError(
            "The request was not started in time; it is admitted anew."
        )
        if left_s <= 0:
            raise late
        if self.pace is None:
            return count
        with gevent.Timeout(min(left_s, MAX_START_S), late):
            return self.pace(count)

    def _send_allowed(self, view: memoryview) -> None:
        while len(view):
            sent = self.sock.send(view)
            self.sent_any = True
            self.moved_s = self.now_s()
            view = view[sent:]


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece)
