"""Targets and callers that control their side of a connection."""

import struct

import gevent
import gevent.server
import gevent.socket

END_OF_HEAD = b"\r\n\r\n"
CALLER_TIMEOUT_S = 10.0


def reset(sock):
    """Resets a connection, so that its peer does not see an orderly end."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, linger)
    sock.close()


def read_head(sock):
    """Returns a request head and the bytes that were received behind it."""
    data = b""
    while END_OF_HEAD not in data:
        piece = sock.recv(1024)
        if not piece:
            return b""
        data += piece
    return data


def read_to_end(sock, on_first_piece=lambda: None):
    """Returns the received bytes, and whether the connection was reset."""
    data = b""
    try:
        while piece := sock.recv(65536):
            if not data:
                on_first_piece()
            data += piece
    except ConnectionResetError:
        return data, True
    finally:
        sock.close()
    return data, False


class RawTarget:
    """Passes each connection to a function after the first request head.

    Attributes:
        heads: Received request heads.
        address: `ip:port` of the target.
    """

    def __init__(self, serve):
        self.serve = serve
        self.heads = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._accept)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _accept(self, sock, _address):
        head = read_head(sock)
        if head:
            self.heads.append(head)
            self.serve(sock)

    def stop(self):
        self.server.stop(timeout=0)


def connect(address):
    """Connects to a VM, `ip:port`, as a caller."""
    host, _, port = address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    sock.settimeout(CALLER_TIMEOUT_S)
    return sock


def exchange(address, request):
    """Sends a request to a VM until its response begins.

    Returns:
        The received bytes, and whether the connection was reset.
    """
    sock = connect(address)
    sender = gevent.spawn(_send, sock, request)
    data, was_reset = read_to_end(sock, sender.kill)
    sender.kill()
    # The error of a reset is reported only once, here or to the sender.
    return data, was_reset or sender.value is True


def _send(sock, request):
    """Sends a request; returns whether the connection was reset."""
    try:
        sock.sendall(request)
    except OSError as error:
        return isinstance(error, ConnectionResetError)
    return False
