"""Tests of the peer transport over loopback."""

import gevent
import gevent.socket
import pytest

from mulberrydeck.peers import feed_messages
from mulberrydeck.peers import messages
from mulberrydeck.peers import transport
from standins import addresses
from standins import waiting

PORT = 8390
USED_S = 0.3
MESSAGE_COUNT = 60  # More than `transport.MAX_MESSAGES_PER_TURN`.
HEARTBEAT = messages.SteeringHeartbeat("process", ready=True, leaving=False)


class FailOnMalformed:
    """Transport metrics that fail the test on a malformed message."""

    def peer_message(self, direction, size):
        del direction, size

    def peer_malformed(self):
        raise AssertionError("A malformed message was received.")


def start(name, address, received):
    started = transport.PeerTransport(
        name,
        address,
        "",
        "secret",
        lambda sender, message: received.append((sender, message)),
        FailOnMalformed(),
    )
    started.start()
    return started


def test_a_port_that_is_in_use_for_a_moment_loses_no_messages():
    subnet = addresses.reserve()
    address = f"{subnet.ip(1, 2)}:{PORT}"
    user = gevent.socket.create_server((subnet.ip(1, 2), PORT))
    gevent.spawn_later(USED_S, user.close)
    received = []
    second = start("b", address, received)
    first = start("a", f"{subnet.ip(1, 1)}:{PORT}", [])
    first.connect("b", address)
    waiting.until(
        lambda: first.send("b", HEARTBEAT) or received, "a message arrives"
    )
    first.stop()
    second.stop()


def test_messages_arrive_in_order_and_stop_closes_all_sockets():
    subnet = addresses.reserve()
    received = []
    first_address = f"{subnet.ip(1, 1)}:{PORT}"
    second_address = f"{subnet.ip(1, 2)}:{PORT}"
    first = start("a", first_address, [])
    second = start("b", second_address, received)
    first.connect("b", second_address)
    while not received:
        first.send("b", HEARTBEAT)
        gevent.sleep(0.01)
    requests = [
        feed_messages.FeedRequest(
            (feed_messages.KnownRevision("servers", revision),), 1.0
        )
        for revision in range(MESSAGE_COUNT)
    ]
    for request in requests:
        first.send("b", request)
    while received[-1] != ("a", requests[-1]):
        gevent.sleep(0.01)
    assert [message for _, message in received[-MESSAGE_COUNT:]] == requests
    for each in (first, second):
        each.stop()
        assert each.context.closed
    subnet.release()


@pytest.fixture(name="pair")
def fixture_pair():
    """Two transports, of which the first knows the second, and its messages."""
    subnet = addresses.reserve()
    received = []
    second_address = f"{subnet.ip(1, 2)}:{PORT}"
    first = start("a", f"{subnet.ip(1, 1)}:{PORT}", [])
    second = start("b", second_address, received)
    first.connect("b", second_address)
    yield first, received
    first.stop()
    second.stop()
    subnet.release()


def test_messages_sent_before_the_connection_is_established_arrive_once(pair):
    first, received = pair
    for _ in range(3):
        first.send("b", HEARTBEAT)
    waiting.until(lambda: len(received) >= 3, "all messages arrive")
    gevent.sleep(2 * transport.CONNECT_POLL_INTERVAL_S)
    assert received == [("a", HEARTBEAT)] * 3


def test_an_idle_connection_outlives_its_probes(pair):
    first, received = pair
    first.send("b", HEARTBEAT)
    waiting.until(lambda: len(received) == 1, "the message arrives")
    probes_s = transport.DEFAULT_PROBE_INTERVAL_S
    gevent.sleep(2 * probes_s + transport.PROBE_TIMEOUT_MS / 1000)
    first.send("b", HEARTBEAT)
    waiting.until(lambda: len(received) == 2, "the next message arrives")


def test_messages_to_a_peer_that_does_not_respond_are_dropped(pair):
    first, received = pair
    first.connect("c", "127.0.0.1:9")
    first.send("c", HEARTBEAT)
    gevent.sleep(transport.CONNECT_WAIT_S + 0.1)
    assert not first._connections["c"].connecting
    first.send("b", HEARTBEAT)
    waiting.until(lambda: received, "other peers get messages")
