"""In which region a request is scheduled.

Callers of a region mostly request objects of their own, so that their region
comes first. A region with fewer slots than its share keeps as many of its
objects as it has slots for; the others belong to regions with more. VMs without
a scheduler keep the same objects in their region (`placement`).
"""

import collections

from mulberrydeck.routing import hashing
from mulberrydeck.steering import placement
from mulberrydeck.steering import state as steering_states
from mulberrydeck.steering import targets as targets_module

COUNT_INTERVAL_S = 1.0
# Makes this choice independent of whether an object stays in its region.
SURPLUS_SALT = hashing.digest("other region of an object")


def home_region(
    state: steering_states.State,
    service: str,
    object_digest: int,
    allowed_regions: frozenset[str] | None,
) -> str | None:
    """Returns the region whose targets serve an object; None if none may.

    Args:
        state: State of this VM.
        service: Name of the service.
        object_digest: Hash of the object.
        allowed_regions: Regions that may serve it; None for all.
    """
    slots = _slots(state, service)
    regions = [
        name
        for name in sorted(slots)
        if allowed_regions is None or name in allowed_regions
    ]
    if not regions:
        return None
    own = state.settings.region
    share = sum(slots.values()) / len(
        set(state.target_directory.region_by_zone.values())
    )
    drawn = hashing.combine(object_digest, placement.REGION_SALT)
    if own in regions and drawn * share < slots[own] * hashing.HASH_RANGE:
        return own
    surplus = {
        name: slots[name] - share for name in regions if slots[name] > share
    }
    if not surplus:
        return regions[0]
    return _weighted(surplus, hashing.combine(object_digest, SURPLUS_SALT))


def _weighted(weights: dict[str, float], drawn: int) -> str:
    """Returns a region in proportion to the weights."""
    left = drawn / hashing.HASH_RANGE * sum(weights.values())
    for name, weight in weights.items():
        left -= weight
        if left < 0:
            return name
    return next(reversed(weights))


def other_region(
    state: steering_states.State,
    service: str,
    tried: str,
    allowed_regions: frozenset[str] | None,
) -> str | None:
    """Returns the region with most slots besides one; None if there is none.

    Args:
        state: State of this VM.
        service: Name of the service.
        tried: Region that has no slot.
        allowed_regions: Regions that may serve the request; None for all.
    """
    slots = _slots(state, service)
    others = [
        (count, name)
        for name, count in slots.items()
        if name != tried
        and (allowed_regions is None or name in allowed_regions)
    ]
    return max(others)[1] if others else None


def _slots(state: steering_states.State, service: str) -> dict[str, int]:
    """Returns the slots of usable targets by region."""
    counted_s, slots = state.slot_client.home_slots.get(service, (None, {}))
    if counted_s is not None and state.now_s < counted_s + COUNT_INTERVAL_S:
        return slots
    counts: collections.Counter[str] = collections.Counter()
    directory = state.target_directory
    for target in directory.by_service.get(service, ()):
        if targets_module.is_usable(directory, target, state.now_s):
            counts[target.region] += target.entry.slots
    state.slot_client.home_slots[service] = (state.now_s, dict(counts))
    return dict(counts)
