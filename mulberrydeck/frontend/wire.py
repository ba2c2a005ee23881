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


class Wire:
    """One accepted connection with its unread bytes.

    Attributes:
        sock: The connection.
        peer_ip: Address of the peer.
        unread: Bytes received and not yet consumed.
        idle: Whether it waits for the first byte of a request.
        reading_stopped: Whether only bytes that have arrived are read.
    """

    def __init__(self, sock: gevent.socket.socket, peer_ip: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.peer_ip = peer_ip
        self.unread = b""
        self.idle = False
        self.reading_stopped = False

    def set_timeout(self, seconds: float) -> None:
        """Bounds each following wait, in seconds."""
        self.sock.settimeout(seconds)

    def receive(self) -> bytes:
        """Returns unread bytes, or the next ones; empty at the end.

        Raises:
            ConnectionLostError: The connection broke or went silent.
        """
        if self.unread:
            data, self.unread = self.unread, b""
            return data
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

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
        self.set_timeout(start_timeout_s)
        self.idle = True
        data = self.receive()
        self.idle = False
        if not data:
            return b""
        self.set_timeout(timeout_s)
        data = data.removeprefix(b"\r\n")
        while (end := data.find(heads.END_OF_HEAD)) < 0:
            _check_partial_head(data)
            piece = self.receive()
            if not piece:
                raise ConnectionLostError("closed within a head")
            data += piece
        if end > heads.MAX_HEAD_BYTES:
            raise heads.BadRequestError("The request head is too large.")
        self.unread = data[end + len(heads.END_OF_HEAD) :]
        return data[:end]

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

    def _linger(self) -> None:
        left = LINGER_BYTES
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self.sock.shutdown(socket.SHUT_WR)
            while left > 0 and (data := self.sock.recv(RECEIVE_BYTES)):
                left -= len(data)


def _check_partial_head(data: bytes) -> None:
    if len(data) > heads.MAX_HEAD_BYTES:
        raise heads.BadRequestError("The request head is too large.")
    if heads.has_bare_line_ends(data):
        raise heads.BadRequestError("Every line must end in CRLF.")
