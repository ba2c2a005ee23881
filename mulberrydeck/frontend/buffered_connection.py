"""Buffered reading from, and writing to, an accepted connection."""

from collections.abc import Iterator
import contextlib
import socket
import struct

import gevent
import gevent.socket

from mulberrydeck.forward import budgets
from mulberrydeck.forward import sending
from mulberrydeck.frontend import heads

RECEIVE_BYTES = 64 * 1024
MAX_LINGER_S = 2.0
MAX_LINGER_BYTES = 1024 * 1024
# Value of SO_LINGER: unsent data is discarded and the connection reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class ConnectionLostError(Exception):
    """The peer closed or reset the connection, or a call timed out."""


class IdleTimeoutError(ConnectionLostError):
    """No first byte of a request arrived in time."""


class BufferedConnection:
    """An accepted connection with a receive buffer.

    Attributes:
        sock: The connection.
        peer_ip: Address of the peer.
        buffer: Received bytes; those before `position` are consumed.
        position: Number of bytes of `buffer` that were consumed.
        idle: Whether it waits for the first byte of a request.
        reading_stopped: Whether reading ends after the bytes received so far.
        transferred_bytes: Number of bytes received and sent so far.
        unsent: Memory of the data that the peer has not yet read; None if not
            limited.
    """

    def __init__(self, sock: gevent.socket.socket, peer_ip: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sending.limit_kernel_buffer(sock)
        self.sock = sock
        self.peer_ip = peer_ip
        self.buffer = b""
        self.position = 0
        self.idle = False
        self.reading_stopped = False
        self.transferred_bytes = 0
        self.unsent: budgets.Reservation | None = None

    def set_timeout(self, seconds: float) -> None:
        """Sets the timeout of each further receive and send, in seconds."""
        self.sock.settimeout(seconds)

    @property
    def has_unread(self) -> bool:
        """Whether the buffer holds bytes that are not yet consumed."""
        return self.position < len(self.buffer)

    def take(self, limit: int) -> bytes:
        """Consumes bytes; receives some first if the buffer is empty.

        Args:
            limit: Largest number of bytes to return.

        Returns:
            At least one byte; empty at the end of the connection.

        Raises:
            ConnectionLostError: The connection failed or timed out.
        """
        if not self.has_unread:
            self.buffer = self._receive()
            self.position = 0
        end = min(len(self.buffer), self.position + limit)
        if self.position == 0 and end == len(self.buffer):
            data = self.buffer
        else:
            data = self.buffer[self.position : end]
        self.position = end
        return data

    def take_until(self, delimiter: bytes, limit: int) -> bytes:
        """Consumes bytes through a delimiter; returns them without it.

        Args:
            delimiter: Bytes at which to stop.
            limit: Largest number of bytes before the delimiter.

        Raises:
            ConnectionLostError: The connection ended, failed or timed out.
            heads.BadRequestError: A line end is malformed, or the delimiter
                was not found within the limit.
        """
        while (end := self.buffer.find(delimiter, self.position)) < 0:
            rest = self.buffer[self.position :]
            _check_partial(rest, limit + len(delimiter) - 1)
            piece = self._receive()
            if not piece:
                raise ConnectionLostError("connection closed within a request")
            self.buffer = rest + piece
            self.position = 0
        if end - self.position > limit:
            raise heads.BadRequestError("A head or line is too large.")
        data = self.buffer[self.position : end]
        self.position = end + len(delimiter)
        return data

    def send(self, data: bytes | memoryview) -> None:
        """Sends all of `data`.

        Raises:
            ConnectionLostError: The connection failed or timed out.
        """
        try:
            if self.unsent is None:
                sending.send_all(self.sock, data)
            else:
                self._send_counted(data, self.unsent)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        self.transferred_bytes += len(data)

    def _send_counted(
        self, data: bytes | memoryview, unsent: budgets.Reservation
    ) -> None:
        view = memoryview(data)
        # The data stays in memory until the last byte of it is sent.
        with (
            self.count_unsent(len(view)),
            unsent.wait_for_peer(self.reset_reader),
        ):
            while len(view):
                sent = self.sock.send(view)
                unsent.record_progress()
                view = view[sent:]

    @contextlib.contextmanager
    def count_unsent(self, count: int) -> Iterator[None]:
        """Counts data that waits until it, or earlier data, is sent.

        Args:
            count: Number of bytes.
        """
        if self.unsent is None:
            yield
            return
        self.unsent.grow(count)
        try:
            yield
        finally:
            self.unsent.shrink(count)

    def read_head(self, start_timeout_s: float, timeout_s: float) -> bytes:
        """Reads the next request head and returns it without its empty line.

        Args:
            start_timeout_s: Timeout for the first byte, in seconds.
            timeout_s: Timeout of each further receive and send, in seconds.

        Returns:
            The head; empty if the peer closed the connection between two
            requests.

        Raises:
            IdleTimeoutError: No first byte arrived in time.
            ConnectionLostError: The connection failed or timed out.
            heads.BadRequestError: The head is too large or malformed.
        """
        if not self.has_unread:
            self.set_timeout(start_timeout_s)
            self.buffer = b""  # Frees the memory while idle.
            self.position = 0
            self.buffer = self._receive_first()
            if not self.buffer:
                return b""
        self.set_timeout(timeout_s)
        if self.buffer.startswith(b"\r\n", self.position):
            self.position += 2
        return self.take_until(heads.END_OF_HEAD, heads.MAX_HEAD_BYTES)

    def stop_reading(self) -> None:
        """Ends the wait for a next request; received bytes are still read."""
        self.reading_stopped = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Resets the connection, so that no partial response seems complete."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
        self.sock.close()

    def reset_reader(self) -> None:
        """Resets a peer that does not read; the blocked send fails.

        The end of the connection is queued behind unsent data, and is discarded
        with it.
        """
        self._reset(socket.SHUT_RDWR)

    def reset_sender(self) -> None:
        """Resets a peer that does not send; the blocked receive fails."""
        self._reset(socket.SHUT_RD)

    def _reset(self, directions: int) -> None:
        """Ends a wait of another greenlet, which then closes the socket.

        Closing it here would free its descriptor for another connection while
        that greenlet still uses it.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
            self.sock.shutdown(directions)

    def close(self, linger: bool = False) -> None:
        """Closes the connection.

        Args:
            linger: Whether to receive and discard remaining bytes for a while
                first. Closing with unread bytes resets the connection, which
                could discard the last response before the peer reads it.
        """
        if linger:
            self._linger()
        self.sock.close()

    def _receive(self) -> bytes:
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        self.transferred_bytes += len(data)
        return data

    def _receive_first(self) -> bytes:
        self.idle = True
        try:
            return self._receive()
        except ConnectionLostError as error:
            if isinstance(error.__cause__, TimeoutError):
                raise IdleTimeoutError(str(error)) from error
            raise
        finally:
            self.idle = False

    def _linger(self) -> None:
        remaining_bytes = MAX_LINGER_BYTES
        with contextlib.suppress(OSError), gevent.Timeout(MAX_LINGER_S, False):
            self.sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (
                data := self.sock.recv(RECEIVE_BYTES)
            ):
                remaining_bytes -= len(data)


def _check_partial(data: bytes, limit: int) -> None:
    if len(data) > limit:
        raise heads.BadRequestError("A head or line is too large.")
    if heads.has_bare_line_ends(data):
        raise heads.BadRequestError("Every line must end in CRLF.")
