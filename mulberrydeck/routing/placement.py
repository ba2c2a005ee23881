"""Plan of which VM owns which target: bounded-load rendezvous hashing."""

from mulberrydeck.model import configuration
from mulberrydeck.routing import hashing


def plan(
    targets: tuple[configuration.Target, ...],
    members: tuple[str, ...],
    current: dict[str, str],
    rebalance: bool,
) -> dict[str, str]:
    """Returns the owner of each target.

    Slots of each service are spread evenly over the VMs. A target stays with
    its owner while that VM lives, unless `rebalance` finds another VM with
    fewer slots.

    Args:
        targets: Targets of the zone.
        members: Names of the live VMs.
        current: Owner of each target so far.
        rebalance: Whether targets may move between live VMs.
    """
    if not members:
        return {}
    by_service: dict[str, list[configuration.Target]] = {}
    for target in targets:
        by_service.setdefault(target.service, []).append(target)
    owners: dict[str, str] = {}
    overall = dict.fromkeys(members, 0)
    for service in sorted(by_service):
        placed = _place(by_service[service], overall, current, rebalance)
        owners.update(placed)
        for target in by_service[service]:
            overall[placed[target.name]] += target.slots
    return owners


def _place(
    targets: list[configuration.Target],
    overall: dict[str, int],
    current: dict[str, str],
    rebalance: bool,
) -> dict[str, str]:
    loads = dict.fromkeys(overall, 0)
    owners = {}
    for target in targets:
        owner = current.get(target.name)
        if owner in loads:
            owners[target.name] = owner
            loads[owner] += target.slots
    homeless = [target for target in targets if target.name not in owners]
    for target in sorted(homeless, key=lambda item: (-item.slots, item.name)):
        owner = _preferred(target, loads, overall)
        owners[target.name] = owner
        loads[owner] += target.slots
    if rebalance:
        _level(targets, loads, owners)
    return owners


def _preferred(
    target: configuration.Target, loads: dict[str, int], overall: dict[str, int]
) -> str:
    lowest = min(loads.values())
    level = [name for name in loads if loads[name] == lowest]
    return min(
        level, key=lambda name: (overall[name], -_score(target.name, name))
    )


def _level(
    targets: list[configuration.Target],
    loads: dict[str, int],
    owners: dict[str, str],
) -> None:
    """Moves targets from the fullest to the emptiest VM while it helps."""
    while True:
        fullest = max(loads, key=lambda name: (loads[name], name))
        emptiest = min(loads, key=lambda name: (loads[name], name))
        gap = loads[fullest] - loads[emptiest]
        movable = [
            target
            for target in targets
            if owners[target.name] == fullest and target.slots < gap
        ]
        if not movable:
            return
        moved = max(movable, key=lambda item: _score(item.name, emptiest))
        owners[moved.name] = emptiest
        loads[fullest] -= moved.slots
        loads[emptiest] += moved.slots


def _score(target: str, vm: str) -> int:
    return hashing.combine(hashing.digest(target), hashing.digest(vm))
