"""Selection of a target for a request.

Objects that are requested repeatedly go to the same target, which serves an
object that it knows in a third of the time, and in the region of their callers,
since links between regions are slow and dear. When the load comes in waves and
some regions have few targets, other regions and nearly idle targets take the
overflow.
"""

import collections
from collections.abc import Callable

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import targets as targets_module

# Running and waiting requests per slot up to which a target is used.
MAX_UTILIZATION = 2.0
# Load per slot up to which the first target of the region serves an object. The
# rest covers requests of other VMs that are on the way.
LOCAL_UTILIZATION = 0.8
# A target that does not know the object needs three times as long for it, so
# that only a nearly idle one takes it.
IDLE_UTILIZATION = 0.25

# Makes the choice of a region independent of that of a target.
REGION_SALT = hashing.digest("region of an object")


@attrs.frozen
class Requirements:
    """Requirements of a request on its target.

    Attributes:
        service: Service that must run it.
        object_digest: Hash of the object that it concerns; None if unknown.
        allowed_regions: Regions that may run it; None for all.
        excluded: Names of targets that were already tried.
        cold_rate_per_s: Requests per second that a cold target takes.
        region: Region of this VM.
    """

    service: str
    object_digest: int | None
    allowed_regions: frozenset[str] | None
    excluded: frozenset[str]
    cold_rate_per_s: float
    region: str = ""


@attrs.frozen
class Chosen:
    """A target was selected.

    Attributes:
        target: The target.
        reason: Reason for the selection, for logs.
    """

    target: targets_module.Target
    reason: str


@attrs.frozen
class NoCapacity:
    """No target can take the request now.

    Attributes:
        usable: Number of targets that could take it if they had capacity.
        resumes_s: End of the first pause that a target asked for, in seconds,
            if there is no usable one; None if none asked for one.
    """

    usable: int
    resumes_s: float | None = None


SelectionPolicy = Callable[
    [targets_module.TargetDirectory, pacing.ColdPacer, float, Requirements],
    Chosen | NoCapacity,
]


def choose(
    directory: targets_module.TargetDirectory,
    pacer: pacing.ColdPacer,
    now_s: float,
    required: Requirements,
) -> Chosen | NoCapacity:
    """Selects the target for a request.

    All VMs of a region rank the targets of an object in the same order by
    rendezvous hashing. Callers of a region mostly request objects of their
    own, so that the first target of the region serves an object while it has
    a free slot. Otherwise the first of all regions does, which thus gets to
    know the objects that a region cannot take, then one that is nearly idle.
    Targets with a high latency come last.

    Args:
        directory: Known targets.
        pacer: Spaces requests to targets that are or may be cold.
        now_s: Current time, in seconds.
        required: Requirements of the request.
    """
    ranked = _ranked(directory, now_s, required)
    allowed = [
        target for target in ranked if may_send(pacer, now_s, target, required)
    ]
    regions = _owner_regions(directory, ranked, required)
    local = [target for target in allowed if target.region in regions]
    if local and _takes_local(local[0], now_s, LOCAL_UTILIZATION):
        return Chosen(local[0], "local owner")
    allowed.sort(key=lambda target: target.latency_ratio.is_slow(now_s))
    if allowed and _utilization(allowed[0], now_s) < MAX_UTILIZATION:
        return Chosen(allowed[0], "owner")
    for target in (*local[1:], *allowed[1:]):
        if _utilization(target, now_s) < IDLE_UTILIZATION:
            return Chosen(target, "idle")
    if local and _takes_local(local[0], now_s, MAX_UTILIZATION):
        return Chosen(local[0], "queue of local owner")
    if ranked:
        return NoCapacity(len(ranked))
    return NoCapacity(0, _resumes_s(directory, now_s, required))


def _resumes_s(
    directory: targets_module.TargetDirectory,
    now_s: float,
    required: Requirements,
) -> float | None:
    """Returns when the first target ends its pause, in seconds."""
    return min(
        (
            target.notice.paused_until_s
            for target in directory.by_service.get(required.service, ())
            if targets_module.may_run(directory, target, now_s)
            and target.notice.paused_until_s > now_s
            and _is_allowed(target, required)
        ),
        default=None,
    )


def _owner_regions(
    directory: targets_module.TargetDirectory,
    usable_targets: list[targets_module.Target],
    required: Requirements,
) -> frozenset[str]:
    """Returns the regions of which one target owns the object.

    A region with fewer slots than its share keeps as many of its objects as it
    has slots for, and the others belong to regions with more slots. All VMs of
    a region draw the line at the same objects, and move few of them as targets
    come and go.
    """
    if not required.region or required.object_digest is None:
        return frozenset((required.region,))
    slots: collections.Counter[str] = collections.Counter()
    for target in usable_targets:
        slots[target.region] += target.entry.slots
    regions = set(directory.region_by_zone.values())
    share = sum(slots.values()) / len(regions)
    drawn = hashing.combine(required.object_digest, REGION_SALT)
    if drawn * share < slots[required.region] * hashing.HASH_RANGE:
        return frozenset((required.region,))
    return frozenset(name for name, count in slots.items() if count > share)


def _takes_local(
    target: targets_module.Target, now_s: float, max_utilization: float
) -> bool:
    """Returns whether the owner of an object in this VM's region serves it."""
    return _utilization(
        target, now_s
    ) < max_utilization and not target.latency_ratio.is_slow(now_s)


def _utilization(target: targets_module.Target, now_s: float) -> float:
    """Returns the load of a target as a multiple of its slots."""
    return target.load(now_s) / target.entry.slots


def usable(
    directory: targets_module.TargetDirectory,
    now_s: float,
    required: Requirements,
) -> list[targets_module.Target]:
    """Returns the targets that meet the requirements, whatever their load."""
    return [
        target
        for target in directory.by_service.get(required.service, ())
        if is_usable(directory, target, now_s, required)
    ]


def is_usable(
    directory: targets_module.TargetDirectory,
    target: targets_module.Target,
    now_s: float,
    required: Requirements,
) -> bool:
    """Returns whether a target meets the requirements, whatever its load."""
    return (
        targets_module.is_usable(directory, target, now_s)
        and target.entry.name not in required.excluded
        and _is_allowed(target, required)
    )


def _is_allowed(target: targets_module.Target, required: Requirements) -> bool:
    return (
        required.allowed_regions is None
        or target.region in required.allowed_regions
    )


def _ranked(
    directory: targets_module.TargetDirectory,
    now_s: float,
    required: Requirements,
) -> list[targets_module.Target]:
    candidates = usable(directory, now_s, required)
    if required.object_digest is None:
        candidates.sort(key=lambda target: _utilization(target, now_s))
    else:
        digest = required.object_digest
        candidates.sort(
            key=lambda target: hashing.combine(digest, target.digest)
        )
    return candidates


def may_send(
    pacer: pacing.ColdPacer,
    now_s: float,
    target: targets_module.Target,
    required: Requirements,
) -> bool:
    """Returns whether this VM may send a request to a target.

    Args:
        pacer: Spaces requests to targets that are or may be cold.
        now_s: Current time, in seconds.
        target: The target.
        required: Requirements of the request.
    """
    name = target.entry.name
    rate_per_s = required.cold_rate_per_s
    if target.is_cold(now_s):
        return pacer.may_send(now_s, name, target.digest, rate_per_s)
    return pacer.may_send_warm(now_s, name, rate_per_s)
