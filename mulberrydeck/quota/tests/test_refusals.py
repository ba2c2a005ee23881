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
