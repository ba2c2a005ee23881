"""Which peers are reset when a memory budget is exceeded."""

import contextlib
import time
import types

import gevent.socket
import pytest

from mulberrydeck.forward import budgets

LIMIT = 100


class Peers:
    """Peers that are waited for, on a simulated clock."""

    def __init__(self, stack):
        self.now_s = 1000.0
        self.stack = stack
        self.resets = []
        self.reports = []
        self.budget = budgets.ByteBudget(
            LIMIT, report_reset=lambda *report: self.reports.append(report)
        )

    def monotonic(self):
        return self.now_s

    def wait(self, name, count):
        reservation = self.budget.reserve()
        reservation.grow(count)

        def reset():
            self.resets.append(name)
            reservation.release()

        self.stack.enter_context(reservation.wait_for_peer(reset))
        return reservation


@pytest.fixture(name="peers")
def fixture_peers(monkeypatch):
    with contextlib.ExitStack() as stack:
        peers = Peers(stack)
        monkeypatch.setattr(budgets, "time", types.SimpleNamespace())
        budgets.time.monotonic = peers.monotonic
        yield peers


# Guards against a reset of callers that are served, or of more than needed.
def test_the_peer_that_keeps_most_for_longest_is_reset_first(peers):
    peers.wait("old", 10)
    peers.now_s += 2.0
    peers.wait("large", 60)
    reading = peers.wait("reading", 25)
    peers.now_s += 3.0
    reading.record_progress()
    assert peers.resets == []
    peers.budget.reset_stalled()
    assert peers.resets == []
    assert not peers.budget.reserve().grow(20)
    peers.budget.reset_stalled()
    assert peers.resets == ["large"]
    assert peers.reports == [(60, 3.0)]
    assert peers.budget.reserve().grow(1)


def test_only_stalled_peers_are_reset(peers):
    peers.wait("a", 90)
    peers.now_s += 0.9 * budgets.MIN_STALL_S
    peers.budget.reserve().grow(20)
    peers.budget.reset_stalled()
    assert peers.resets == []
    peers.now_s += 0.2 * budgets.MIN_STALL_S
    peers.budget.reset_stalled()
    assert peers.resets == ["a"]


# Guards against the reset of a request that waits for its target.
def test_nobody_is_reset_who_is_not_waited_for(peers):
    peers.budget.reserve().grow(90)
    with peers.budget.reserve().wait_for_peer(None):
        pass
    peers.now_s += 10.0
    assert not peers.budget.reserve().grow(20)
    peers.budget.reset_stalled()
    assert peers.resets == []


# Guards against the reset of all callers by a VM that was paused.
def test_a_pause_of_the_process_does_not_count_as_a_stall(monkeypatch):
    monkeypatch.setattr(budgets, "MIN_STALL_S", 0.25)
    budget = budgets.ByteBudget(LIMIT)
    resets = []
    ours, peer = gevent.socket.socketpair()

    def receive():
        reservation = budget.reserve()
        reservation.grow(LIMIT)
        with reservation.wait_for_peer(lambda: resets.append(ours)):
            while ours.recv(1):
                reservation.record_progress()

    receiver = gevent.spawn(receive)
    gevent.sleep(0)
    budget.reserve().grow(1)
    gevent.sleep(0)  # The search begins to wait.
    peer.send(b"x")
    time.sleep(0.4)
    gevent.sleep(budgets.SEARCH_INTERVAL_S)
    assert resets == []
    # Guards also against a search that ends before its peers count as stalled.
    gevent.sleep(0.5)
    assert resets == [ours]
    peer.close()
    receiver.join()
    budget.searcher.kill()
