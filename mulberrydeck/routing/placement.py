"""Assignment of targets to VMs by bounded-load rendezvous hashing."""

from mulberrydeck.model import configuration
from mulberrydeck.routing import hashing


def plan(
    targets: tuple[configuration.Target, ...],
    members: tuple[str, ...],
    current: dict[str, str],
    rebalance: bool,
) -> dict[str, str]:
    """Returns the owner of each target.

    The slots of each service are spread evenly over the VMs. A target stays
    with its owner while that VM is live, unless moving it in a rebalance evens
    out the slots.

    Args:
        targets: Targets of the zone.
        members: Names of the live VMs.
        current: Current owner of each target.
        rebalance: Whether targets may move between live VMs.
    """
    if not members:
        return {}
    by_service: dict[str, list[configuration.Target]] = {}
    for target in targets:
        by_service.setdefault(target.service, []).append(target)
    owners: dict[str, str] = {}
    total_slots = dict.fromkeys(members, 0)
    for service in sorted(by_service):
        service_owners = _assign_service(
            by_service[service], total_slots, current, rebalance
        )
        owners.update(service_owners)
        for target in by_service[service]:
            total_slots[service_owners[target.name]] += target.slots
    return owners


def _assign_service(
    targets: list[configuration.Target],
    total_slots: dict[str, int],
    current: dict[str, str],
    rebalance: bool,
) -> dict[str, str]:
    service_slots = dict.fromkeys(total_slots, 0)
    owners = {}
    for target in targets:
        owner = current.get(target.name)
        if owner in service_slots:
            owners[target.name] = owner
            service_slots[owner] += target.slots
    unassigned = [target for target in targets if target.name not in owners]
    for target in sorted(unassigned, key=lambda item: (-item.slots, item.name)):
        owner = _pick_owner(target, service_slots, total_slots)
        owners[target.name] = owner
        service_slots[owner] += target.slots
    if rebalance:
        _rebalance(targets, service_slots, owners)
    return owners


def _pick_owner(
    target: configuration.Target,
    service_slots: dict[str, int],
    total_slots: dict[str, int],
) -> str:
    lowest = min(service_slots.values())
    least_loaded = [
        name for name in service_slots if service_slots[name] == lowest
    ]
    return min(
        least_loaded,
        key=lambda name: (total_slots[name], -_score(target.name, name)),
    )


def _rebalance(
    targets: list[configuration.Target],
    service_slots: dict[str, int],
    owners: dict[str, str],
) -> None:
    """Moves targets from the VM with the most slots to that with the fewest.

    Stops when no single move reduces the difference between the two.
    """
    while True:
        most_loaded = max(
            service_slots, key=lambda name: (service_slots[name], name)
        )
        least_loaded = min(
            service_slots, key=lambda name: (service_slots[name], name)
        )
        difference = service_slots[most_loaded] - service_slots[least_loaded]
        movable = [
            target
            for target in targets
            if owners[target.name] == most_loaded and target.slots < difference
        ]
        if not movable:
            return
        moved = max(movable, key=lambda item: _score(item.name, least_loaded))
        owners[moved.name] = least_loaded
        service_slots[most_loaded] -= moved.slots
        service_slots[least_loaded] += moved.slots


def _score(target: str, vm: str) -> int:
    return hashing.combine(hashing.digest(target), hashing.digest(vm))
