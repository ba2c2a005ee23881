"""Transport of peer messages over loopback."""

import gevent

from mulberrydeck.peers import feed_messages
from mulberrydeck.peers import messages
from mulberrydeck.peers import transport
from standins import addresses

PORT = 8390
MANY = 60  # More than are read at once.
BEAT = messages.SteeringHeartbeat("process", ready=True, leaving=False)


class Counted:
    """Counts nothing."""

    def peer_message(self, direction, size):
        del direction, size

    def peer_malformed(self):
        raise AssertionError("A message was malformed.")


def start(name, address, received):
    made = transport.PeerTransport(
        name,
        address,
        "",
        "secret",
        lambda sender, message: received.append((sender, message)),
        Counted(),
    )
    made.start()
    return made


def test_messages_arrive_in_order_and_a_stop_leaves_nothing_open():
    subnet = addresses.reserve()
    received = []
    first_address = f"{subnet.ip(1, 1)}:{PORT}"
    second_address = f"{subnet.ip(1, 2)}:{PORT}"
    first = start("a", first_address, [])
    second = start("b", second_address, received)
    first.connect("b", second_address)
    while not received:
        first.send("b", BEAT)
        gevent.sleep(0.01)
    asks = [
        feed_messages.FeedRequest(
            (feed_messages.KnownRevision("servers", revision),), 1.0
        )
        for revision in range(MANY)
    ]
    for ask in asks:
        first.send("b", ask)
    while received[-1] != ("a", asks[-1]):
        gevent.sleep(0.01)
    assert [message for _, message in received[-MANY:]] == asks
    for each in (first, second):
        each.stop()
        assert each.context.closed
    subnet.release()
