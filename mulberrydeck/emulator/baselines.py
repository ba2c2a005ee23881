"""Choices of a target to compare with, each simpler than the product's."""

import random

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import targets

_rng = random.Random(1)


def uniform(
    book: targets.TargetBook,
    pacer: pacing.ColdPacer,
    now_s: float,
    wanted: placement.Wanted,
) -> placement.Chosen | placement.NoneFree:
    """Returns a target at random."""
    del pacer
    usable = placement.usable(book, now_s, wanted)
    if not usable:
        return placement.NoneFree(0)
    return placement.Chosen(_rng.choice(usable), "uniform")


def least_loaded(
    book: targets.TargetBook,
    pacer: pacing.ColdPacer,
    now_s: float,
    wanted: placement.Wanted,
) -> placement.Chosen | placement.NoneFree:
    """Returns the target with the fewest requests in flight."""
    del pacer
    usable = placement.usable(book, now_s, wanted)
    if not usable:
        return placement.NoneFree(0)
    best = min(usable, key=lambda target: target.load(now_s))
    return placement.Chosen(best, "least loaded")


def plain_hash(
    book: targets.TargetBook,
    pacer: pacing.ColdPacer,
    now_s: float,
    wanted: placement.Wanted,
) -> placement.Chosen | placement.NoneFree:
    """Returns the first ranked target of the object, however loaded."""
    del pacer
    usable = placement.usable(book, now_s, wanted)
    if not usable:
        return placement.NoneFree(0)
    digest = wanted.object_digest or 0
    best = min(usable, key=lambda t: hashing.combine(digest, t.digest))
    return placement.Chosen(best, "hash")


BY_NAME = {
    "uniform": uniform,
    "least-loaded": least_loaded,
    "plain-hash": plain_hash,
}
