"""The fault proxy delays, cuts, freezes, paces and counts."""

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


class Rig:
    """An echo server in zone b1 behind a proxy."""

    def __init__(self):
        self.echo = gevent_server.StreamServer(("127.0.0.1", 0), echo)
        self.echo.start()
        upstream = f"127.0.0.1:{self.echo.server_port}"
        link = specification.Link("127.0.0.1:0", upstream, "v2", "peer")
        wanted = specification.Specification("127.0.0.1:0", PLACES, (link,))
        self.proxy = proxy_module.Proxy(wanted)
        self.address = ("127.0.0.1", self.proxy.servers[0].server_port)

    def dial(self, source_ip="127.31.1.1"):
        return socket.create_connection(self.address, 30, (source_ip, 0))


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.proxy.servers[0].stop()
    made.echo.stop()


def exchange(connection, data=b"ping"):
    connection.sendall(data)
    return connection.recv(65536)


def is_silent(connection):
    connection.settimeout(0.1)
    try:
        return exchange(connection) == b"never"
    except TimeoutError:
        return True


def test_passes_and_counts(rig):
    connection = rig.dial()
    assert exchange(connection) == b"ping"
    totals = {
        (one.kind, one.source, one.destination): one.total_bytes
        for one in rig.proxy.counters.series.values()
    }
    assert totals == {("peer", "a1", "b1"): 4, ("peer", "b1", "a1"): 4}


def test_end_of_data_is_passed_on(rig):
    connection = rig.dial()
    exchange(connection)
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(10) == b""


def test_delay_is_one_way_per_direction(rig):
    connection = rig.dial()
    exchange(connection)
    rig.proxy.add(rules.Rule("zone:a1", "zone:b1", delay_s=0.05))
    with gevent.Timeout(30):
        start = gevent.get_hub().loop.now()
        assert exchange(connection) == b"ping"
        gevent.get_hub().loop.update_now()
        assert gevent.get_hub().loop.now() - start >= 0.09


def test_cut_resets_old_and_new_only_between_places(rig):
    connection = rig.dial()
    exchange(connection)
    rule = rig.proxy.add(rules.Rule("zone:a1", "region:b", cut=True))
    for cut in (connection, rig.dial()):
        with pytest.raises(OSError):
            exchange(cut)
    assert exchange(rig.dial("127.31.2.1")) == b"ping"
    rig.proxy.rules.remove(rule.id)
    assert exchange(rig.dial()) == b"ping"


def test_freeze_holds_old_and_new_until_it_ends(rig):
    old = rig.dial()
    exchange(old)
    rule = rig.proxy.add(rules.Rule("name:v1", "any", freeze=True))
    new = rig.dial()
    assert is_silent(old)
    assert is_silent(new)
    rig.proxy.rules.remove(rule.id)
    for connection in (old, new):
        connection.settimeout(30)
        assert connection.recv(4) == b"ping"


def test_one_way_freeze_passes_the_other_way(rig):
    rig.proxy.add(
        rules.Rule("zone:b1", "zone:a1", both_ways=False, freeze=True)
    )
    connection = rig.dial()
    assert is_silent(connection)


def test_existing_connections_go_silent_for_good(rig):
    old = rig.dial()
    exchange(old)
    rule = rig.proxy.add(rules.Rule(silence_existing=True))
    assert is_silent(old)
    assert exchange(rig.dial()) == b"ping"
    rig.proxy.rules.remove(rule.id)
    assert is_silent(old)


def test_rate_is_shared(rig):
    rig.proxy.add(rules.Rule("any", "zone:b1", False, bytes_per_s=1e6))
    connection = rig.dial()
    start = gevent.get_hub().loop.now()
    sender = gevent.spawn(connection.sendall, b"x" * 300_000)
    left = 300_000
    while left:
        left -= len(connection.recv(65536))
    sender.get()
    gevent.get_hub().loop.update_now()
    assert gevent.get_hub().loop.now() - start >= 0.2


def test_control_paths(rig, serve):
    control = serve(rig.proxy)
    added = http_client.post(control, "/rules", {"source": "zone:a1"})
    assert cattrs.structure(added, rules.Rule).id == 1
    assert http_client.fetch(control, "/rules") == [added]
    http_client.call(control, "DELETE", "/rules/1")
    assert http_client.fetch(control, "/rules") == []
    assert http_client.fetch(control, "/counters")["series"] == []
