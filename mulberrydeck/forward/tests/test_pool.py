"""TCP keep-alive and idle limits of pooled connections."""

import socket
import time

import gevent.server
import pytest

from mulberrydeck.forward import pool as pools


@pytest.fixture(name="address")
def fixture_address():
    """Address of a server that keeps its connections open."""
    server = gevent.server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: sock.recv(1)
    )
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


def tcp_option(connection, name):
    return connection.sock.getsockopt(socket.IPPROTO_TCP, name)


def test_idle_connections_are_probed_with_tcp_keepalive(address):
    pool = pools.ConnectionPool(
        "", 1.0, 30.0, time.monotonic, 1.5, tcp_keepalive=True
    )
    connection = pool.acquire(address, 1.0)
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    detection_s = tcp_option(connection, socket.TCP_KEEPIDLE) + tcp_option(
        connection, socket.TCP_KEEPINTVL
    ) * tcp_option(connection, socket.TCP_KEEPCNT)
    assert detection_s <= 3
    assert tcp_option(connection, socket.TCP_USER_TIMEOUT) == 1500


def test_a_connection_is_not_reused_after_its_idle_limit(address):
    now_s = 0.0
    pool = pools.ConnectionPool("", 1.0, 30.0, lambda: now_s)
    connection = pool.acquire(address, 1.0)
    connection.idle_limit_s = 2.0
    pool.release(connection)
    now_s = 1.9
    assert pool.acquire(address, 1.0) is connection
    pool.release(connection)
    now_s = 4.0
    assert pool.acquire(address, 1.0) is not connection


def test_only_recently_used_connections_are_reused_with_max_idle_s(address):
    # Single runs need this, since the outcome of a request is unknown if its
    # reused connection is reset.
    now_s = 0.0
    pool = pools.ConnectionPool("", 1.0, 30.0, lambda: now_s)
    connection = pool.acquire(address, 1.0)
    pool.release(connection)
    now_s = 0.6
    assert pool.acquire(address, 1.0, max_idle_s=0.5) is not connection
    assert pool.acquire(address, 1.0) is connection
