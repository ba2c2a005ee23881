"""Connections of a pool: probes of quiet ones, idle limits."""

import socket
import time

import gevent.server
import pytest

from mulberrydeck.forward import pool as pools


@pytest.fixture(name="address")
def fixture_address():
    """A listener that keeps its connections open."""
    server = gevent.server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: sock.recv(1)
    )
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0)


def option(connection, name):
    return connection.sock.getsockopt(socket.IPPROTO_TCP, name)


def test_quiet_connections_are_probed_where_asked(address):
    pool = pools.ConnectionPool(
        "", 1.0, 30.0, time.monotonic, 1.5, tcp_keepalive=True
    )
    connection = pool.acquire(address, 1.0)
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    probes_s = option(connection, socket.TCP_KEEPIDLE) + option(
        connection, socket.TCP_KEEPINTVL
    ) * option(connection, socket.TCP_KEEPCNT)
    assert probes_s <= 3
    assert option(connection, socket.TCP_USER_TIMEOUT) == 1500


def test_a_connection_is_not_reused_beyond_what_its_peer_allows(address):
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


def test_single_runs_get_only_connections_that_were_just_used(address):
    now_s = 0.0
    pool = pools.ConnectionPool("", 1.0, 30.0, lambda: now_s)
    connection = pool.acquire(address, 1.0)
    pool.release(connection)
    now_s = 0.6
    assert pool.acquire(address, 1.0, max_idle_s=0.5) is not connection
    assert pool.acquire(address, 1.0) is connection
