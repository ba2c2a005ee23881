"""Sending with a timeout for each step of progress, not for all data."""

import socket

import gevent
import gevent.socket

# Bytes that the kernel takes for a peer before it sends them. Without a limit,
# it keeps up to 4 MB for each peer that does not read. A response that is
# buffered until it is complete still fits.
MAX_KERNEL_UNSENT_BYTES = 256 * 1024


def limit_kernel_buffer(sock: gevent.socket.socket) -> None:
    """Limits the unsent bytes that the kernel keeps for the peer of a socket.

    Unlike `SO_SNDBUF`, this does not limit the bytes in flight, and thus the
    rate on long paths.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES
    )


def send_all(sock: gevent.socket.socket, data: bytes | memoryview) -> None:
    """Sends all of `data`; the socket timeout applies to each step.

    Args:
        sock: Connection to send on.
        data: Bytes to send.

    Raises:
        OSError: The connection broke or made no progress in time.
    """
    sent = sock.send(data)
    if sent == len(data):
        return
    view = memoryview(data)
    while sent < len(view):
        sent += sock.send(view[sent:])


def yield_to_other_greenlets() -> None:
    """Lets other greenlets run between two pieces of a body.

    A greenlet whose sockets are always ready never yields to the event loop.
    """
    gevent.sleep(0)
