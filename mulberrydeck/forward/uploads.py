"""Sending of a request while its response is awaited."""

from collections.abc import Callable
from collections.abc import Iterator
import errno
import socket
from typing import Protocol

import gevent
import gevent.socket

from mulberrydeck import errors

# Bounds the wait for the first byte, since `start_by_s` may be infinite.
MAX_START_WAIT_S = 3600.0
LAST_CHUNK = b"0\r\n\r\n"
# Longer bodies are sent while the response is awaited, since a target may
# respond before it reads a body that does not fit into the kernel's buffers.
MAX_INLINE_BODY_BYTES = 64 * 1024


class Body(Protocol):
    """Request body that is read from the caller.

    Attributes:
        length: Declared length in bytes; None if unknown.
        finished: Whether the body was read to its end.
        replayable: Whether all bytes read so far can be sent again.
    """

    length: int | None
    finished: bool
    replayable: bool

    def pieces(self) -> Iterator[bytes]:
        """Returns an iterator that starts at the first byte."""


class Upload:
    """Sends a request head and body.

    A body that was not yet read to its end is sent by a separate greenlet, so
    that an early response is read in the meantime.

    Attributes:
        sent_any: Whether any byte may have been sent.
        finished: Whether the request was sent to its end.
        caller_error: Error while the body was read from the caller, or None.
        connection_error: Error by which the connection broke, or None. The
            kernel reports it once; a later receive sees an orderly end.
    """

    def __init__(
        self,
        pace: Callable[[int], int] | None,
        now_s: Callable[[], float],
        start_by_s: float = float("inf"),
    ) -> None:
        """Prepares an upload.

        Args:
            pace: Blocks until at least one of the given number of bytes may
                be sent, and returns how many may; None if not limited.
            now_s: Monotonic clock, in seconds.
            start_by_s: Latest time at which the first byte may be sent, on
                that clock, in seconds.
        """
        self.pace = pace
        self.now_s = now_s
        self.start_by_s = start_by_s
        self.sent_any = False
        self.finished = False
        self.caller_error: Exception | None = None
        self.connection_error: OSError | None = None
        self.last_progress_s = 0.0
        self.sender: gevent.Greenlet | None = None
        self.sock: gevent.socket.socket | None = None

    def start(
        self, sock: gevent.socket.socket, head: bytes, body: Body | None
    ) -> None:
        """Sends the head, and sends the body or starts a greenlet that does.

        Args:
            sock: Connection to the next hop.
            head: Encoded request head.
            body: Request body, or None.

        Raises:
            OSError: The connection broke.
            errors.AdmissionExpiredError: The upload started after
                `start_by_s`.
            errors.LinkBusyError: The link had no quota until `start_by_s`.
        """
        self.sock = sock
        if body is None:
            self._send(head)
            self.finished = True
        elif body.finished and _is_short(body):
            self._send(head + self._encode_body(body))
            self.finished = True
        else:
            self._send(head)
            self.sender = gevent.spawn(self._send_body, body)

    def stop(self) -> None:
        """Ends an unfinished upload."""
        if self.sender is not None:
            self.sender.kill()

    def has_progress_since(self, since_s: float) -> bool:
        """Returns whether bytes of the body were sent after a time."""
        return self.sender is not None and self.last_progress_s > since_s

    def raise_caller_error(self) -> None:
        """Raises the error that occurred while reading the body, if any."""
        if self.caller_error is not None:
            raise self.caller_error

    def check_orderly_end(self) -> None:
        """Checks that the connection did not break, after a receive of no data.

        Raises:
            OSError: The connection broke, and the upload received the error.
            Exception: Reading the body from the caller failed, for which the
                upload ended the connection.
        """
        self.raise_caller_error()
        if self.connection_error is not None:
            raise self.connection_error

    def _encode_body(self, body: Body) -> bytes:
        pieces = list(body.pieces())
        if body.length is not None:
            return b"".join(pieces)
        return b"".join(_chunk(piece) for piece in pieces) + LAST_CHUNK

    def _send_body(self, body: Body) -> None:
        pieces = body.pieces()
        while True:
            try:
                piece = next(pieces, b"")
            except Exception as error:  # Reading from the caller failed.
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
            allowed = self._allowed_bytes(len(view))
            self._send_allowed(view[:allowed])
            view = view[allowed:]

    def _allowed_bytes(self, count: int) -> int:
        """Waits until bytes may be sent on the link; returns how many may."""
        if self.sent_any:
            return count if self.pace is None else self.pace(count)
        remaining_s = self.start_by_s - self.now_s()
        if remaining_s <= 0:
            raise errors.AdmissionExpiredError(
                "The admission expired before the request was sent; "
                "it is admitted again."
            )
        if self.pace is None:
            return count
        busy = errors.LinkBusyError(
            "The link had no quota until the admission expired."
        )
        with gevent.Timeout(min(remaining_s, MAX_START_WAIT_S), busy):
            return self.pace(count)

    def _send_allowed(self, view: memoryview) -> None:
        while len(view):
            try:
                sent = self.sock.send(view)
            except OSError as error:
                self._record_error(error)
                raise
            self.sent_any = True
            self.last_progress_s = self.now_s()
            view = view[sent:]

    def _record_error(self, error: OSError) -> None:
        """Keeps an error of the connection for the receiving greenlet.

        A timeout of gevent has no number. A reset behind an orderly end is
        reported as EPIPE; such an end still completes the response.
        """
        if error.errno not in (None, errno.EPIPE):
            self.connection_error = error


def _is_short(body: Body) -> bool:
    return body.length is not None and body.length <= MAX_INLINE_BODY_BYTES


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece)
