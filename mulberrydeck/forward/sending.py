"""Sending with a time limit per piece of progress, not for the whole."""

import gevent
import gevent.socket


def send_all(sock: gevent.socket.socket, data: bytes | memoryview) -> None:
    """Sends all of `data`; each step has the whole timeout of the socket.

    Args:
        sock: Connection to send on.
        data: What to send.

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
    """Lets other requests have the loop between two pieces of a body.

    A greenlet whose connections are always ready is never switched away from.
    """
    gevent.sleep(0)
