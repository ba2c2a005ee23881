"""Attempts that start before and after their admission expires.

Requests that are sent after their admission expired may exceed the rate limit.
"""

import gevent
import gevent.server

from mulberrydeck.forward import exchange
from mulberrydeck.forward import outcomes
from mulberrydeck.forward import pool as pools

ADMISSION_LIFETIME_S = 0.15
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class DiscardingSink:
    """Discards a response."""

    def begin(self, status, fields, length):
        pass

    def write(self, data):
        pass

    def flush(self):
        pass

    def finish(self):
        pass


class Target:
    """Responds to each request and records the received bytes."""

    def __init__(self):
        self.received = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        while data := sock.recv(4096):
            self.received.append(data)
            sock.sendall(RESPONSE)


def run_attempt_after(delay_s):
    """Admits a request and starts its attempt after a delay.

    Args:
        delay_s: Time between admission and start, in seconds.

    Returns:
        The attempt, the bytes that the target received, and whether the
        connection was kept.
    """
    target = Target()
    now_s = 100.0
    pool = pools.ConnectionPool("", 1.0, 30.0, lambda: now_s)
    hop = exchange.Hop(
        address=f"127.0.0.1:{target.server.server_port}",
        head=b"GET / HTTP/1.1\r\nhost: t\r\n\r\n",
        method="GET",
        remaining_s=2.0,
        start_by_s=now_s + ADMISSION_LIFETIME_S,
    )
    now_s += delay_s
    attempt = exchange.Exchange(pool, hop, None).run(DiscardingSink())
    target.server.stop(timeout=0)
    return attempt, target.received, bool(pool.idle.get(hop.address))


def test_an_attempt_within_its_admission_lifetime_is_sent():
    attempt, received, _ = run_attempt_after(0.5 * ADMISSION_LIFETIME_S)
    assert attempt.outcome is outcomes.AttemptOutcome.ANSWERED
    assert received


def test_an_attempt_after_its_admission_expired_is_not_sent():
    attempt, received, kept = run_attempt_after(1.1 * ADMISSION_LIFETIME_S)
    assert attempt.outcome is outcomes.AttemptOutcome.NOT_SENT
    assert not received
    assert kept
