"""Tests of the time after which a refused request may come back."""

import math

from mulberrydeck.quota import admission
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.settings import declarations


def test_is_finite_without_any_units():
    settings = declarations.Settings("a", "z", "", "", "", "", "")
    quota = state.QuotaState("i", settings)
    bound = state.Bound("account/acme", 1000, 10.0, 5)
    reducer.configure(quota, 0.0, (bound,), {})
    verdict, _ = reducer.admit(quota, 1.0, "account/acme", "r1")
    assert isinstance(verdict, state.Denied)
    assert math.isfinite(verdict.retry_after_s)
    assert verdict.retry_after_s <= admission.MAX_RETRY_AFTER_S
