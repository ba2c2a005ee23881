"""Choice of a target for one request.

Loads answered: objects that are asked for again and again, which a target
that knows them serves in a third of the time, and regions with few targets
whose callers come in waves.
"""

from collections.abc import Callable

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import targets as targets_module

# Waiting requests per slot up to which a target's own queue is used.
QUEUE_PER_SLOT = 1.0
# A target that does not know the object works three times as long on it; only
# one that is idle otherwise should.
IDLE_PART = 0.25


@attrs.frozen
class Requirements:
    """What a request asks of a target.

    Attributes:
        service: Service that must run it.
        object_digest: Hash of the object that it concerns; None if unknown.
        allowed_regions: Regions that may run it; None for all.
        excluded: Names of targets that were tried.
        cold_rate_per_s: Requests per second to a cold target.
    """

    service: str
    object_digest: int | None
    allowed_regions: frozenset[str] | None
    excluded: frozenset[str]
    cold_rate_per_s: float


@attrs.frozen
class Chosen:
    """A target that takes the request.

    Attributes:
        target: The target.
        reason: Why it was chosen, for logs.
    """

    target: targets_module.Target
    reason: str


@attrs.frozen
class NoCapacity:
    """No target takes the request.

    Attributes:
        usable: Number of targets that could, were they not full.
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
    """Returns the target for a request.

    All VMs rank the targets of an object alike. The first ranked, its owner,
    knows the object and serves it while its queue is short; then the next one
    that is nearly idle does. Slow targets get requests only when no other one
    takes them.

    Args:
        directory: Known targets.
        pacer: Spaces requests to targets that are or may be cold.
        now_s: Current time, in seconds.
        required: What the request asks for.
    """
    ranked = _ranked(directory, now_s, required)
    warm = [
        target for target in ranked if _may_send(pacer, now_s, target, required)
    ]
    warm.sort(key=lambda target: target.latency_ratio.is_slow(now_s))
    if warm and _filled(warm[0], now_s) < 1 + QUEUE_PER_SLOT:
        return Chosen(warm[0], "owner")
    for target in warm[1:]:
        if _filled(target, now_s) < IDLE_PART:
            return Chosen(target, "idle")
    return NoCapacity(len(ranked))


def _filled(target: targets_module.Target, now_s: float) -> float:
    """Returns the load of a target as a multiple of its slots."""
    return target.load(now_s) / target.entry.slots


def usable(
    directory: targets_module.TargetDirectory,
    now_s: float,
    required: Requirements,
) -> list[targets_module.Target]:
    """Returns the targets that may take a request, were they not full."""
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
    found = usable(directory, now_s, required)
    if required.object_digest is None:
        found.sort(key=lambda target: _filled(target, now_s))
    else:
        digest = required.object_digest
        found.sort(key=lambda target: hashing.combine(digest, target.digest))
    return found


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
