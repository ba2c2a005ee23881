"""Responses to lookup requests: the entry VMs that a caller should use."""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import math

import attrs

from mulberrydeck.core import gateway
from mulberrydeck.routing import hashing

DEFAULT_LIFETIME_S = 5.0
MAX_VMS_PER_RESPONSE = 8
VMS_PER_ZONE = 3


@attrs.frozen
class EntryMember:
    """A live entry VM, which accepts requests of callers.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Its address for callers, `host:port`.
        leaving: Whether it is stopping.
        weight: Relative share of callers, above 0; lower under load.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False
    weight: float = 1.0


@attrs.frozen
class Entry:
    """An entry VM that callers may use.

    Attributes:
        vm: The VM as listed in responses.
        weight: Relative share of callers.
        digest: Hash of the VM's name.
    """

    vm: gateway.EntryVm
    weight: float
    digest: int


@attrs.frozen
class Directory:
    """Entry VMs that callers may use, by zone.

    Attributes:
        by_zone: Entry VMs of each zone.
        zone_digests: Hash of the name of each zone that has entry VMs.
    """

    by_zone: dict[str, tuple[Entry, ...]]
    zone_digests: dict[str, int]


def directory(members: tuple[EntryMember, ...]) -> Directory:
    """Indexes the entry VMs that callers may use, omitting leaving ones.

    Args:
        members: Live VMs, this one included.
    """
    by_zone: dict[str, list[Entry]] = {}
    for member in members:
        if member.leaving:
            continue
        vm = gateway.EntryVm(member.name, member.zone, member.address)
        entry = Entry(vm, member.weight, hashing.digest(member.name))
        by_zone.setdefault(member.zone, []).append(entry)
    return Directory(
        {zone: tuple(entries) for zone, entries in by_zone.items()},
        {zone: hashing.digest(zone) for zone in by_zone},
    )


def respond(
    compiled: object,
    members: Directory,
    query: gateway.LookupQuery,
    lifetime_s: float = DEFAULT_LIFETIME_S,
) -> gateway.LookupResponse:
    """Returns the entry VMs that a caller should use, in order of preference.

    The nearest zones come first. Zones that are equally near, and the VMs
    within a zone, are ordered by rendezvous hashing of the caller's address
    block, weighted for VMs. A block therefore keeps its VM while other VMs join
    or leave, also after it has moved to that VM from a lost one, and the blocks
    of a lost VM or region spread over all others.

    Args:
        compiled: Configuration in force.
        members: Entry VMs that callers may use.
        query: The caller's lookup request.
        lifetime_s: How long the response may be cached, in seconds.
    """
    place = query.place or query.caller_ip
    block = hashing.digest(caller_block(query.caller_ip))
    entry_vms: list[gateway.EntryVm] = []
    for zone in _zones_by_preference(compiled, members, place, block):
        entry_vms.extend(_preferred_vms(members.by_zone[zone], block))
        if len(entry_vms) >= MAX_VMS_PER_RESPONSE:
            break
    return gateway.LookupResponse(
        vms=tuple(entry_vms[:MAX_VMS_PER_RESPONSE]),
        lifetime_s=lifetime_s,
        config_version=compiled.version,
    )


def caller_block(address: str) -> str:
    """Returns the /24 (IPv4) or /48 (IPv6) block of an IP address."""
    if ":" in address:
        return ":".join(address.split(":")[:3])
    return address.rpartition(".")[0]


def _zones_by_preference(
    compiled: object, members: Directory, place: str, block: int
) -> Iterator[str]:
    """Yields the zones that have entry VMs, nearest first.

    Zones outside the caller's region are equally near, and so are the zones of
    a region given as the place, and all zones if the place is unknown.
    """

    def by_hash(zones: Iterable[str]) -> list[str]:
        digests = members.zone_digests
        return sorted(
            zones, key=lambda zone: hashing.combine(digests[zone], block)
        )

    if not compiled.knows_place(place):
        yield from by_hash(members.by_zone)
        return
    nearest = compiled.zones_near(place)
    region = compiled.region_of(nearest[0])
    near = [
        zone
        for zone in nearest
        if zone in members.by_zone and compiled.region_of(zone) == region
    ]
    yield from by_hash(near) if place == region else near
    yield from by_hash(set(members.by_zone).difference(near))


def _preferred_vms(
    entries: tuple[Entry, ...], block: int
) -> list[gateway.EntryVm]:
    if len(entries) == 1:
        return [entries[0].vm]
    ranked = heapq.nsmallest(
        VMS_PER_ZONE, entries, key=lambda entry: _rank(entry, block)
    )
    return [entry.vm for entry in ranked]


def _rank(entry: Entry, block: int) -> float:
    hash_value = hashing.combine(entry.digest, block) + 1
    return -math.log(hash_value / (hashing.HASH_RANGE + 1)) / entry.weight
