"""Sharing of the event loop between responses that are costly to parse."""

import time

import gevent
import gevent.event
import pytest

from mulberrydeck.forward import receiving
from mulberrydeck.forward.tests import loop_holds

SLICES = 16
DATA = bytes(range(256)) * (SLICES * receiving.SLICE_BYTES // 256)
COST_S = 0.001
TIMEOUT_S = 30.0


def parse(slicer, data=DATA, cost_s=COST_S, timeout_s=TIMEOUT_S):
    parsed = []
    for piece in slicer.slices(data, timeout_s):
        parsed.append(piece)
        end_s = time.perf_counter() + cost_s
        while time.perf_counter() < end_s:
            pass
    return parsed


@pytest.mark.parametrize("data", [b"", b"ab", DATA, DATA + b"ab"])
def test_slices_are_the_received_bytes(data):
    assert b"".join(parse(receiving.Slicer(), data, 0.0)) == data


def test_the_end_of_a_connection_is_one_empty_slice():
    assert parse(receiving.Slicer(), b"") == [b""]


# Guards against targets that together hold the loop, each for a short time.
def test_many_costly_responses_leave_the_loop_to_others():
    turn = receiving.LoopTurn()
    greenlets = [gevent.spawn(parse, receiving.Slicer(turn)) for _ in range(30)]
    with loop_holds.LoopHolds() as holds:
        gevent.joinall(greenlets)
    assert all(b"".join(greenlet.get()) == DATA for greenlet in greenlets)
    # All of them together take 0.48 s.
    assert holds.longest_s < 0.2


# Guards against ordinary responses that wait, since the process was suspended
# while they were parsed.
@pytest.mark.parametrize("cost_s", [0.0, 5 * receiving.MIN_PARSING_S])
def test_a_short_response_does_not_queue_behind_costly_ones(cost_s):
    turn = receiving.LoopTurn()
    costly = [gevent.spawn(parse, receiving.Slicer(turn)) for _ in range(30)]
    gevent.sleep(0.02)
    short = gevent.spawn(parse, receiving.Slicer(turn), b"ab", cost_s)
    short.get()
    assert not all(greenlet.ready() for greenlet in costly)
    gevent.joinall(costly)


def test_waiting_for_a_turn_ends_with_the_timeout():
    turn = receiving.LoopTurn()
    other = gevent.event.Event()
    turn.waiting.append(other)
    start_s = time.monotonic()
    with pytest.raises(receiving.ParsingTimeoutError):
        parse(receiving.Slicer(turn), timeout_s=0.05)
    assert time.monotonic() - start_s < 0.5
    assert list(turn.waiting) == [other]
    # A response that gave up leaves the turns to others.
    turn.waiting.clear()
    assert b"".join(parse(receiving.Slicer(turn))) == DATA


# Guards against a response that keeps all turns, so that others expire.
def test_turns_are_taken_in_the_order_of_waiting():
    turn = receiving.LoopTurn()
    taken = []

    def take(name):
        for _ in range(10):
            turn.wait_for_next(TIMEOUT_S)
            taken.append(name)

    takers = [gevent.spawn(take, name) for name in "abc"]
    gevent.joinall(takers, raise_error=True)
    assert "".join(taken) == "abc" * 10
