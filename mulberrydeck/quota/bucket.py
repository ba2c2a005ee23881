"""Token bucket over the units that a VM may currently use."""

import math

from mulberrydeck.quota import state

TOKEN_TOLERANCE = 1e-9


def advance(resource: state.ResourceState, now_s: float) -> None:
    """Advances units and tokens to `now_s`, in seconds.

    Loans expire and pending units become usable in time order, with a refill
    in between, so that no decision counts tokens of an expired loan.
    """
    now_s = max(now_s, resource.updated_s)
    while True:
        change_s = min(_next_change_s(resource), now_s)
        _refill(resource, change_s)
        if not _apply_changes(resource, change_s):
            return


def _refill(resource: state.ResourceState, until_s: float) -> None:
    elapsed_s = max(0.0, until_s - resource.updated_s)
    resource.tokens += elapsed_s * resource.rate_per_s
    clamp(resource)
    resource.updated_s = max(resource.updated_s, until_s)


def _next_change_s(resource: state.ResourceState) -> float:
    times_s = [loan.expires_s for loan in resource.borrowed.values()]
    times_s.extend(loan.ends_s for loan in resource.lent.values())
    times_s.extend(entry.usable_s for entry in resource.pending)
    return min(times_s, default=math.inf)


def _apply_changes(resource: state.ResourceState, now_s: float) -> bool:
    changed = (
        _drop_expired(resource, now_s)
        + _drop_ended(resource, now_s)
        + _activate_due(resource, now_s)
    )
    clamp(resource)
    return changed > 0


def clamp(resource: state.ResourceState) -> None:
    """Drops tokens above the bucket depth of the usable units."""
    resource.tokens = min(resource.tokens, resource.depth)


def has(resource: state.ResourceState, amount: float) -> bool:
    """Returns whether `amount` tokens can be spent."""
    return resource.tokens >= amount - TOKEN_TOLERANCE


def wait_s(resource: state.ResourceState, amount: float) -> float:
    """Returns the time until `amount` tokens are refilled, in seconds.

    Further loans are not considered.
    """
    if has(resource, amount):
        return 0.0
    if resource.depth < amount - TOKEN_TOLERANCE:
        return float("inf")
    return (amount - resource.tokens) / resource.rate_per_s


def _drop_expired(resource: state.ResourceState, now_s: float) -> int:
    expired = [
        loan for loan in resource.borrowed.values() if loan.expires_s <= now_s
    ]
    for loan in expired:
        del resource.borrowed[loan.key]
        resource.borrowed_units -= loan.units
    return len(expired)


def _drop_ended(resource: state.ResourceState, now_s: float) -> int:
    ended = [loan for loan in resource.lent.values() if loan.ends_s <= now_s]
    for loan in ended:
        del resource.lent[loan.loan_id]
        resource.lent_units -= loan.units
    return len(ended)


def _activate_due(resource: state.ResourceState, now_s: float) -> int:
    due = [entry for entry in resource.pending if entry.usable_s <= now_s]
    for entry in due:
        resource.pending.remove(entry)
        resource.own_units += entry.units
    return len(due)
