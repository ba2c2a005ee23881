"""Choice of a target for one request.

Loads answered: objects that are asked for again and again, which a target
that knows them serves in a third of the time, and regions with few targets
whose callers come in waves.
"""

import math

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import targets as targets_module

# Waiting requests per slot up to which a target's own queue is used.
QUEUE_PER_SLOT = 1.0


@attrs.frozen
class Wanted:
    """What a request asks of a target.

    Attributes:
        service: Service that must run it.
        object_digest: Hash of the object that it concerns; None if unknown.
        region: Region that is near.
        allowed_regions: Regions that may run it; None for all.
        excluded: Names of targets that were tried.
        cold_rate_per_s: Requests per second to a cold target.
    """

    service: str
    object_digest: int | None
    region: str
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
class NoneFree:
    """No target takes the request.

    Attributes:
        usable: Number of targets that could, were they not full.
    """

    usable: int


def choose(
    book: targets_module.TargetBook,
    pacer: pacing.ColdPacer,
    now_s: float,
    wanted: Wanted,
) -> Chosen | NoneFree:
    """Returns the target for a request.

    All VMs rank the targets of an object alike. The first of the own region
    with a free slot is taken, then the first of all, then the least loaded
    one whose queue is short.

    Args:
        book: Known targets.
        pacer: Spaces requests to cold targets.
        now_s: Current time, in seconds.
        wanted: What the request asks for.
    """
    ranked = _ranked(book, now_s, wanted)
    free = [
        target
        for target in ranked
        if target.load(now_s) < target.entry.slots
        and _is_warm_enough(pacer, now_s, target, wanted)
    ]
    for target in free:
        if target.region == wanted.region:
            return Chosen(target, "ranked in region")
    if free:
        return Chosen(free[0], "ranked in all regions")
    return _least_loaded(pacer, now_s, wanted, ranked)


def _ranked(
    book: targets_module.TargetBook, now_s: float, wanted: Wanted
) -> list[targets_module.Target]:
    found = [
        target
        for target in book.by_service.get(wanted.service, ())
        if targets_module.is_usable(book, target, now_s)
        and target.entry.name not in wanted.excluded
        and (
            wanted.allowed_regions is None
            or target.region in wanted.allowed_regions
        )
    ]
    if wanted.object_digest is None:
        found.sort(key=lambda target: target.load(now_s) / target.entry.slots)
    else:
        digest = wanted.object_digest
        found.sort(key=lambda target: hashing.combine(digest, target.digest))
    return found


def _least_loaded(
    pacer: pacing.ColdPacer,
    now_s: float,
    wanted: Wanted,
    ranked: list[targets_module.Target],
) -> Chosen | NoneFree:
    best = None
    least = math.inf
    for target in ranked:
        filled = target.load(now_s) / target.entry.slots
        if filled < least and _is_warm_enough(pacer, now_s, target, wanted):
            best = target
            least = filled
    if best is None or least >= 1.0 + QUEUE_PER_SLOT:
        return NoneFree(len(ranked))
    return Chosen(best, "least loaded")


def _is_warm_enough(
    pacer: pacing.ColdPacer,
    now_s: float,
    target: targets_module.Target,
    wanted: Wanted,
) -> bool:
    return not target.is_cold(now_s) or pacer.may_send(
        now_s, target.entry.name, target.digest, wanted.cold_rate_per_s
    )
