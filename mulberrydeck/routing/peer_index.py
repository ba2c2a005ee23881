"""Index of the capacity that the other VMs report, by service and zone."""

import attrs

from mulberrydeck.peers import messages

ServiceZone = tuple[str, str]


@attrs.frozen
class PeerReport:
    """The last report of a VM.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        loads: Capacity of each service; empty if the VM takes no new work.
        reported_s: When the report arrived, in seconds.
        full_links: Links, as `from/to` regions, on which it lacks quota.
    """

    vm: str
    zone: str
    loads: tuple[messages.ServiceLoad, ...]
    reported_s: float
    full_links: tuple[str, ...] = ()


@attrs.define
class Capacity:
    """Total capacity of the VMs of a zone, for one service.

    Attributes:
        free_slots: Free slots.
        usable_slots: Usable slots.
    """

    free_slots: int = 0
    usable_slots: int = 0


@attrs.define
class PeerIndex:
    """Last reports of the other VMs.

    Attributes:
        by_vm: Last report of each VM, by name.
        by_service_zone: Load and report of each VM, by service and zone, then
            by name of the VM.
        capacity: Total capacity by service and zone.
        full_links: Names of the VMs that lack quota, by link.
    """

    by_vm: dict[str, PeerReport] = attrs.field(factory=dict)
    by_service_zone: dict[
        ServiceZone, dict[str, tuple[messages.ServiceLoad, PeerReport]]
    ] = attrs.field(factory=dict)
    capacity: dict[ServiceZone, Capacity] = attrs.field(factory=dict)
    full_links: dict[str, set[str]] = attrs.field(factory=dict)


def record(index: PeerIndex, report: PeerReport) -> None:
    """Replaces the last report of a VM."""
    remove(index, report.vm)
    index.by_vm[report.vm] = report
    for load in report.loads:
        service_zone = (load.service, report.zone)
        index.by_service_zone.setdefault(service_zone, {})[report.vm] = (
            load,
            report,
        )
        capacity = index.capacity.setdefault(service_zone, Capacity())
        capacity.free_slots += load.free_slots
        capacity.usable_slots += load.total_slots
    for link in report.full_links:
        index.full_links.setdefault(link, set()).add(report.vm)


def remove(index: PeerIndex, vm: str) -> None:
    """Removes the report of a VM, if there is one."""
    report = index.by_vm.pop(vm, None)
    if report is None:
        return
    for load in report.loads:
        service_zone = (load.service, report.zone)
        del index.by_service_zone[service_zone][vm]
        capacity = index.capacity[service_zone]
        capacity.free_slots -= load.free_slots
        capacity.usable_slots -= load.total_slots
    for link in report.full_links:
        index.full_links[link].discard(vm)


def live_loads(
    index: PeerIndex, service_zone: ServiceZone, oldest_s: float
) -> list[tuple[messages.ServiceLoad, PeerReport]]:
    """Returns the loads of live VMs and removes VMs with expired reports.

    Args:
        index: The index, changed in place.
        service_zone: Names of the service and the zone.
        oldest_s: Time before which reports have expired, in seconds.
    """
    reports = index.by_service_zone.get(service_zone)
    if not reports:
        return []
    expired = [
        vm
        for vm, (_, report) in reports.items()
        if report.reported_s < oldest_s
    ]
    for vm in expired:
        remove(index, vm)
    return list(reports.values())


def is_link_full(index: PeerIndex, link: str, oldest_s: float) -> bool:
    """Returns whether a live VM lacks quota on a link.

    Args:
        index: The index, changed in place.
        link: The link, as `from/to` regions.
        oldest_s: Time before which reports have expired, in seconds.
    """
    lacking_quota = index.full_links.get(link, ())
    for vm in tuple(lacking_quota):
        if index.by_vm[vm].reported_s < oldest_s:
            remove(index, vm)
    return bool(lacking_quota)
