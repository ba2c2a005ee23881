"""How many units and tokens a VM needs for its own demand."""

import math

from mulberrydeck.quota import state

BORROWER_HEADROOM = 1.4
LENDER_HEADROOM = 1.0
GROWTH_RATIO = 2
RESERVE_S = 0.2


def units_for_rate(
    resource: state.ResourceState, now_s: float, headroom: float
) -> int:
    """Returns the units whose rate covers the certain demand.

    Args:
        resource: The resource.
        now_s: Current time, in seconds.
        headroom: Factor on the demand.
    """
    wanted_per_s = headroom * resource.arrivals.lower_bound_at(now_s)
    share = min(1.0, wanted_per_s / resource.bound.rate_per_s)
    return math.floor(share * resource.bound.units)


def units_for_tokens(resource: state.ResourceState, tokens: float) -> int:
    """Returns the units that can hold `tokens`, at most all."""
    share = min(1.0, tokens / resource.bound.burst)
    return math.ceil(share * resource.bound.units - 1e-6)


def backlog_tokens(resource: state.ResourceState) -> float:
    """Returns the tokens that waiting work needs, held or not."""
    backlog = max(float(len(resource.queue)), resource.shortfall)
    return min(backlog, resource.bound.burst)


def reserved_tokens(resource: state.ResourceState, now_s: float) -> float:
    """Returns the tokens that a lender keeps for its own demand."""
    expected = resource.arrivals.lower_bound_at(now_s) * RESERVE_S
    return backlog_tokens(resource) + min(expected, resource.tokens / 2)


def wanted_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that this VM would like to use."""
    wanted = units_for_rate(resource, now_s, BORROWER_HEADROOM)
    if resource.shortfall > 0:
        wanted = max(wanted, GROWTH_RATIO * resource.usable_units)
    return min(resource.bound.units, wanted)


def reserved_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that a lender does not lend for a rate."""
    return units_for_rate(resource, now_s, LENDER_HEADROOM)
