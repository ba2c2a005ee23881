"""Tests of message handling: duplicates, reordering and restarts."""

import attrs
import pytest

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.quota.tests import fleet

BOUND = fleet.make_bound("kilimani", 10.0, 10.0)
LOAN_REQUEST = messages.LoanRequest(
    7, "b#1", 0.0, (messages.ResourceRequest(BOUND.resource, 300, 1.0),)
)


def make_lender():
    lender = state.QuotaState("a#1", fleet.make_settings("a", "a1"))
    reducer.configure(lender, 0.0, (BOUND,), {BOUND.resource: 1000})
    reducer.tick(lender, fleet.WARM_UP_S)
    return lender


def make_borrower():
    borrower = state.QuotaState("b#1", fleet.make_settings("b", "b1"))
    reducer.configure(borrower, 0.0, (BOUND,), {})
    reducer.set_lenders(borrower, "", ("a",))
    return borrower


def request_loan(lender, borrower, now_s=10.0):
    """Makes a borrower with steady demand request; returns the response."""
    for number in range(24):
        borrower.resources[BOUND.resource].arrivals.add(
            now_s - 2.0 + number / 12.0, 1.0
        )
    _, produced = reducer.admit(borrower, now_s, BOUND.resource, "r")
    (response,) = reducer.receive(lender, now_s, "b", produced[0].message)
    return response.message


def balance(quota):
    return reducer.balances(quota)[0]


def test_duplicate_loan_request_lends_once():
    lender = make_lender()
    assert reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    assert reducer.receive(lender, 10.1, "b", LOAN_REQUEST) == ()
    assert balance(lender).lent_units == 300


def test_duplicate_loan_counts_once():
    lender, borrower = make_lender(), make_borrower()
    loan = request_loan(lender, borrower)
    reducer.receive(borrower, 10.0, "a", loan)
    balance_after_first = balance(borrower)
    reducer.receive(borrower, 10.0, "a", loan)
    assert balance(borrower) == balance_after_first
    assert balance_after_first.borrowed_units == balance(lender).lent_units > 0


@pytest.mark.parametrize(
    "change", [{"borrower_incarnation": "b#0"}, {"ask_id": 99}]
)
def test_loan_for_another_request_or_incarnation_is_dropped(change):
    lender, borrower = make_lender(), make_borrower()
    loan = attrs.evolve(request_loan(lender, borrower), **change)
    reducer.receive(borrower, 10.0, "a", loan)
    assert balance(borrower).borrowed_units == 0


def test_loan_from_another_vm_than_requested_is_dropped():
    lender, borrower = make_lender(), make_borrower()
    loan = request_loan(lender, borrower)
    reducer.receive(borrower, 10.0, "c", loan)
    assert balance(borrower).borrowed_units == 0


def test_return_to_another_incarnation_or_from_another_vm_is_dropped():
    lender = make_lender()
    (response,) = reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    loan_id = response.message.grants[0].loan_id
    returned = (messages.ReturnedLoan(BOUND.resource, loan_id, 0, 0.0),)
    stale = messages.QuotaReturn("a#0", returned)
    reducer.receive(lender, 10.1, "b", stale)
    reducer.receive(lender, 10.1, "c", messages.QuotaReturn("a#1", returned))
    assert balance(lender).lent_units == 300
    reducer.receive(lender, 10.1, "b", messages.QuotaReturn("a#1", returned))
    assert balance(lender).lent_units == 0


def test_reordered_partial_returns_keep_the_fewest_units():
    lender = make_lender()
    (response,) = reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    loan_id = response.message.grants[0].loan_id
    for kept_units in (50, 200, 50):
        returned = messages.ReturnedLoan(
            BOUND.resource, loan_id, kept_units, 0.0
        )
        message = messages.QuotaReturn("a#1", (returned,))
        reducer.receive(lender, 10.1, "b", message)
    assert balance(lender).lent_units == 50


def test_lender_reuses_units_only_after_lease_and_margin():
    lender = make_lender()
    settings = lender.settings
    reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    end_s = 10.0 + settings.quota_lease_s + settings.lease_margin_s
    for at_s, lent_units in ((end_s - 0.01, 300), (end_s + 0.01, 0)):
        reducer.take(lender, at_s, BOUND.resource, 1.0)
        assert balance(lender).lent_units == lent_units


def test_extension_of_a_returned_loan_is_dropped():
    lender, borrower = make_lender(), make_borrower()
    reducer.receive(borrower, 10.0, "a", request_loan(lender, borrower))
    reducer.admit(borrower, 14.0, BOUND.resource, "r2")
    renewals = [
        effect.message
        for effect in reducer.tick(borrower, 14.0)
        if isinstance(effect.message, messages.LoanRequest)
    ]
    (response,) = reducer.receive(lender, 14.0, "b", renewals[0])
    reducer.return_all_loans(borrower, 14.1)
    reducer.receive(borrower, 14.2, "a", response.message)
    assert balance(borrower).borrowed_units == 0


def test_loan_that_arrives_after_a_planned_stop_is_returned():
    lender, borrower = make_lender(), make_borrower()
    loan = request_loan(lender, borrower)
    reducer.return_all_loans(borrower, 10.0)
    for effect in reducer.receive(borrower, 10.0, "a", loan):
        if isinstance(effect, quota_effects.SendMessage):
            reducer.receive(lender, 10.0, "b", effect.message)
    assert balance(borrower).borrowed_units == 0
    assert balance(lender).lent_units == 0


def test_tokens_move_with_units_and_are_not_created():
    lender, borrower = make_lender(), make_borrower()
    for number in range(5):
        reducer.admit(lender, 10.0, BOUND.resource, f"own {number}")
    tokens_before = balance(lender).tokens
    loan = request_loan(lender, borrower)
    moved_tokens = loan.grants[0].tokens
    assert moved_tokens >= 1.0
    assert balance(lender).tokens == pytest.approx(tokens_before - moved_tokens)
    reducer.receive(borrower, 10.0, "a", loan)
    held_tokens = balance(borrower).tokens
    for effect in reducer.return_all_loans(borrower, 10.0):
        reducer.receive(lender, 10.0, "b", effect.message)
    assert held_tokens == pytest.approx(moved_tokens - 1.0)
    assert balance(lender).tokens == pytest.approx(tokens_before - 1.0)
