"""The fault proxy delays, cuts, freezes, rate-limits and counts data."""

import cattrs
import gevent
from gevent import server as gevent_server
from gevent import socket
import pytest

from standins import http_client
from standins.fault_proxy import proxy as proxy_module
from standins.fault_proxy import rules
from standins.fault_proxy import specification

PLACES = (
    specification.Place("v1", "a1", "a", "127.31.1.1"),
    specification.Place("v2", "b1", "b", "127.31.2.1"),
)


def echo(accepted, address):
    while data := accepted.recv(65536):
        accepted.sendall(data)


class ProxiedEcho:
    """An echo server in zone b1 behind a fault proxy."""

    def __init__(self):
        self.echo = gevent_server.StreamServer(("127.0.0.1", 0), echo)
        self.echo.start()
        upstream = f"127.0.0.1:{self.echo.server_port}"
        link = specification.Link("127.0.0.1:0", upstream, "v2", "peer")
        spec = specification.Specification("127.0.0.1:0", PLACES, (link,))
        self.proxy = proxy_module.Proxy(spec)
        self.address = ("127.0.0.1", self.proxy.servers[0].server_port)

    def connect(self, source_ip="127.31.1.1"):
        return socket.create_connection(self.address, 30, (source_ip, 0))


@pytest.fixture
def proxied_echo():
    server = ProxiedEcho()
    yield server
    server.proxy.servers[0].stop()
    server.echo.stop()


def exchange(connection, data=b"ping"):
    connection.sendall(data)
    return connection.recv(65536)


def is_silent(connection):
    connection.settimeout(0.1)
    try:
        return exchange(connection) == b"never"
    except TimeoutError:
        return True


def test_forwards_and_counts(proxied_echo):
    connection = proxied_echo.connect()
    assert exchange(connection) == b"ping"
    totals = {
        (series.kind, series.source, series.destination): series.total_bytes
        for series in proxied_echo.proxy.counters.series.values()
    }
    assert totals == {("peer", "a1", "b1"): 4, ("peer", "b1", "a1"): 4}


def test_end_of_data_is_forwarded(proxied_echo):
    connection = proxied_echo.connect()
    exchange(connection)
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(10) == b""


def test_delay_is_one_way_per_direction(proxied_echo):
    connection = proxied_echo.connect()
    exchange(connection)
    proxied_echo.proxy.add(rules.Rule("zone:a1", "zone:b1", delay_s=0.05))
    with gevent.Timeout(30):
        start = gevent.get_hub().loop.now()
        assert exchange(connection) == b"ping"
        gevent.get_hub().loop.update_now()
        assert gevent.get_hub().loop.now() - start >= 0.09


def test_cut_resets_old_and_new_only_between_places(proxied_echo):
    connection = proxied_echo.connect()
    exchange(connection)
    rule = proxied_echo.proxy.add(rules.Rule("zone:a1", "region:b", cut=True))
    for cut in (connection, proxied_echo.connect()):
        with pytest.raises(OSError):
            exchange(cut)
    assert exchange(proxied_echo.connect("127.31.2.1")) == b"ping"
    proxied_echo.proxy.rules.remove(rule.id)
    assert exchange(proxied_echo.connect()) == b"ping"


def test_freeze_holds_old_and_new_until_it_ends(proxied_echo):
    old = proxied_echo.connect()
    exchange(old)
    rule = proxied_echo.proxy.add(rules.Rule("name:v1", "any", freeze=True))
    new = proxied_echo.connect()
    assert is_silent(old)
    assert is_silent(new)
    proxied_echo.proxy.rules.remove(rule.id)
    for connection in (old, new):
        connection.settimeout(30)
        assert connection.recv(4) == b"ping"


def test_one_way_freeze_passes_the_other_way(proxied_echo):
    proxied_echo.proxy.add(
        rules.Rule("zone:b1", "zone:a1", both_ways=False, freeze=True)
    )
    connection = proxied_echo.connect()
    assert is_silent(connection)


def test_existing_connections_stay_silent_after_the_rule_is_removed(
    proxied_echo,
):
    old = proxied_echo.connect()
    exchange(old)
    rule = proxied_echo.proxy.add(rules.Rule(silence_existing=True))
    assert is_silent(old)
    assert exchange(proxied_echo.connect()) == b"ping"
    proxied_echo.proxy.rules.remove(rule.id)
    assert is_silent(old)


def test_rate_is_shared(proxied_echo):
    proxied_echo.proxy.add(rules.Rule("any", "zone:b1", False, bytes_per_s=1e6))
    connection = proxied_echo.connect()
    start = gevent.get_hub().loop.now()
    sender = gevent.spawn(connection.sendall, b"x" * 300_000)
    remaining_bytes = 300_000
    while remaining_bytes:
        remaining_bytes -= len(connection.recv(65536))
    sender.get()
    gevent.get_hub().loop.update_now()
    assert gevent.get_hub().loop.now() - start >= 0.2


def test_control_paths(proxied_echo, serve):
    control = serve(proxied_echo.proxy)
    added = http_client.post(control, "/rules", {"source": "zone:a1"})
    assert cattrs.structure(added, rules.Rule).id == 1
    assert http_client.fetch(control, "/rules") == [added]
    http_client.call(control, "DELETE", "/rules/1")
    assert http_client.fetch(control, "/rules") == []
    assert http_client.fetch(control, "/counters")["series"] == []
