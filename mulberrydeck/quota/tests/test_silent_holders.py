"""Loans while the VM that holds a zone's units stands still."""

import pytest

from mulberrydeck.quota.tests import fleet as fleets

HOLDER = "a1x"
BORROWER = "a1y"
PAUSE_S = 1.0
BOUND = fleets.make_bound("acme", 100.0, 35.0)
RESOURCE = BOUND.resource


def outcome_during_pause(offset_s):
    """Returns the decision on a request while its zone's holder is paused."""
    fleet = fleets.Fleet((BOUND,))
    fleet.run(fleets.WARM_UP_S)
    fleet.pause(HOLDER)
    fleet.run(fleets.WARM_UP_S + offset_s)
    fleet.request(BORROWER, RESOURCE)
    fleet.run(fleets.WARM_UP_S + PAUSE_S)
    [outcome] = fleet.outcomes
    return outcome


@pytest.mark.parametrize("offset_ms", range(0, 100, 10))
def test_a_holder_that_stands_still_refuses_no_request_within_the_rate(
    offset_ms,
):
    outcome = outcome_during_pause(offset_ms / 1000)
    assert outcome.admitted, outcome.decided_s - outcome.arrived_s
