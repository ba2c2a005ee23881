"""Entry VMs: who is registered, who lives, and each one's part of a limit."""

import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.steering import effects
from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import tables

# Each limit is divided into this many units, which VMs own and lend.
UNITS = 1000
# An account's units are dispersed over this many VMs at most: asking many
# lenders costs a message each, and one that fails takes its part with it.
MOST_HOLDERS = 16
# A holder's part of the burst, so that one ask finds a token as a rule.
TOKENS_A_HOLDER = 5.0


@attrs.define
class Peer:
    """Another VM.

    Attributes:
        record: What it registered.
        heard_s: When its last heartbeat arrived, in seconds.
        leaving: Whether it said that it is stopping.
        ready: Whether it said that it can serve.
        reaches_store: Whether it said that others may learn from it what the
            store holds.
        incarnation: Its process, or empty before it was heard.
    """

    record: registry.VmRecord
    heard_s: float = -math.inf
    incarnation: str = ""
    leaving: bool = False
    ready: bool = False
    reaches_store: bool = False


@attrs.define
class Fleet:
    """Registered VMs as this one sees them.

    Attributes:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
        peers: Other VMs by name.
        names: Names of all registered VMs, sorted.
        started_s: When this process started, in seconds.
        clear: VMs that were heard and hold no loan of this VM's earlier
            processes.
        cleared: Whether all registered VMs were found clear once.
    """

    settings: settings_module.SteeringSettings
    incarnation: str
    peers: dict[str, Peer] = attrs.field(factory=dict)
    names: tuple[str, ...] = ()
    started_s: float = 0.0
    clear: set[str] = attrs.field(factory=set)
    cleared: bool = False

    @property
    def is_mesh(self) -> bool:
        """Whether all VMs send each other heartbeats."""
        return len(self.names) <= self.settings.mesh_vms

    def region_of(self, name: str) -> str:
        """Returns the region of a registered VM."""
        peer = self.peers.get(name)
        return self.settings.region if peer is None else peer.record.region

    def is_alive(self, peer: Peer, now_s: float) -> bool:
        """Returns whether a VM was heard lately."""
        return now_s - peer.heard_s < self.settings.peer_timeout_s

    def serving(self, now_s: float) -> list[Peer]:
        """Returns the other VMs that callers may be sent to."""
        return [
            peer
            for peer in self.peers.values()
            if self.is_alive(peer, now_s) and peer.ready and not peer.leaving
        ]


def register(
    fleet: Fleet, records: tuple[registry.VmRecord, ...]
) -> list[object]:
    """Applies the list of registered VMs; returns connection effects."""
    produced: list[object] = []
    others = {r.name: r for r in records if r.name != fleet.settings.name}
    for name in fleet.peers.keys() - others.keys():
        del fleet.peers[name]
        produced.append(effects.DisconnectPeer(name))
    for name, record in others.items():
        known = fleet.peers.get(name)
        if known is None or known.record.peer_address != record.peer_address:
            produced.append(effects.ConnectPeer(record))
        if known is None:
            fleet.peers[name] = Peer(record)
        elif known.record != record:
            # A process that has just started has yet to be heard.
            fleet.peers[name] = Peer(record)
    fleet.names = tuple(sorted({r.name for r in records}))
    return produced


def heard(
    fleet: Fleet, now_s: float, sender: str, beat: messages.SteeringBeat
) -> list[object]:
    """Notes a heartbeat that its sender sent to this VM.

    Args:
        fleet: Known VMs.
        now_s: Current time, in seconds.
        sender: Name of the VM that sent it.
        beat: What that VM says of itself.
    """
    peer = fleet.peers.get(sender)
    if peer is None:
        return []
    if not beat.holds_loans:
        fleet.clear.add(sender)
    return _note(fleet, now_s, peer, now_s, beat)


def heard_of(
    fleet: Fleet, now_s: float, digest: messages.SteeringDigest
) -> list[object]:
    """Notes heartbeats that another VM passed on, where they are newer."""
    produced: list[object] = []
    for one in digest.heard:
        peer = fleet.peers.get(one.vm)
        heard_s = now_s - one.age_s
        if peer is not None and heard_s > peer.heard_s:
            produced += _note(fleet, now_s, peer, heard_s, one.beat)
    return produced


def _note(
    fleet: Fleet,
    now_s: float,
    peer: Peer,
    heard_s: float,
    beat: messages.SteeringBeat,
) -> list[object]:
    produced: list[object] = []
    if not fleet.is_alive(peer, now_s):
        fields = {"vm": peer.record.name, "incarnation": beat.incarnation}
        produced.append(effects.Log("fleet", "A VM is heard.", fields))
    peer.incarnation = beat.incarnation
    peer.heard_s = heard_s
    peer.leaving = beat.leaving
    peer.ready = beat.ready
    peer.reaches_store = beat.reaches_store
    return produced


def found_clear(fleet: Fleet, now_s: float) -> bool:
    """Returns whether loans of earlier processes have just become impossible.

    It is true once in the life of a process: when all VMs were heard and hold
    none, or when all have run out.
    """
    if fleet.cleared or not fleet.names:
        return False
    settings = fleet.settings
    longest_s = settings.quota_lease_s + settings.lease_margin_s
    fleet.cleared = (
        fleet.peers.keys() <= fleet.clear
        or now_s >= fleet.started_s + longest_s
    )
    return fleet.cleared


def holders(fleet: Fleet, account: tables.Account) -> tuple[str, ...]:
    """Returns the registered VMs that own the units of an account's limit.

    All VMs rank them alike, so that few change when a VM is added or removed.
    Each region has one, so that its callers are served when it is cut off.
    """
    if fleet.is_mesh:
        return fleet.names
    digest = hashing.digest(account.name)
    ranked = sorted(
        fleet.names,
        key=lambda name: hashing.combine(hashing.digest(name), digest),
    )
    first_by_region: dict[str, str] = {}
    for name in ranked:
        first_by_region.setdefault(fleet.region_of(name), name)
    count = min(MOST_HOLDERS, int(account.burst / TOKENS_A_HOLDER))
    chosen = list(first_by_region.values())
    rest = [name for name in ranked if name not in chosen]
    return tuple(sorted(chosen + rest[: max(0, count - len(chosen))]))


def own_units(fleet: Fleet, owners: tuple[str, ...]) -> int:
    """Returns this VM's units of an account's limit.

    The parts of all holders add up to all units.

    Args:
        fleet: Known VMs.
        owners: Holders of the limit, sorted.
    """
    if fleet.settings.name not in owners:
        return 0
    index = owners.index(fleet.settings.name)
    base, rest = divmod(UNITS, len(owners))
    return base + (index < rest)


def limited(table: tables.RoutingTable) -> list[tables.Account]:
    """Returns the client accounts that have a limit."""
    return [one for one in table.accounts.values() if one.rate_per_s > 0]


def bounds(table: tables.RoutingTable) -> tuple[quota_state.Bound, ...]:
    """Returns the limits of client accounts as bounds over all VMs."""
    return tuple(
        quota_state.Bound(
            limit_resource(account.name),
            UNITS,
            account.rate_per_s,
            max(1.0, account.burst),
        )
        for account in limited(table)
    )


def limit_resource(account: str) -> str:
    """Returns the name of an account's limit."""
    return f"account/{account}"


def lenders(fleet: Fleet, now_s: float) -> tuple[str, ...]:
    """Returns the VMs that may lend, those of the own zone and region first."""
    alive = [
        peer
        for peer in fleet.peers.values()
        if fleet.is_alive(peer, now_s) and not peer.leaving
    ]
    own = fleet.settings
    alive.sort(
        key=lambda peer: (
            peer.record.zone != own.zone,
            peer.record.region != own.region,
            peer.record.name,
        )
    )
    return tuple(peer.record.name for peer in alive)
