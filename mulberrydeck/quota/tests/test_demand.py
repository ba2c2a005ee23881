"""Tests of the demand estimate."""

import pytest

from mulberrydeck.quota import demand


def test_steady_arrivals_give_a_close_lower_bound():
    estimate = demand.DemandEstimate()
    for number in range(400):
        estimate.add(number * 0.025, 1.0)
    assert estimate.rate_at(10.0) == pytest.approx(40.0, rel=0.05)
    assert 30.0 < estimate.lower_bound_at(10.0) < 40.0


def test_lower_bound_of_a_single_burst_is_zero():
    estimate = demand.DemandEstimate()
    for _ in range(20):
        estimate.add(1.0, 1.0)
    assert estimate.rate_at(1.0) == pytest.approx(10.0)
    assert estimate.lower_bound_at(1.0) == 0.0


def test_estimate_decays():
    estimate = demand.DemandEstimate()
    estimate.add(0.0, 1.0)
    assert estimate.rate_at(60.0) < 1e-9
