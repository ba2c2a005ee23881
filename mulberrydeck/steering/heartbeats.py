"""Which VM sends its heartbeat to which others.

Load answered: fleets in which a message from each VM to each other one would
use more of the processors than requests do: 16 VMs that all hear each other
exchange 240 messages a second, 83 would exchange 6,800. Beyond `mesh_vms`, VMs
of a zone hear each other, and zones tell each other what they heard.
"""

import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import members

# Until all VMs have answered, this one cannot use its units; a message to a VM
# that is not yet connected is lost.
JOINING_INTERVAL_S = 0.2
# One answer from each of many VMs takes longer to send and to read.
JOINING_IN_ZONES_INTERVAL_S = 0.3
# VMs of each other zone that hear of the own zone at a time. The second one
# makes up for a sender that is down.
DIGEST_RECEIVERS = 2


@attrs.define
class Schedule:
    """When and to whom heartbeats go.

    Attributes:
        next_s: When the next heartbeat is due, in seconds.
        rounds: Heartbeats sent so far.
        to_all: Whether the next one goes to all VMs, as a stop must.
    """

    next_s: float = -math.inf
    rounds: int = 0
    to_all: bool = False


def announce(schedule: Schedule) -> None:
    """Makes the next heartbeat go to all VMs at once."""
    hasten(schedule)
    schedule.to_all = True


def hasten(schedule: Schedule) -> None:
    """Makes the next heartbeat go out at once."""
    schedule.next_s = -math.inf


def is_due(schedule: Schedule, now_s: float) -> bool:
    """Returns whether a heartbeat is to be sent."""
    return now_s >= schedule.next_s


def send(
    schedule: Schedule,
    fleet: members.Fleet,
    now_s: float,
    own: messages.SteeringBeat,
    lenders: frozenset[str],
) -> list[object]:
    """Returns the messages of one heartbeat.

    Args:
        schedule: Changed in place.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        own: What this VM says of itself.
        lenders: VMs of which it holds loans.
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


def wants_answer(peer: members.Peer, beat: messages.SteeringBeat) -> bool:
    """Returns whether a process was not heard before, or asks for an answer.

    Args:
        peer: The VM as known before.
        beat: What it says of itself.
    """
    return beat.joining or peer.incarnation != beat.incarnation


def answer(
    sender: str, own: messages.SteeringBeat, lenders: frozenset[str]
) -> quota_effects.SendMessage:
    """Returns the answer to a heartbeat.

    Args:
        sender: Name of the VM that sent it.
        own: What this VM says of itself.
        lenders: VMs of which this one holds loans.
    """
    answered = attrs.evolve(own, holds_loans=sender in lenders, joining=False)
    return quota_effects.SendMessage(sender, answered)


def _interval_s(fleet: members.Fleet) -> float:
    interval_s = fleet.settings.beat_interval_s
    if fleet.cleared:
        return interval_s
    if fleet.is_mesh:
        return min(interval_s, JOINING_INTERVAL_S)
    return min(interval_s, JOINING_IN_ZONES_INTERVAL_S)


def _receivers(schedule: Schedule, fleet: members.Fleet) -> list[str]:
    if fleet.is_mesh or schedule.to_all:
        return list(fleet.peers)
    zone = fleet.settings.zone
    return [
        name
        for name, peer in fleet.peers.items()
        if peer.record.zone == zone
        or not (fleet.cleared or name in fleet.clear)
    ]


def _digest(
    fleet: members.Fleet, now_s: float, own: messages.SteeringBeat
) -> messages.SteeringDigest:
    own_beat = attrs.evolve(own, joining=False)
    heard = [messages.HeardBeat(fleet.settings.name, 0.0, own_beat)]
    for name, peer in fleet.peers.items():
        if peer.record.zone == fleet.settings.zone and fleet.is_alive(
            peer, now_s
        ):
            beat = messages.SteeringBeat(
                peer.incarnation,
                peer.ready,
                peer.leaving,
                reaches_store=peer.reaches_store,
            )
            age_s = round(now_s - peer.heard_s, 3)
            heard.append(messages.HeardBeat(name, age_s, beat))
    return messages.SteeringDigest(tuple(heard))


def _digest_receivers(schedule: Schedule, fleet: members.Fleet) -> list[str]:
    """Returns other VMs of each other zone at each heartbeat.

    VMs of a zone start at different ranks, so that each receiver hears from
    different ones, and one that is down is not missed for long.
    """
    names_by_zone: dict[str, list[str]] = {}
    for name in fleet.names:
        peer = fleet.peers.get(name)
        if peer is not None:
            names_by_zone.setdefault(peer.record.zone, []).append(name)
    own = fleet.settings
    in_zone = sorted([own.name, *names_by_zone.pop(own.zone, [])])
    first = in_zone.index(own.name) + schedule.rounds
    receivers: list[str] = []
    for names in names_by_zone.values():
        count = min(DIGEST_RECEIVERS, len(names))
        step = len(names) // count
        receivers += [
            names[(first + number * step) % len(names)]
            for number in range(count)
        ]
    return receivers
