"""Tests of denied requests and of refunds."""

import math

from mulberrydeck.quota import admission
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.settings import declarations


def test_retry_after_is_finite_without_any_units():
    settings = declarations.Settings("a", "z", "", "", "", "", "")
    quota = state.QuotaState("i", settings)
    bound = state.Bound("account/acme", 1000, 10.0, 5)
    reducer.configure(quota, 0.0, (bound,), {})
    result, _ = reducer.admit(quota, 1.0, "account/acme", "r1")
    assert isinstance(result, state.Denied)
    assert math.isfinite(result.retry_after_s)
    assert result.retry_after_s <= admission.MAX_RETRY_AFTER_S


def test_refund_never_exceeds_the_depth():
    settings = declarations.Settings("a", "z", "", "", "", "", "")
    quota = state.QuotaState("i", settings)
    bound = state.Bound("account/acme", 1000, 10.0, 5)
    reducer.configure(quota, 0.0, (bound,), {"account/acme": 1000}, 0.0)
    for number in range(3):
        reducer.admit(quota, 100.0, "account/acme", f"r{number}")
    for _ in range(9):
        reducer.refund(quota, 100.0, "account/acme")
    assert reducer.balances(quota)[0].tokens == 5.0


def make_full_bucket(rate_per_s, burst):
    settings = declarations.Settings("a", "z", "", "", "", "", "")
    quota = state.QuotaState("i", settings)
    bound = state.Bound("account/acme", 1000, rate_per_s, burst)
    reducer.configure(quota, 0.0, (bound,), {"account/acme": 1000}, 0.0)
    reducer.tick(quota, 100.0)
    return quota


def admit(quota, now_s, request_id, first=False):
    result, _ = reducer.admit(quota, now_s, "account/acme", request_id, first)
    return isinstance(result, state.Admitted)


def test_requests_that_expire_in_a_stall_do_not_exceed_rate_and_burst():
    """A VM stalls between admission and sending, while others arrive."""
    rate_per_s, burst, stall_s = 100.0, 35.0, 0.5
    quota = make_full_bucket(rate_per_s, burst)
    expired = [f"r{n}" for n in range(40) if admit(quota, 100.0, f"r{n}")]
    assert len(expired) == burst
    resumed_s = 100.0 + stall_s
    sent = [each for each in expired if admit(quota, resumed_s, each, True)]
    sent += [f"n{n}" for n in range(40) if admit(quota, resumed_s, f"n{n}")]
    assert len(sent) <= burst


def test_a_request_that_was_admitted_before_goes_first():
    """Behind the waiting requests of a busy VM it would expire again."""
    quota = make_full_bucket(10.0, 2.0)
    for number in range(2):
        assert admit(quota, 100.0, f"r{number}")
    assert not admit(quota, 100.01, "waiting")
    assert quota.resources["account/acme"].queue
    assert not admit(quota, 100.05, "again", first=True)
    _, produced = reducer.admit(quota, 100.11, "account/acme", "late")
    decided = [each.event.request_id for each in produced]
    queue = quota.resources["account/acme"].queue
    assert "waiting" not in decided
    assert "again" not in [each.request_id for each in queue]
