"""When a request may be written to a target."""

import gevent
import gevent.server
import pytest

from mulberrydeck.forward import pool as pools
from mulberrydeck.steering import exchange

SEND_WITHIN_S = 0.15
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Id: a1\r\n"
    b"X-Response-Signature: s\r\n\r\nok"
)


class Target:
    """Responds to each request and records the received bytes."""

    def __init__(self):
        self.received = []
        self.connections = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        self.connections += 1
        while data := sock.recv(4096):
            self.received.append(data)
            sock.sendall(RESPONSE)


class Clock:
    def __init__(self):
        self.at_s = 100.0

    def now_s(self):
        return self.at_s


@pytest.fixture(name="target")
def fixture_target():
    target = Target()
    yield target
    target.server.stop(timeout=0)


def run_attempt(target, clock, pool, delay_s):
    hop = exchange.Hop(
        address=f"127.0.0.1:{target.server.server_port}",
        head=b"GET / HTTP/1.1\r\nhost: t\r\n\r\n",
        method="GET",
        attempt_id="a1",
        deadline_s=clock.now_s() + 2.0,
        send_by_s=clock.now_s() + SEND_WITHIN_S,
    )
    clock.at_s += delay_s
    return exchange.TargetExchange(pool, hop, None, clock.now_s).run(None)


def test_a_request_is_written_while_its_decision_holds(target):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool, 0.9 * SEND_WITHIN_S)
    assert attempt.outcome is exchange.Outcome.ANSWERED
    assert len(target.received) == 1


def test_a_request_is_not_written_after_its_decision_expired(target):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool, 1.1 * SEND_WITHIN_S)
    assert attempt.outcome is exchange.Outcome.DELAYED
    assert attempt.sent_after_s is None
    # The connection that was opened for it serves the next attempt.
    assert run_attempt(target, clock, pool, 0.0).status == 200
    assert len(target.received) == 1
    assert target.connections == 1
