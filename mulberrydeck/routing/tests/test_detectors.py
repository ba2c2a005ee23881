"""Tests of the detection of failing targets."""

import random

import hypothesis
from hypothesis import strategies

from mulberrydeck.routing import detectors


def test_five_failures_in_twenty_outcomes_signal_and_four_do_not():
    window = detectors.FailureWindow()
    outcomes = [True, False, False, False, False] * 4
    assert not any(detectors.observe(window, failed) for failed in outcomes)
    assert not detectors.observe(window, True)
    assert detectors.observe(window, True)


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=80))
@hypothesis.settings(derandomize=True)
def test_the_failure_count_matches_the_window(outcomes):
    window = detectors.FailureWindow()
    for failed in outcomes:
        signalled = detectors.observe(window, failed)
        assert window.failures == sum(window.outcomes)
        assert len(window.outcomes) <= window.size
        assert not (signalled and window.outcomes)


def test_a_failed_target_is_detected_at_once_and_a_healthy_one_never():
    window = detectors.FailureWindow()
    assert [detectors.observe(window, True) for _ in range(5)][-1]
    rng = random.Random(20261203)
    healthy = (rng.random() < 0.01 for _ in range(20_000))
    assert not any(detectors.observe(window, failed) for failed in healthy)
