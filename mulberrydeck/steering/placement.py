"""Selection of a target for a request.

Objects that are requested repeatedly go to the same target, which serves an
object that it knows in a third of the time. When the load comes in waves and
some regions have few targets, nearly idle targets take the overflow.
"""

from collections.abc import Callable

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import targets as targets_module

# Waiting requests per slot up to which the queue of a target is used.
MAX_QUEUE_PER_SLOT = 1.0
# A target that does not know the object needs three times as long for it, so
# that only a nearly idle one takes it.
IDLE_UTILIZATION = 0.25


@attrs.frozen
class Requirements:
    """Requirements of a request on its target.

    Attributes:
        service: Service that must run it.
        object_digest: Hash of the object that it concerns; None if unknown.
        allowed_regions: Regions that may run it; None for all.
        excluded: Names of targets that were already tried.
        cold_rate_per_s: Requests per second that a cold target takes.
    """

    service: str
    object_digest: int | None
    allowed_regions: frozenset[str] | None
    excluded: frozenset[str]
    cold_rate_per_s: float


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
    """

    usable: int


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

    All VMs rank the targets of an object in the same order by rendezvous
    hashing. The first one, the owner of the object, serves it while its queue
    is short. Otherwise the next one that is nearly idle serves it. Targets
    with a high latency come last.

    Args:
        directory: Known targets.
        pacer: Spaces requests to targets that are or may be cold.
        now_s: Current time, in seconds.
        required: Requirements of the request.
    """
    ranked = _ranked(directory, now_s, required)
    allowed = [
        target for target in ranked if _may_send(pacer, now_s, target, required)
    ]
    allowed.sort(key=lambda target: target.latency_ratio.is_slow(now_s))
    if allowed and _utilization(allowed[0], now_s) < 1 + MAX_QUEUE_PER_SLOT:
        return Chosen(allowed[0], "owner")
    for target in allowed[1:]:
        if _utilization(target, now_s) < IDLE_UTILIZATION:
            return Chosen(target, "idle")
    return NoCapacity(len(ranked))


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
        if targets_module.is_usable(directory, target, now_s)
        and target.entry.name not in required.excluded
        and (
            required.allowed_regions is None
            or target.region in required.allowed_regions
        )
    ]


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


def _may_send(
    pacer: pacing.ColdPacer,
    now_s: float,
    target: targets_module.Target,
    required: Requirements,
) -> bool:
    name = target.entry.name
    rate_per_s = required.cold_rate_per_s
    if target.is_cold(now_s):
        return pacer.may_send(now_s, name, target.digest, rate_per_s)
    return pacer.may_send_warm(now_s, name, rate_per_s)
