"""Buffered reading and writing of one accepted connection."""

import contextlib
import socket
import struct

import gevent
import gevent.socket

from mulberrydeck.forward import sending
from mulberrydeck.frontend import heads

RECEIVE_BYTES = 64 * 1024
LINGER_S = 2.0
LINGER_BYTES = 1024 * 1024


class ConnectionLostError(Exception):
    """The peer closed or reset the connection, or went silent."""


class BufferedConnection:
    """One accepted connection with its unread bytes.

    Attributes:
        sock: The connection.
        peer_ip: Address of the peer.
        buffer: Bytes received last.
        position: Number of bytes of `buffer` that were consumed.
        idle: Whether it waits for the first byte of a request.
        reading_stopped: Whether only bytes that have arrived are read.
    """

    def __init__(self, sock: gevent.socket.socket, peer_ip: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.peer_ip = peer_ip
        self.buffer = b""
        self.position = 0
        self.idle = False
        self.reading_stopped = False

    def set_timeout(self, seconds: float) -> None:
        """Bounds each following wait, in seconds."""
        self.sock.settimeout(seconds)

    @property
    def has_unread(self) -> bool:
        """Whether received bytes wait to be consumed."""
        return self.position < len(self.buffer)

    def take(self, limit: int) -> bytes:
        """Consumes bytes and receives some first if none wait.

        Args:
            limit: Largest number of bytes to return.

        Returns:
            At least one byte, or none at the end of the connection.

        Raises:
            ConnectionLostError: The connection broke or went silent.
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

    def take_until(self, mark: bytes, limit: int) -> bytes:
        """Consumes bytes up to a mark and returns them without it.

        Args:
            mark: What ends the wanted bytes.
            limit: Largest number of bytes before the mark.

        Raises:
            ConnectionLostError: The connection ended, broke or went silent.
            heads.BadRequestError: A line end is malformed or the mark did not
                come within the limit.
        """
        while (end := self.buffer.find(mark, self.position)) < 0:
            rest = self.buffer[self.position :]
            _check_partial(rest, limit + len(mark) - 1)
            piece = self._receive()
            if not piece:
                raise ConnectionLostError("closed within a request")
            self.buffer = rest + piece
            self.position = 0
        if end - self.position > limit:
            raise heads.BadRequestError("A head or line is too large.")
        data = self.buffer[self.position : end]
        self.position = end + len(mark)
        return data

    def send(self, data: bytes | memoryview) -> None:
        """Sends all of `data`.

        Raises:
            ConnectionLostError: The connection broke or went silent.
        """
        try:
            sending.send_all(self.sock, data)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    def read_head(self, start_timeout_s: float, timeout_s: float) -> bytes:
        """Returns the next request head without its empty line.

        Args:
            start_timeout_s: Time allowed until the first byte, in seconds.
            timeout_s: Time allowed between two pieces, in seconds.

        Returns:
            The head, or empty when the peer closed between two requests.

        Raises:
            ConnectionLostError: The connection broke or went silent.
            heads.BadRequestError: The head is too large or malformed.
        """
        if not self.has_unread:
            self.set_timeout(start_timeout_s)
            self.idle = True
            self.buffer = b""  # Idle connections hold no memory.
            self.buffer = self._receive()
            self.position = 0
            self.idle = False
            if not self.buffer:
                return b""
        self.set_timeout(timeout_s)
        if self.buffer.startswith(b"\r\n", self.position):
            self.position += 2
        return self.take_until(heads.END_OF_HEAD, heads.MAX_HEAD_BYTES)

    def stop_reading(self) -> None:
        """Ends a wait for a next request; arrived bytes are still read."""
        self.reading_stopped = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Resets the connection, so that no answer can look whole."""
        reset = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.sock.close()

    def close(self, linger: bool = False) -> None:
        """Closes the connection.

        Args:
            linger: Whether to take in some unread bytes first, so that the
                peer can still read the last answer.
        """
        if linger:
            self._linger()
        self.sock.close()

    def _receive(self) -> bytes:
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    def _linger(self) -> None:
        left = LINGER_BYTES
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self.sock.shutdown(socket.SHUT_WR)
            while left > 0 and (data := self.sock.recv(RECEIVE_BYTES)):
                left -= len(data)


def _check_partial(data: bytes, limit: int) -> None:
    if len(data) > limit:
        raise heads.BadRequestError("A head or line is too large.")
    if heads.has_bare_line_ends(data):
        raise heads.BadRequestError("Every line must end in CRLF.")
