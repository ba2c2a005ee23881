"""Selects the VMs that receive a heartbeat, and when it is sent.

Up to `mesh_vms` VMs form a full mesh, in which each VM sends its heartbeat to
all others: 16 VMs exchange 240 messages per second. In a larger fleet, this
would use more processor time than requests do: 83 VMs would exchange 6,800
messages per second. There, VMs send heartbeats within their zone and digests
of the zone's heartbeats to VMs of other zones.
"""

import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import members

# Heartbeat interval until loans of earlier processes are excluded. This VM
# cannot use its units before then, and messages to VMs not yet connected are
# lost.
JOINING_IN_MESH_INTERVAL_S = 0.2
# Longer in a large fleet, where more responses have to be sent and read.
JOINING_IN_ZONES_INTERVAL_S = 0.3
# VMs of each other zone to which a VM sends a digest at each heartbeat; two, to
# compensate for senders that are down.
DIGEST_RECEIVERS_PER_ZONE = 2


@attrs.define
class Schedule:
    """When the next heartbeat is sent, and to which VMs.

    Attributes:
        next_s: When the next heartbeat is due, in seconds.
        rounds: Number of heartbeats sent so far.
        to_all: Whether the next heartbeat goes to all VMs, which a planned stop
            requires.
    """

    next_s: float = -math.inf
    rounds: int = 0
    to_all: bool = False


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
    schedule.rounds += 1
    produced: list[object] = [
        quota_effects.SendMessage(
            name, attrs.evolve(own, holds_loans=name in lenders)
        )
        for name in _receivers(schedule, fleet)
    ]
    if not fleet.is_mesh:
        digest = _digest(fleet, now_s, own)
        produced += [
            quota_effects.SendMessage(name, digest)
            for name in _digest_receivers(schedule, fleet)
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
    if fleet.old_loans_excluded:
        return interval_s
    if fleet.is_mesh:
        return min(interval_s, JOINING_IN_MESH_INTERVAL_S)
    return min(interval_s, JOINING_IN_ZONES_INTERVAL_S)


def _receivers(schedule: Schedule, fleet: members.Fleet) -> list[str]:
    if fleet.is_mesh or schedule.to_all:
        return list(fleet.peers)
    zone = fleet.settings.zone
    return [
        name
        for name, peer in fleet.peers.items()
        if peer.record.zone == zone
        or not (fleet.old_loans_excluded or name in fleet.vms_without_old_loans)
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
            )
            age_s = round(now_s - peer.last_heartbeat_s, 3)
            relayed.append(messages.RelayedHeartbeat(name, age_s, heartbeat))
    return messages.SteeringDigest(tuple(relayed))


def _digest_receivers(schedule: Schedule, fleet: members.Fleet) -> list[str]:
    """Returns the receivers of this heartbeat's digest, which rotate.

    The VMs of a zone start at different positions. Each receiver thus gets
    digests from different senders in turn, and a sender that is down delays
    updates only briefly.
    """
    names_by_zone: dict[str, list[str]] = {}
    for name in fleet.names:
        peer = fleet.peers.get(name)
        if peer is not None:
            names_by_zone.setdefault(peer.record.zone, []).append(name)
    own = fleet.settings
    in_zone = sorted([own.name, *names_by_zone.pop(own.zone, [])])
    offset = in_zone.index(own.name) + schedule.rounds
    receivers: list[str] = []
    for names in names_by_zone.values():
        count = min(DIGEST_RECEIVERS_PER_ZONE, len(names))
        step = len(names) // count
        receivers += [
            names[(offset + number * step) % len(names)]
            for number in range(count)
        ]
    return receivers
