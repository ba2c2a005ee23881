"""Waits beside free slots, and evenness over targets."""

import pytest

from mulberrydeck.emulator import balance
from mulberrydeck.emulator import targets
from mulberrydeck.emulator.tests import samples


@pytest.fixture(autouse=True)
def fixture_no_spread(monkeypatch):
    """Makes requests take exactly their mean processing time."""
    monkeypatch.setattr(targets, "WORK_SPREAD", 0.0)


def accept(target, *keys):
    """Returns the records of the waits of requests that a target accepts."""
    jobs = [samples.make_job(key) for key in keys]
    for job in jobs:
        assert target.try_accept(job)
    return [(job.wait.waited, job.wait.beside_free_slot) for job in jobs]


def test_a_wait_beside_a_free_slot_is_recorded():
    _, (busy, _) = samples.make_targets(2, samples.make_pool())
    assert accept(busy, "a", "b") == [(False, False), (True, True)]


def test_a_wait_while_all_slots_are_in_use_is_not_a_poor_choice():
    _, (busy, other) = samples.make_targets(2, samples.make_pool())
    accept(other, "x")
    assert accept(busy, "a", "b") == [(False, False), (True, False)]


def test_a_slot_that_becomes_free_during_a_wait_counts():
    clock, (busy, other) = samples.make_targets(2, samples.make_pool())
    accept(other, "x")
    clock.run(0.5)
    accept(busy, "a")
    waiting = samples.make_job("b")
    busy.try_accept(waiting)
    clock.run(0.9)
    assert not waiting.wait.beside_free_slot
    clock.run(1.1)
    assert waiting.wait.beside_free_slot


def test_a_slot_that_the_queue_of_its_target_takes_is_not_free():
    clock, (busy, other) = samples.make_targets(2, samples.make_pool())
    accept(other, "x", "y", "z")
    clock.run(0.9)
    accept(busy, "a")
    waiting = samples.make_job("b")
    busy.try_accept(waiting)
    clock.run(1.1)
    assert not waiting.wait.beside_free_slot


def test_slots_of_another_region_or_service_do_not_count():
    _, (busy,) = samples.make_targets(1, samples.make_pool())
    samples.make_targets(1, samples.make_pool())
    assert accept(busy, "a", "b")[1] == (True, False)


def test_requests_that_no_longer_wait_are_not_recorded():
    clock, (busy, other) = samples.make_targets(2, samples.make_pool())
    accept(other, "x")
    clock.run(0.5)
    accept(busy, "a")
    cancelled = samples.make_job("b")
    busy.try_accept(cancelled)
    cancelled.cancelled = True
    clock.run(1.4)
    assert not cancelled.wait.beside_free_slot


def test_unevenness_is_the_top_targets_less_the_median():
    pool = samples.make_pool()
    clock, members = samples.make_targets(21, pool, slots=4)
    clock.run(balance.WINDOW_S)
    assert pool.take_unevenness() == 0.0
    for number, target in enumerate(members):
        accept(target, *("abc" if number < 2 else "a"))
    clock.run(2 * balance.WINDOW_S)
    assert pool.take_unevenness() == pytest.approx(2.0)
    # A request of the first windows does not count in later ones.
    clock.run(6.0)
    pool.take_unevenness()
    clock.run(6.0 + balance.WINDOW_S)
    assert pool.take_unevenness() == 0.0


def test_few_targets_are_not_taken_for_even():
    """The 95th percentile of three targets is not their median."""
    pool = samples.make_pool()
    clock, members = samples.make_targets(3, pool, slots=4)
    accept(members[0], "a", "b")
    clock.run(balance.WINDOW_S)
    assert pool.take_unevenness() == pytest.approx(1.8)
