"""Applies configured bounds and this VM's share of them."""

import math

from mulberrydeck.quota import bucket
from mulberrydeck.quota import state


def configure(
    quota: state.QuotaState,
    now_s: float,
    bounds: tuple[state.Bound, ...],
    own_units: dict[str, int],
    new_usable_s: float = float("inf"),
) -> None:
    """Sets the bounds and the units that this VM owns.

    A decrease takes effect immediately. An increase becomes usable only after
    a full lease and its margin, because loans of an earlier owner may still
    cover those units; it then starts without tokens. While the units of this VM
    are held, it becomes usable with them.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        bounds: All bounds; a resource that is not listed loses its bound.
        own_units: Units owned, by resource; 0 if not listed.
        new_usable_s: Time at which units of a newly added resource become
            usable, in seconds, if that is before the end of a full lease.
    """
    bound_by_resource = {bound.resource: bound for bound in bounds}
    for name in quota.resources.keys() - bound_by_resource.keys():
        _remove(quota, now_s, name)
    for name, bound in bound_by_resource.items():
        resource = quota.resources.get(name)
        usable_s = now_s + _max_loan_s(quota)
        if resource is None:
            resource = state.ResourceState(bound, updated_s=now_s)
            quota.resources[name] = resource
            usable_s = min(usable_s, _new_usable_s(quota, name, new_usable_s))
            if quota.units_held:
                quota.hold_until_s = max(quota.hold_until_s, usable_s)
        if quota.units_held:
            usable_s = math.inf
        units = own_units.get(name, 0)
        _apply_bound(now_s, resource, bound, units, usable_s)


def owner_removed(quota: state.QuotaState, now_s: float) -> None:
    """Prolongs the hold on own units, as an owner of units was removed.

    Loans that it has made may last that long.
    """
    quota.hold_until_s = now_s + _max_loan_s(quota)


def _max_loan_s(quota: state.QuotaState) -> float:
    """Returns the longest time a loan of another owner lasts, in seconds."""
    return quota.settings.quota_lease_s + quota.settings.lease_margin_s


def _new_usable_s(
    quota: state.QuotaState, name: str, new_usable_s: float
) -> float:
    """Returns the time from which a new resource is usable, in seconds.

    Units of a resource that is added again may still be on loan from before
    its removal.
    """
    removed_s = quota.removed_s.pop(name, float("-inf"))
    return max(new_usable_s, removed_s + _max_loan_s(quota))


def _remove(quota: state.QuotaState, now_s: float, name: str) -> None:
    quota.removed_s[name] = now_s
    resource = quota.resources.pop(name)
    quota.active.discard(name)
    for request in resource.queue:
        quota.waiting.pop(request.request_id, None)
        quota.unlimited_requests.append(request.request_id)


def _apply_bound(
    now_s: float,
    resource: state.ResourceState,
    bound: state.Bound,
    own_units: int,
    usable_s: float,
) -> None:
    pending = sum(entry.units for entry in resource.pending)
    growth = own_units - resource.own_units - pending
    if growth == 0 and resource.bound == bound:
        return
    bucket.advance(resource, now_s)
    resource.bound = bound
    if growth > 0:
        resource.pending.append(state.PendingUnits(growth, usable_s))
        bucket.advance(resource, now_s)
    elif growth < 0:
        _shrink(resource, -growth)
    bucket.clamp(resource)


def _shrink(resource: state.ResourceState, units: int) -> None:
    still_pending = []
    for entry in resource.pending:
        removed = min(units, entry.units)
        units -= removed
        if entry.units > removed:
            still_pending.append(
                state.PendingUnits(entry.units - removed, entry.usable_s)
            )
    resource.pending = still_pending
    resource.own_units -= units
