"""Tests of the peer transport over loopback."""

import gevent

from mulberrydeck.peers import feed_messages
from mulberrydeck.peers import messages
from mulberrydeck.peers import transport
from standins import addresses

PORT = 8390
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
