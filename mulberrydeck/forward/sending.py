"""Sending with a timeout for each step of progress, not for all data."""

import gevent
import gevent.socket


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
