"""Borrower side: returning loans before they expire."""

from mulberrydeck.peers import messages
from mulberrydeck.quota import bucket
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import needs
from mulberrydeck.quota import state

RETURN_SURPLUS_RATIO = 0.3


def return_surplus(
    resource: state.ResourceState, now_s: float, min_ratio: float
) -> dict[state.LoanKey, messages.ReturnedLoan]:
    """Gives up surplus borrowed units and returns the loans to send back.

    Args:
        resource: The resource, advanced to `now_s`.
        now_s: Current time, in seconds.
        min_ratio: Smallest surplus that is returned, as a share of the bound.
    """
    if not resource.borrowed or resource.queue or resource.shortfall:
        return {}
    wanted = needs.wanted_units(resource, now_s)
    surplus = resource.usable_units - wanted
    min_surplus = max(
        min_ratio * resource.bound.units, wanted * RETURN_SURPLUS_RATIO
    )
    if wanted > 0 and surplus < min_surplus:
        return {}
    return return_units(resource, min(surplus, resource.borrowed_units))


def return_units(
    resource: state.ResourceState, units: int
) -> dict[state.LoanKey, messages.ReturnedLoan]:
    """Gives up borrowed units and returns the loans to send back.

    Args:
        resource: The resource, advanced to the current time.
        units: Units to return.
    """
    returns = {}
    for loan in list(resource.borrowed.values()):
        if units <= 0:
            break
        returned_units = min(units, loan.units)
        units -= returned_units
        tokens = _tokens_to_return(resource, returned_units)
        returns[loan.key] = messages.ReturnedLoan(
            resource=resource.bound.resource,
            loan_id=loan.key.loan_id,
            kept_units=loan.units - returned_units,
            tokens=tokens,
        )
        loan.units -= returned_units
        resource.borrowed_units -= returned_units
        resource.tokens -= tokens
        if loan.units == 0:
            del resource.borrowed[loan.key]
    bucket.clamp(resource)
    return returns


def send_returns(
    returns: dict[state.LoanKey, messages.ReturnedLoan],
) -> list[object]:
    """Returns one `QuotaReturn` effect for each lender process."""
    by_lender: dict[tuple[str, str], list[messages.ReturnedLoan]] = {}
    for key, returned in returns.items():
        process = (key.lender, key.lender_incarnation)
        by_lender.setdefault(process, []).append(returned)
    return [
        quota_effects.SendMessage(
            lender, messages.QuotaReturn(incarnation, tuple(loans))
        )
        for (lender, incarnation), loans in by_lender.items()
    ]


def _tokens_to_return(resource: state.ResourceState, units: int) -> float:
    share = resource.tokens * units / resource.usable_units
    return max(0.0, min(share, resource.bound.depth_of(units)))
