"""How many units and tokens a VM needs for its own demand."""

import math

from mulberrydeck.quota import state

BORROWER_HEADROOM = 1.25
LENDER_HEADROOM = 1.1
GROWTH_RATIO = 2


def units_for_rate(
    resource: state.ResourceState, now_s: float, headroom: float
) -> int:
    """Returns the units whose rate covers the estimated demand.

    Args:
        resource: The resource.
        now_s: Current time, in seconds.
        headroom: Factor on the estimate.
    """
    wanted_per_s = resource.arrivals.at(now_s) * headroom
    share = wanted_per_s / resource.bound.rate_per_s
    return min(resource.bound.units, math.floor(share * resource.bound.units))


def units_for_tokens(resource: state.ResourceState, tokens: float) -> int:
    """Returns the units that can hold `tokens`, at most all."""
    share = min(1.0, tokens / resource.bound.burst)
    return math.ceil(share * resource.bound.units - 1e-6)


def pending_tokens(resource: state.ResourceState) -> float:
    """Returns the tokens that waiting work needs, held or not."""
    return max(float(len(resource.queue)), resource.shortfall)


def wanted_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that this VM would like to use."""
    wanted = max(
        units_for_rate(resource, now_s, BORROWER_HEADROOM),
        units_for_tokens(resource, pending_tokens(resource)),
    )
    if resource.shortfall > 0:
        wanted = max(wanted, GROWTH_RATIO * resource.usable_units)
    return min(resource.bound.units, wanted)


def kept_units(resource: state.ResourceState, now_s: float) -> int:
    """Returns the units that a lender does not lend."""
    return max(
        units_for_rate(resource, now_s, LENDER_HEADROOM),
        units_for_tokens(resource, pending_tokens(resource)),
    )
