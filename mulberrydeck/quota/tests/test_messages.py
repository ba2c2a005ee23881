"""Tests of single messages: duplicates and other incarnations."""

import attrs
import pytest

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.quota.tests import fleet

BOUND = fleet.make_bound("kilimani", 10.0, 10.0)
LOAN_REQUEST = messages.QuotaAsk(
    7, "b#1", 0.0, (messages.QuotaRequest(BOUND.resource, 300, 1.0),)
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


def exchange(lender, borrower, now_s=10.0):
    """Lets a borrower in steady demand ask; returns the lender's answer."""
    for number in range(24):
        borrower.resources[BOUND.resource].arrivals.add(
            now_s - 2.0 + number / 12.0, 1.0
        )
    _, done = reducer.admit(borrower, now_s, BOUND.resource, "r")
    (answer,) = reducer.receive(lender, now_s, "b", done[0].message)
    return answer.message


def balance(quota):
    return reducer.balances(quota)[0]


def test_duplicate_ask_lends_once():
    lender = make_lender()
    assert reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    assert reducer.receive(lender, 10.1, "b", LOAN_REQUEST) == ()
    assert balance(lender).lent_units == 300


def test_duplicate_loan_counts_once():
    lender, borrower = make_lender(), make_borrower()
    loan = exchange(lender, borrower)
    reducer.receive(borrower, 10.0, "a", loan)
    once = balance(borrower)
    reducer.receive(borrower, 10.0, "a", loan)
    assert balance(borrower) == once
    assert once.borrowed_units == balance(lender).lent_units > 0


@pytest.mark.parametrize(
    "change", [{"borrower_incarnation": "b#0"}, {"ask_id": 99}]
)
def test_loan_for_another_ask_or_incarnation_is_dropped(change):
    lender, borrower = make_lender(), make_borrower()
    loan = attrs.evolve(exchange(lender, borrower), **change)
    reducer.receive(borrower, 10.0, "a", loan)
    assert balance(borrower).borrowed_units == 0


def test_loan_from_a_vm_that_was_not_asked_is_dropped():
    lender, borrower = make_lender(), make_borrower()
    loan = exchange(lender, borrower)
    reducer.receive(borrower, 10.0, "c", loan)
    assert balance(borrower).borrowed_units == 0


def test_return_to_another_incarnation_or_from_another_vm_is_dropped():
    lender = make_lender()
    (answer,) = reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    loan_id = answer.message.grants[0].loan_id
    returned = (messages.ReturnedLoan(BOUND.resource, loan_id, 0, 0.0),)
    stale = messages.QuotaReturn("a#0", returned)
    reducer.receive(lender, 10.1, "b", stale)
    reducer.receive(lender, 10.1, "c", messages.QuotaReturn("a#1", returned))
    assert balance(lender).lent_units == 300
    reducer.receive(lender, 10.1, "b", messages.QuotaReturn("a#1", returned))
    assert balance(lender).lent_units == 0


def test_reordered_partial_returns_keep_the_lowest_count():
    lender = make_lender()
    (answer,) = reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    loan_id = answer.message.grants[0].loan_id
    for kept_units in (50, 200, 50):
        part = messages.ReturnedLoan(BOUND.resource, loan_id, kept_units, 0.0)
        message = messages.QuotaReturn("a#1", (part,))
        reducer.receive(lender, 10.1, "b", message)
    assert balance(lender).lent_units == 50


def test_lender_waits_for_the_margin_after_the_lease():
    lender = make_lender()
    settings = lender.settings
    reducer.receive(lender, 10.0, "b", LOAN_REQUEST)
    end_s = 10.0 + settings.quota_lease_s + settings.lease_margin_s
    for at_s, lent_units in ((end_s - 0.01, 300), (end_s + 0.01, 0)):
        reducer.take(lender, at_s, BOUND.resource, 1.0)
        assert balance(lender).lent_units == lent_units


def test_extension_of_a_returned_loan_is_dropped():
    lender, borrower = make_lender(), make_borrower()
    reducer.receive(borrower, 10.0, "a", exchange(lender, borrower))
    reducer.admit(borrower, 14.0, BOUND.resource, "r2")
    renewals = [
        done.message
        for done in reducer.tick(borrower, 14.0)
        if isinstance(done.message, messages.QuotaAsk)
    ]
    (answer,) = reducer.receive(lender, 14.0, "b", renewals[0])
    reducer.return_all_loans(borrower, 14.1)
    reducer.receive(borrower, 14.2, "a", answer.message)
    assert balance(borrower).borrowed_units == 0


def test_loan_that_arrives_after_a_planned_stop_is_given_back():
    lender, borrower = make_lender(), make_borrower()
    loan = exchange(lender, borrower)
    reducer.return_all_loans(borrower, 10.0)
    for done in reducer.receive(borrower, 10.0, "a", loan):
        if isinstance(done, quota_effects.SendMessage):
            reducer.receive(lender, 10.0, "b", done.message)
    assert balance(borrower).borrowed_units == 0
    assert balance(lender).lent_units == 0


def test_tokens_move_with_units_and_are_not_minted():
    lender, borrower = make_lender(), make_borrower()
    for number in range(5):
        reducer.admit(lender, 10.0, BOUND.resource, f"own {number}")
    before = balance(lender).tokens
    loan = exchange(lender, borrower)
    moved = loan.grants[0].tokens
    assert moved >= 1.0
    assert balance(lender).tokens == pytest.approx(before - moved)
    reducer.receive(borrower, 10.0, "a", loan)
    held = balance(borrower).tokens
    for done in reducer.return_all_loans(borrower, 10.0):
        reducer.receive(lender, 10.0, "b", done.message)
    assert held == pytest.approx(moved - 1.0)
    assert balance(lender).tokens == pytest.approx(before - 1.0)
