"""Choices of a target to compare with, each simpler than the product's."""

from collections.abc import Callable
import random

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import targets

_rng = random.Random(1)


Pick = Callable[
    [list[targets.Target], float, placement.Requirements], targets.Target
]


def _policy(reason: str, pick: Pick) -> placement.SelectionPolicy:
    """Returns a choice among all usable targets, however loaded.

    Args:
        reason: Why a target is chosen, for logs.
        pick: Picks one of the usable targets.
    """

    def choose(
        directory: targets.TargetDirectory,
        pacer: pacing.ColdPacer,
        now_s: float,
        required: placement.Requirements,
    ) -> placement.Chosen | placement.NoCapacity:
        del pacer
        usable = placement.usable(directory, now_s, required)
        if not usable:
            return placement.NoCapacity(0)
        return placement.Chosen(pick(usable, now_s, required), reason)

    return choose


def _at_random(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del now_s, required
    return _rng.choice(usable)


def _fewest_in_flight(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del required
    return min(usable, key=lambda target: target.load(now_s))


def _first_ranked(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del now_s
    digest = required.object_digest or 0
    return min(usable, key=lambda t: hashing.combine(digest, t.digest))


BY_NAME = {
    "uniform": _policy("uniform", _at_random),
    "least-loaded": _policy("least loaded", _fewest_in_flight),
    "plain-hash": _policy("hash", _first_ranked),
}
