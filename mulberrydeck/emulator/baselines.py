"""Baseline policies for target selection, simpler than the product's."""

from collections.abc import Callable
import random

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import targets

_rng = random.Random(1)


Pick = Callable[
    [list[targets.Target], float, placement.Requirements], targets.Target
]


def _policy(reason: str, pick: Pick) -> placement.SelectionPolicy:
    """Returns a policy that selects among all usable targets at any load.

    Args:
        reason: Reason for the selection, for logs.
        pick: Selects one of the usable targets.
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


def _pick_random(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del now_s, required
    return _rng.choice(usable)


def _pick_least_loaded(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del required
    return min(usable, key=lambda target: target.load(now_s))


def _pick_by_hash(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del now_s
    digest = required.object_digest or 0
    return min(usable, key=lambda t: hashing.combine(digest, t.digest))


def _choose_in_all_regions(
    directory: targets.TargetDirectory,
    pacer: pacing.ColdPacer,
    now_s: float,
    required: placement.Requirements,
) -> placement.Chosen | placement.NoCapacity:
    """Chooses as the product does, but with one owner in all regions."""
    required = attrs.evolve(required, region="")
    return placement.choose(directory, pacer, now_s, required)


BY_NAME = {
    "one-owner": _choose_in_all_regions,
    "uniform": _policy("uniform", _pick_random),
    "least-loaded": _policy("least loaded", _pick_least_loaded),
    "plain-hash": _policy("hash", _pick_by_hash),
}
