"""Sending with a time limit per piece of progress, not for the whole."""

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
