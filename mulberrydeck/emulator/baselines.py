"""Baseline policies for target selection, simpler than the product's."""

from collections.abc import Callable
from collections.abc import Mapping
import random

import attrs

from mulberrydeck.emulator import targets as emulated_targets
from mulberrydeck.routing import hashing
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import targets

_rng = random.Random(1)


def seed(value: int) -> None:
    """Seeds the choices of all baselines, so that a run can be repeated."""
    _rng.seed(value)


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


def _pick_less_loaded_of_two(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    pair = _rng.sample(usable, min(2, len(usable)))
    return _pick_least_loaded(pair, now_s, required)


def _pick_least_in_flight(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del now_s, required
    # In a random order, as a VM has no request in flight to most targets.
    return min(usable, key=lambda target: (target.in_flight, _rng.random()))


def _pick_by_free_slots(
    usable: list[targets.Target], now_s: float, required: placement.Requirements
) -> targets.Target:
    del required
    free = [max(0.0, t.entry.slots - t.load(now_s)) for t in usable]
    return _rng.choices(usable, free if sum(free) > 0 else None)[0]


def _choose_in_all_regions(
    directory: targets.TargetDirectory,
    pacer: pacing.ColdPacer,
    now_s: float,
    required: placement.Requirements,
) -> placement.Chosen | placement.NoCapacity:
    """Chooses as the product does, but with one owner in all regions."""
    required = attrs.evolve(required, region="")
    return placement.choose(directory, pacer, now_s, required)


def with_exact_loads(
    emulated: Mapping[str, emulated_targets.EmulatedTarget],
) -> placement.SelectionPolicy:
    """Returns the product's policy with the exact current load of each target.

    It shows which part of the results is due to what VMs do not know. Requests
    that are on their way to a target do not count.

    Args:
        emulated: All targets by name.
    """

    def choose(
        directory: targets.TargetDirectory,
        pacer: pacing.ColdPacer,
        now_s: float,
        required: placement.Requirements,
    ) -> placement.Chosen | placement.NoCapacity:
        for target in directory.by_service.get(required.service, ()):
            load = emulated[target.entry.name].load
            targets.observe_load(target, now_s, load)
        return placement.choose(directory, pacer, now_s, required)

    return choose


BY_NAME = {
    "one-owner": _choose_in_all_regions,
    "uniform": _policy("uniform", _pick_random),
    "least-loaded": _policy("least loaded", _pick_least_loaded),
    "two-choices": _policy("less loaded of two", _pick_less_loaded_of_two),
    "least-in-flight": _policy("least in flight", _pick_least_in_flight),
    "free-slots": _policy("free slots", _pick_by_free_slots),
    "plain-hash": _policy("hash", _pick_by_hash),
}
