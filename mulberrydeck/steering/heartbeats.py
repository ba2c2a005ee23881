"""Selects the VMs that receive a heartbeat, and when it is sent.

Up to `mesh_vms` VMs form a full mesh, in which each VM sends its heartbeat to
all others: 16 VMs exchange 240 messages per second. In a larger fleet, this
would use more processor time than requests do: 83 VMs would exchange 6,800
messages per second. There, VMs send heartbeats within their zone and digests
of the zone's heartbeats to VMs of other zones.
"""

from collections.abc import Iterator
import heapq
import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import hashing
from mulberrydeck.steering import members

# Heartbeat interval until this VM may use its units. Messages to VMs not yet
# connected are lost.
JOINING_IN_MESH_INTERVAL_S = 0.2
# Longer in a large fleet, where more responses have to be sent and read.
JOINING_IN_ZONES_INTERVAL_S = 0.3
# A VM that has missed a heartbeat is replaced as a sender of digests. Its
# receivers then get the next digest before they consider the zone unreachable.
SUSPECTED_AFTER_INTERVALS = 1.6


@attrs.define
class Schedule:
    """When the next heartbeat is sent, and to which VMs.

    Attributes:
        next_s: When the next heartbeat is due, in seconds.
        to_all: Whether the next heartbeat goes to all VMs, which a planned stop
            requires.
        known_names: Names of the VMs for which receivers were computed.
        senders: VMs among which the receivers of digests were divided.
        digest_receivers: VMs to which this VM sends digests.
    """

    next_s: float = -math.inf
    to_all: bool = False
    known_names: tuple[str, ...] = ()
    senders: tuple[str, ...] = ()
    digest_receivers: tuple[str, ...] = ()


def send_to_all_soon(schedule: Schedule) -> None:
    """Schedules a heartbeat to all VMs for the next tick."""
    send_soon(schedule)
    schedule.to_all = True


def send_soon(schedule: Schedule) -> None:
    """Schedules the next heartbeat for the next tick."""
    schedule.next_s = -math.inf


def is_due(schedule: Schedule, now_s: float) -> bool:
    """Returns whether the next heartbeat is due."""
    return now_s >= schedule.next_s


def send(
    schedule: Schedule,
    fleet: members.Fleet,
    now_s: float,
    own: messages.SteeringHeartbeat,
    lenders: frozenset[str],
) -> list[object]:
    """Returns the messages of one heartbeat.

    Args:
        schedule: Changed in place.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        own: Heartbeat of this VM.
        lenders: VMs from which it holds loans.
    """
    schedule.next_s = now_s + _interval_s(fleet)
    awaited = members.awaited(fleet)
    produced: list[object] = [
        quota_effects.SendMessage(
            name,
            attrs.evolve(
                own, holds_loans=name in lenders, joining=name in awaited
            ),
        )
        for name in _receivers(schedule, fleet, awaited)
    ]
    if not fleet.is_mesh:
        digest = _digest(fleet, now_s, own)
        produced += [
            quota_effects.SendMessage(name, digest)
            for name in _digest_receivers(schedule, fleet, now_s)
        ]
    schedule.to_all = False
    return produced


def needs_response(
    peer: members.Peer, heartbeat: messages.SteeringHeartbeat
) -> bool:
    """Returns whether a heartbeat is of a new process or requests a response.

    Args:
        peer: The sender as known before this heartbeat.
        heartbeat: The heartbeat.
    """
    return heartbeat.joining or peer.incarnation != heartbeat.incarnation


def respond(
    sender: str, own: messages.SteeringHeartbeat, lenders: frozenset[str]
) -> quota_effects.SendMessage:
    """Returns the response to a heartbeat.

    Args:
        sender: Name of the VM that sent the heartbeat.
        own: Heartbeat of this VM.
        lenders: VMs from which this VM holds loans.
    """
    response = attrs.evolve(own, holds_loans=sender in lenders, joining=False)
    return quota_effects.SendMessage(sender, response)


def _interval_s(fleet: members.Fleet) -> float:
    interval_s = fleet.settings.beat_interval_s
    if fleet.units_usable:
        return interval_s
    if fleet.is_mesh:
        return min(interval_s, JOINING_IN_MESH_INTERVAL_S)
    return min(interval_s, JOINING_IN_ZONES_INTERVAL_S)


def _receivers(
    schedule: Schedule, fleet: members.Fleet, awaited: frozenset[str]
) -> list[str]:
    if fleet.is_mesh or schedule.to_all:
        return list(fleet.peers)
    zone = fleet.settings.zone
    return [
        name
        for name, peer in fleet.peers.items()
        if peer.record.zone == zone or name in awaited
    ]


def _digest(
    fleet: members.Fleet, now_s: float, own: messages.SteeringHeartbeat
) -> messages.SteeringDigest:
    own_heartbeat = attrs.evolve(own, joining=False)
    relayed = [
        messages.RelayedHeartbeat(fleet.settings.name, 0.0, own_heartbeat)
    ]
    for name, peer in fleet.peers.items():
        if peer.record.zone == fleet.settings.zone and fleet.is_alive(
            peer, now_s
        ):
            heartbeat = messages.SteeringHeartbeat(
                peer.incarnation,
                peer.ready,
                peer.leaving,
                reaches_store=peer.reaches_store,
                headroom=peer.headroom,
            )
            age_s = round(now_s - peer.last_heartbeat_s, 3)
            relayed.append(messages.RelayedHeartbeat(name, age_s, heartbeat))
    return messages.SteeringDigest(tuple(relayed))


def take_over(
    schedule: Schedule,
    fleet: members.Fleet,
    now_s: float,
    own: messages.SteeringHeartbeat,
) -> list[object]:
    """Returns digests to VMs that have lost one of their senders.

    Args:
        schedule: Changed in place.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        own: Heartbeat of this VM.
    """
    if fleet.is_mesh or not schedule.senders:
        return []
    previous = schedule.digest_receivers
    receivers = _digest_receivers(schedule, fleet, now_s)
    if receivers is previous:
        return []
    known = frozenset(previous)
    digest = _digest(fleet, now_s, own)
    return [
        quota_effects.SendMessage(name, digest)
        for name in receivers
        if name not in known
    ]


def _digest_receivers(
    schedule: Schedule, fleet: members.Fleet, now_s: float
) -> tuple[str, ...]:
    """Returns the VMs of other zones to which this VM sends digests.

    They stay the same while the senders do, so that a digest repeats what its
    receiver knows from the same two VMs.
    """
    working = _working_senders(fleet, now_s)
    if (fleet.names, working) != (schedule.known_names, schedule.senders):
        schedule.known_names = fleet.names
        schedule.senders = working
        schedule.digest_receivers = tuple(_assigned_receivers(fleet, working))
    return schedule.digest_receivers


def _assigned_receivers(
    fleet: members.Fleet, working: tuple[str, ...]
) -> Iterator[str]:
    """Yields the VMs of other zones that get digests from this VM.

    The senders of a zone have equal numbers of receivers in each other zone.
    """
    own = fleet.settings
    names_by_zone: dict[str, list[str]] = {}
    for name in fleet.names:
        peer = fleet.peers.get(name)
        zone = own.zone if peer is None else peer.record.zone
        names_by_zone.setdefault(zone, []).append(name)
    # A starting VM may read a list without itself.
    in_zone = names_by_zone.pop(own.zone, [own.name])
    for names in names_by_zone.values():
        for index, receiver in enumerate(names):
            regular = (
                in_zone[index % len(in_zone)],
                in_zone[(index + len(in_zone) // 2) % len(in_zone)],
            )
            if own.name in _senders_to(receiver, regular, working):
                yield receiver


def _working_senders(fleet: members.Fleet, now_s: float) -> tuple[str, ...]:
    """Returns the working VMs of this VM's zone, including this one."""
    oldest_s = (
        now_s - SUSPECTED_AFTER_INTERVALS * fleet.settings.beat_interval_s
    )
    own = fleet.settings.name
    working = [
        name
        for name in fleet.zone_names
        if name != own and fleet.peers[name].last_heartbeat_s > oldest_s
    ]
    return (own, *working)


def _senders_to(
    receiver: str, regular: tuple[str, ...], working: tuple[str, ...]
) -> set[str]:
    """Returns the senders of digests to a VM.

    Args:
        receiver: Name of that VM.
        regular: Its senders while all VMs work.
        working: Working VMs of their zone.
    """
    senders = {name for name in regular if name in working}
    if len(senders) == len(regular):
        return senders
    digest = hashing.digest(receiver)
    substitutes = heapq.nsmallest(
        len(regular),
        (name for name in working if name not in senders),
        key=lambda name: hashing.combine(hashing.digest(name), digest),
    )
    return senders.union(substitutes[: len(regular) - len(senders)])
