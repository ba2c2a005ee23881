"""Listeners whose port is in use."""

import gevent
import gevent.socket
import pytest

from mulberrydeck import binding
from mulberrydeck import errors
from mulberrydeck.frontend import listeners
from standins import waiting

USED_S = 0.3
SHORT_TIMEOUT_S = 0.2


@pytest.fixture(name="user")
def fixture_user():
    """A socket of another program, which uses a port."""
    with gevent.socket.socket() as user:
        user.bind(("127.0.0.1", 0))
        user.listen()
        yield user


def make_listener(user):
    return listeners.HttpListener(f"127.0.0.1:{user.getsockname()[1]}")


def test_a_port_that_is_in_use_for_a_moment_ends_no_start(user):
    listener = make_listener(user)
    gevent.spawn_later(USED_S, user.close)
    listener.start()
    host, _, port = listener.address.rpartition(":")
    gevent.socket.create_connection((host, int(port))).close()
    listener.listener.stop(timeout=0)
    listener.watcher.stop()


def test_a_port_that_stays_in_use_ends_the_start_with_its_address(
    user, monkeypatch
):
    monkeypatch.setattr(binding, "BIND_TIMEOUT_S", SHORT_TIMEOUT_S)
    listener = make_listener(user)
    with pytest.raises(errors.AddressError, match="free the port") as raised:
        listener.start()
    assert f":{user.getsockname()[1]}" in str(raised.value)


# Guards against a link whose use is not seen while connections stay open, or
# is forgotten when they close.
def test_bytes_are_counted_on_open_and_closed_connections():
    listener = listeners.HttpListener("127.0.0.1:0")
    listener.handle_request = lambda request: request.response.send_complete(
        200, [], b"x" * 1000
    )
    listener.start()
    host, _, port = listener.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    received = 0
    for _ in range(2):
        sock.sendall(head)
        response = b""
        while not response.endswith(b"x" * 1000):
            response += sock.recv(65536)
        received += len(response)
    expected = 2 * len(head) + received
    assert listener.total_transferred_bytes() == expected
    sock.close()
    waiting.until(lambda: not listener.open_connections, "the end")
    assert listener.total_transferred_bytes() == expected
    listener.listener.stop(timeout=0)
    listener.watcher.stop()
