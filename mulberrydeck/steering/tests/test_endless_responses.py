"""Targets that send bytes without end."""

import time

import gevent
import pytest

from mulberrydeck.forward import budgets
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward.tests import endless
from mulberrydeck.forward.tests import loop_holds
from mulberrydeck.steering import attempts
from mulberrydeck.steering import exchange

OWN = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: o\r\nContent-Length: 0\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nhost: t\r\n\r\n"
DEADLINE_S = 0.5
MAX_HOLD_S = 0.25


class DiscardingSink:
    """Receives a response and keeps nothing of it."""

    def begin(self, status, fields, length):
        """Ignores the head."""

    def write(self, data):
        """Ignores a piece."""

    def flush(self):
        """Sends nothing."""

    def finish(self):
        """Does nothing."""


class UnreadSink(DiscardingSink):
    """Passes a response to a caller that does not read."""

    def flush(self):
        """Blocks."""
        gevent.sleep(30.0)


def run_attempt(address, pool, sink=None, **options):
    hop = attempts.Hop(
        address, REQUEST, "GET", "a1", time.monotonic() + DEADLINE_S
    )
    target_exchange = exchange.TargetExchange(
        pool, hop, None, time.monotonic, **options
    )
    return target_exchange.run(sink or DiscardingSink())


# Guards against faulty targets that together hold the loop for seconds.
@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(CHUNKED, b"1\r\na\r\n" * 11_000, id="tiny chunks"),
        pytest.param(CHUNKED + b"0\r\n", b"A: b\r\n" * 11_000, id="trailers"),
        pytest.param(b"", OTHER * 1000, id="other responses"),
        pytest.param(b"", INTERIM * 2000, id="interim responses"),
    ],
)
def test_endless_responses_leave_the_loop_to_other_requests(start, repeated):
    pool = pools.ConnectionPool("", 1.0, 30.0, time.monotonic)
    with endless.EndlessServer(start, repeated) as server:
        attempts = [
            gevent.spawn(run_attempt, server.address, pool) for _ in range(80)
        ]
        with loop_holds.LoopHolds() as holds:
            gevent.joinall(attempts)
    outcomes = {attempt.get().outcome for attempt in attempts}
    assert outcomes <= {exchange.Outcome.EXPIRED, exchange.Outcome.BROKEN}
    assert holds.longest_s < MAX_HOLD_S


# Guards against a caller that does not read and keeps a target at work.
def test_an_attempt_ends_at_the_deadline_if_its_caller_does_not_read():
    pool = pools.ConnectionPool("", 1.0, 30.0, time.monotonic)
    with endless.EndlessServer(OWN + b"\r\n", b"a" * 65536) as server:
        start_s = time.monotonic()
        attempt = run_attempt(server.address, pool, UnreadSink())
    assert attempt.outcome is exchange.Outcome.EXPIRED
    assert attempt.response_started
    assert DEADLINE_S <= time.monotonic() - start_s < DEADLINE_S + 0.5


# Guards against many endless bodies that together exhaust the memory.
def test_the_buffered_responses_of_a_vm_have_a_common_limit():
    limit_bytes = 1_000_000
    count = 40
    budget = budgets.ByteBudget(limit_bytes)
    pool = pools.ConnectionPool("", 1.0, 30.0, time.monotonic)

    def run(address):
        with budget.reserve() as buffered:
            return run_attempt(address, pool, UnreadSink(), buffered=buffered)

    with endless.EndlessServer(OWN + b"\r\n", b"a" * 65536) as server:
        attempts = [gevent.spawn(run, server.address) for _ in range(count)]
        gevent.sleep(0.7 * DEADLINE_S)
        assert budget.used_bytes > limit_bytes
        # Each response may exceed the limit by one read.
        assert budget.used_bytes < limit_bytes + count * 2 * 65536
        gevent.joinall(attempts)
    assert all(attempt.get().response_started for attempt in attempts)
    assert budget.used_bytes == 0
