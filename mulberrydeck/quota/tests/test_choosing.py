"""Lenders of a resource whose units few VMs own."""

from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.settings import declarations

RESOURCE = "account/acme"


def requested_lenders(quota, now_s):
    """Returns the VMs that a request without tokens asks for a loan."""
    _, produced = reducer.admit(quota, now_s, RESOURCE, f"r{now_s}")
    return {
        effect.to
        for effect in produced
        if isinstance(effect, quota_effects.SendMessage)
    }


def make_borrower():
    settings = declarations.Settings("a", "z", "", "", "", "", "")
    quota = state.QuotaState("i", settings)
    bound = state.Bound(RESOURCE, 1000, 10.0, 5)
    reducer.configure(quota, 0.0, (bound,), {})
    return quota


def test_only_owners_are_asked_and_changes_of_either_apply_at_once():
    quota = make_borrower()
    reducer.set_lenders(quota, "", tuple(f"vm-{n}" for n in range(200)))
    quota.owners = {RESOURCE: frozenset({"vm-7"})}
    assert requested_lenders(quota, 1.0) == {"vm-7"}
    quota.owners = {RESOURCE: frozenset({"vm-9"})}
    assert requested_lenders(quota, 10.0) == {"vm-9"}
    reducer.set_lenders(quota, "", ("vm-1", "vm-2"))
    assert requested_lenders(quota, 20.0) == set()
    reducer.set_lenders(quota, "", ("vm-1", "vm-9"))
    assert requested_lenders(quota, 30.0) == {"vm-9"}
