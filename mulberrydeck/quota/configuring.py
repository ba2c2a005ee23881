"""Applies the bounds of a configuration and this VM's share of them."""

from mulberrydeck.quota import bucket
from mulberrydeck.quota import state


def configure(
    quota: state.QuotaState,
    now_s: float,
    bounds: tuple[state.Bound, ...],
    own_units: dict[str, int],
) -> None:
    """Sets the bounds and the units that this VM owns.

    A smaller share is in force at once. A larger one becomes usable only
    after a whole lease and its margin, since an earlier owner's loans may
    still cover it; it then starts with no tokens.

    Args:
        quota: State of this VM.
        now_s: Current time, in seconds.
        bounds: All bounds; resources that are not named lose theirs.
        own_units: Units owned, by resource; 0 if not named.
    """
    named = {bound.resource: bound for bound in bounds}
    for name in quota.resources.keys() - named.keys():
        _remove(quota, name)
    for name, bound in named.items():
        resource = quota.resources.get(name)
        if resource is None:
            resource = state.ResourceState(bound, updated_s=now_s)
            quota.resources[name] = resource
        _apply(quota, now_s, resource, bound, own_units.get(name, 0))


def _remove(quota: state.QuotaState, name: str) -> None:
    resource = quota.resources.pop(name)
    quota.active.discard(name)
    for request in resource.queue:
        quota.waiting.pop(request.request_id, None)
        quota.released.append(request.request_id)


def _apply(
    quota: state.QuotaState,
    now_s: float,
    resource: state.ResourceState,
    bound: state.Bound,
    own_units: int,
) -> None:
    bucket.advance(resource, now_s)
    resource.bound = bound
    coming = sum(part.units for part in resource.maturing)
    growth = own_units - resource.own_units - coming
    if growth > 0:
        settings = quota.settings
        delay_s = settings.quota_lease_s + settings.lease_margin_s
        part = state.MaturingUnits(growth, now_s + delay_s)
        resource.maturing.append(part)
    elif growth < 0:
        _shrink(resource, -growth)
    bucket.clamp(resource)


def _shrink(resource: state.ResourceState, units: int) -> None:
    kept = []
    for part in resource.maturing:
        cut = min(units, part.units)
        units -= cut
        if part.units > cut:
            kept.append(state.MaturingUnits(part.units - cut, part.usable_s))
    resource.maturing = kept
    resource.own_units -= units
