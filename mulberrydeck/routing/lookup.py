"""Answers to callers that ask which entry VMs to use."""

import math
import zlib

import attrs

from mulberrydeck.core import gateway

DEFAULT_LIFETIME_S = 5.0
ANSWER_SIZE = 8
VMS_PER_ZONE = 3
HASH_RANGE = 2**32


@attrs.frozen
class EntryMember:
    """A live entry VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Where callers reach it, `host:port`.
        leaving: Whether it is stopping.
        weight: Relative share of callers, above 0; lower when it is loaded.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False
    weight: float = 1.0


@attrs.frozen
class Directory:
    """Entry VMs that callers may use, by zone.

    Attributes:
        by_zone: Entry VMs of each zone with their weights.
    """

    by_zone: dict[str, tuple[tuple[gateway.EntryVm, float], ...]]


def directory(members: tuple[EntryMember, ...]) -> Directory:
    """Indexes the entry VMs that callers may use; leaving ones are not.

    Args:
        members: Live VMs, this one included.
    """
    by_zone: dict[str, list[tuple[gateway.EntryVm, float]]] = {}
    for member in members:
        if member.leaving:
            continue
        entry = gateway.EntryVm(member.name, member.zone, member.address)
        by_zone.setdefault(member.zone, []).append((entry, member.weight))
    return Directory({zone: tuple(found) for zone, found in by_zone.items()})


def answer(
    compiled: object,
    members: Directory,
    query: gateway.LookupQuery,
    lifetime_s: float = DEFAULT_LIFETIME_S,
) -> gateway.LookupAnswer:
    """Returns the entry VMs that a caller should use, best first.

    The nearest zones come first. Within a zone the order follows weighted
    rendezvous hashing of the caller's block, so that a block keeps its VM while
    others come and go, and keeps its new one once it has moved.

    Args:
        compiled: Configuration in force.
        members: Entry VMs that callers may use.
        query: The caller's question.
        lifetime_s: How long the answer may be kept, in seconds.
    """
    place = query.place or query.caller_ip
    block = caller_block(query.caller_ip)
    found: list[gateway.EntryVm] = []
    for zone in compiled.zones_near(place):
        entries = members.by_zone.get(zone, ())
        found.extend(_ordered(entries, block)[:VMS_PER_ZONE])
        if len(found) >= ANSWER_SIZE:
            break
    return gateway.LookupAnswer(
        vms=tuple(found[:ANSWER_SIZE]),
        lifetime_s=lifetime_s,
        config_version=compiled.version,
    )


def caller_block(address: str) -> str:
    """Returns the /24 (IPv4) or /48 (IPv6) block of an address."""
    if ":" in address:
        return ":".join(address.split(":")[:3])
    return address.rpartition(".")[0]


def _ordered(
    entries: tuple[tuple[gateway.EntryVm, float], ...], block: str
) -> list[gateway.EntryVm]:
    if len(entries) == 1:
        return [entries[0][0]]
    ranked = sorted(
        entries, key=lambda item: _rank(item[0].name, block, item[1])
    )
    return [entry for entry, _ in ranked]


def _rank(name: str, block: str, weight: float) -> float:
    drawn = (zlib.crc32(f"{block}|{name}".encode()) + 1) / (HASH_RANGE + 1)
    return -math.log(drawn) / weight
