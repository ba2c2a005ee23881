"""Binding of listening sockets."""

from collections.abc import Callable
import errno
import time

import gevent

from mulberrydeck import errors
from mulberrydeck.observability import logs

BIND_TIMEOUT_S = 10.0
BIND_RETRY_INTERVAL_S = 0.1


def bind(bind_socket: Callable[[], None], address: str) -> None:
    """Binds a listening socket, and waits while its port is in use.

    An earlier process of the VM may still be stopping, and an outgoing
    connection of another program may have got the port for a short time.

    Args:
        bind_socket: Binds the socket; raises `OSError` if that fails.
        address: `ip:port`, for messages.

    Raises:
        errors.AddressError: The address cannot be bound.
    """
    deadline_s = time.monotonic() + BIND_TIMEOUT_S
    waiting = False
    while True:
        try:
            bind_socket()
            return
        except OSError as error:
            in_use = error.errno == errno.EADDRINUSE
            if not in_use or time.monotonic() >= deadline_s:
                raise errors.AddressError(
                    f"Cannot listen on {address}: {error}; free the port or "
                    "change the address in the settings."
                ) from error
        if not waiting:
            waiting = True
            logs.write("listeners", "A port is in use.", address=address)
        gevent.sleep(BIND_RETRY_INTERVAL_S)
