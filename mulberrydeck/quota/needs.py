"""Units and tokens that a VM needs to meet its own demand."""

import math

from mulberrydeck.quota import state

BORROWER_HEADROOM = 1.4
LENDER_HEADROOM = 1.0
GROWTH_RATIO = 2
RESERVE_S = 0.2


def units_for_rate(
    resource: state.ResourceState, now_s: float, headroom: float
) -> int:
    """Returns the units whose rate covers the demand.

    The demand counts with its lower confidence bound, so that a short burst
    does not move units.

    Args:
        resource: The resource.
        now_s: Current time, in seconds.
        headroom: Factor by which the demand is multiplied.
    """
    wanted_per_s = headroom * resource.arrivals.lower_bound_at(now_s)
    share = min(1.0, wanted_per_s / resource.bound.rate_per_s)
    return math.floor(share * resource.bound.units)


def units_for_tokens(resource: state.ResourceState, tokens: float) -> int:
    """Returns the units needed to hold `tokens`, at most all units."""
    share = min(1.0, tokens / resource.bound.burst)
    return math.ceil(share * resource.bound.units - 1e-6)


def backlog_tokens(resource: state.ResourceState) -> float:
    """Returns the tokens that waiting work needs, including those held."""
    backlog = max(float(len(resource.queue)), resource.shortfall)
    return min(backlog, resource.bound.burst)


def reserved_tokens(resource: state.ResourceState, now_s: float) -> float:
    """Returns the tokens that a lender reserves for its own demand."""
    expected = resource.arrivals.lower_bound_at(now_s) * RESERVE_S
    return backlog_tokens(resource) + min(expected, resource.tokens / 2)


def wanted_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that this VM needs in all, own and borrowed."""
    wanted = units_for_rate(resource, now_s, BORROWER_HEADROOM)
    if resource.shortfall > 0:
        wanted = max(wanted, GROWTH_RATIO * resource.usable_units)
    return min(resource.bound.units, wanted)


def reserved_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that a lender reserves for its own rate."""
    return units_for_rate(resource, now_s, LENDER_HEADROOM)
