"""When an attempt may begin, and what is known of one that did not."""

import gevent
import gevent.server

from mulberrydeck.forward import exchange
from mulberrydeck.forward import outcomes
from mulberrydeck.forward import pool as pools

LIFETIME_S = 0.15
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Sink:
    """Takes an answer and forgets it."""

    def begin(self, status, fields, length):
        pass

    def write(self, data):
        pass

    def flush(self):
        pass

    def finish(self):
        pass


class Target:
    """Answers each request and keeps what it got."""

    def __init__(self):
        self.received = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        while data := sock.recv(4096):
            self.received.append(data)
            sock.sendall(ANSWER)


def attempt_after(late_s):
    """Decides on a request at once and begins it later.

    Args:
        late_s: Time between the decision and the beginning, in seconds.

    Returns:
        How the attempt ended, and what the target got.
    """
    target = Target()
    now_s = 100.0
    pool = pools.ConnectionPool("", 1.0, 30.0, lambda: now_s)
    hop = exchange.Hop(
        address=f"127.0.0.1:{target.server.server_port}",
        head=b"GET / HTTP/1.1\r\nhost: t\r\n\r\n",
        method="GET",
        remaining_s=2.0,
        start_by_s=now_s + LIFETIME_S,
    )
    now_s += late_s
    attempt = exchange.Exchange(pool, hop, None).run(Sink())
    target.server.stop(timeout=0)
    return attempt, target.received


def test_an_attempt_that_begins_in_time_is_sent():
    attempt, received = attempt_after(0.5 * LIFETIME_S)
    assert attempt.outcome is outcomes.AttemptOutcome.ANSWERED
    assert received


def test_an_attempt_that_begins_after_its_admission_ended_is_not_sent():
    attempt, received = attempt_after(1.1 * LIFETIME_S)
    assert attempt.outcome is outcomes.AttemptOutcome.NOT_RUN
    assert not received
