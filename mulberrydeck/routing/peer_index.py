"""Index of the capacity that other VMs report, by service and zone."""

import attrs

from mulberrydeck.peers import messages

Place = tuple[str, str]


@attrs.frozen
class PeerReport:
    """What one live VM reported last.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        loads: Capacity per service; empty when it gets no new work.
        reported_s: When the report came, in seconds.
        full_links: Links, as `from/to` regions, on which it lacks quota.
    """

    vm: str
    zone: str
    loads: tuple[messages.ServiceLoad, ...]
    reported_s: float
    full_links: tuple[str, ...] = ()


@attrs.define
class Capacity:
    """Sum over the VMs of a zone, for one service.

    Attributes:
        free: Free slots.
        total: Usable slots.
    """

    free: int = 0
    total: int = 0


@attrs.define
class PeerIndex:
    """Reports of all VMs that were heard.

    Attributes:
        by_vm: Last report of each VM.
        by_place: Load and report of each VM, by service and zone.
        capacity: Sums by service and zone.
        full_links: VMs that lack quota, by link.
    """

    by_vm: dict[str, PeerReport] = attrs.field(factory=dict)
    by_place: dict[
        Place, dict[str, tuple[messages.ServiceLoad, PeerReport]]
    ] = attrs.field(factory=dict)
    capacity: dict[Place, Capacity] = attrs.field(factory=dict)
    full_links: dict[str, set[str]] = attrs.field(factory=dict)


def record(index: PeerIndex, report: PeerReport) -> None:
    """Replaces the last report of a VM."""
    remove(index, report.vm)
    index.by_vm[report.vm] = report
    for load in report.loads:
        place = (load.service, report.zone)
        index.by_place.setdefault(place, {})[report.vm] = (load, report)
        capacity = index.capacity.setdefault(place, Capacity())
        capacity.free += load.free_slots
        capacity.total += load.total_slots
    for link in report.full_links:
        index.full_links.setdefault(link, set()).add(report.vm)


def remove(index: PeerIndex, vm: str) -> None:
    """Drops a VM that is no longer heard."""
    report = index.by_vm.pop(vm, None)
    if report is None:
        return
    for load in report.loads:
        place = (load.service, report.zone)
        del index.by_place[place][vm]
        capacity = index.capacity[place]
        capacity.free -= load.free_slots
        capacity.total -= load.total_slots
    for link in report.full_links:
        index.full_links[link].discard(vm)


def heard_in(
    index: PeerIndex, place: Place, oldest_s: float
) -> list[tuple[messages.ServiceLoad, PeerReport]]:
    """Returns the loads of a place, dropping VMs that fell silent.

    Args:
        index: The index, changed in place.
        place: Service and zone.
        oldest_s: Reports from before this time, in seconds, are dropped.
    """
    heard = index.by_place.get(place)
    if not heard:
        return []
    silent = [
        vm for vm, (_, report) in heard.items() if report.reported_s < oldest_s
    ]
    for vm in silent:
        remove(index, vm)
    return list(heard.values())


def is_link_full(index: PeerIndex, link: str, oldest_s: float) -> bool:
    """Returns whether a VM that is still heard lacks quota on a link.

    Args:
        index: The index, changed in place.
        link: The link, as `from/to` regions.
        oldest_s: Reports from before this time, in seconds, are dropped.
    """
    short = index.full_links.get(link, ())
    for vm in tuple(short):
        if index.by_vm[vm].reported_s < oldest_s:
            remove(index, vm)
    return bool(short)
