"""Registered entry VMs: which are alive, and what share of limits each owns."""

import math

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import state as quota_state
from mulberrydeck.steering import effects
from mulberrydeck.steering import limit_owners as limit_owners_module
from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import tables

# Each account limit is divided into this many units, which VMs own and lend.
UNITS_PER_LIMIT = 1000
# VMs that are added send heartbeats several times per second until they are
# listed.
LIST_INTERVAL_S = 1.0


@attrs.define
class Peer:
    """Another VM, as registered and as described by its last heartbeat.

    Attributes:
        record: Registered record of the VM.
        last_heartbeat_s: When its last heartbeat was received, in seconds.
        incarnation: Identifier of its process; empty before the first
            heartbeat.
        leaving: Whether it is stopping.
        ready: Whether it can serve callers.
        reaches_store: Whether it can follow the store for other VMs.
        headroom: Factor on its share of callers, which it reports itself.
    """

    record: registry.VmRecord
    last_heartbeat_s: float = -math.inf
    incarnation: str = ""
    leaving: bool = False
    ready: bool = False
    reaches_store: bool = False
    headroom: float = 1.0


@attrs.define
class Fleet:
    """Registered VMs as known to this VM.

    Attributes:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
        peers: Other VMs by name.
        names: Names of all registered VMs, this one included, sorted.
        zone_names: Those of this VM's zone, sorted.
        region_names: Those of this VM's region, sorted by zone.
        started_s: When this process started, in seconds.
        settled_vms: VMs that have reported that they use no units of this VM:
            they list it, hold no loans from its earlier processes and have lent
            no more than they own.
        unsettled_s: Time of the last report to the contrary, by VM, in seconds.
        joining_vms: VMs that have reported that they are joining.
        added: Whether this VM was added to the fleet by this process.
        units_usable: Whether this VM may use its own units.
        list_requested_s: When the VMs were last listed anew because an unknown
            VM sent a heartbeat, in seconds.
        limit_owners: Owners of the units of limits in a large fleet.
    """

    settings: settings_module.SteeringSettings
    incarnation: str
    peers: dict[str, Peer] = attrs.field(factory=dict)
    names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    region_names: tuple[str, ...] = ()
    started_s: float = 0.0
    settled_vms: set[str] = attrs.field(factory=set)
    unsettled_s: dict[str, float] = attrs.field(factory=dict)
    joining_vms: set[str] = attrs.field(factory=set)
    added: bool = False
    units_usable: bool = False
    list_requested_s: float = -math.inf
    limit_owners: limit_owners_module.LimitOwners = attrs.field(
        factory=limit_owners_module.LimitOwners
    )

    @property
    def is_mesh(self) -> bool:
        """Whether all VMs send each other heartbeats."""
        return len(self.names) <= self.settings.mesh_vms

    def region_of(self, name: str) -> str:
        """Returns the region of a registered VM."""
        peer = self.peers.get(name)
        return self.settings.region if peer is None else peer.record.region

    def is_alive(self, peer: Peer, now_s: float) -> bool:
        """Returns whether a VM's last heartbeat is recent enough."""
        return now_s - peer.last_heartbeat_s < self.settings.peer_timeout_s

    def serving_peers(self, now_s: float) -> list[Peer]:
        """Returns the other VMs that lookups may name."""
        return [
            peer
            for peer in self.peers.values()
            if self.is_alive(peer, now_s) and peer.ready and not peer.leaving
        ]


def apply_vm_list(
    fleet: Fleet, records: tuple[registry.VmRecord, ...]
) -> list[object]:
    """Applies the list of registered VMs; returns effects on connections."""
    produced: list[object] = []
    others = {r.name: r for r in records if r.name != fleet.settings.name}
    for name in fleet.peers.keys() - others.keys():
        del fleet.peers[name]
        produced.append(effects.DisconnectPeer(name))
    for name, record in others.items():
        peer = fleet.peers.get(name)
        if peer is None or peer.record.peer_address != record.peer_address:
            produced.append(effects.ConnectPeer(record))
        if peer is None:
            fleet.peers[name] = Peer(record)
        elif peer.record == attrs.evolve(record, capacity=peer.record.capacity):
            # A changed capacity alone does not make the VM a new process.
            peer.record = record
        else:
            # The record names a new process, which has yet to send a heartbeat.
            fleet.peers[name] = Peer(record)
    fleet.names = tuple(sorted({r.name for r in records}))
    own = fleet.settings
    region_records = sorted(
        (record.zone, record.name)
        for record in records
        if record.region == own.region
    )
    fleet.region_names = tuple(name for _, name in region_records)
    fleet.zone_names = tuple(
        name for zone, name in region_records if zone == own.zone
    )
    fleet.limit_owners.update(
        {name: fleet.region_of(name) for name in fleet.names}
    )
    return produced


def record_heartbeat(
    fleet: Fleet,
    now_s: float,
    sender: str,
    heartbeat: messages.SteeringHeartbeat,
) -> list[object]:
    """Records a heartbeat received directly from its sender.

    Args:
        fleet: Known VMs.
        now_s: Current time, in seconds.
        sender: Name of the VM that sent it.
        heartbeat: The heartbeat.
    """
    peer = fleet.peers.get(sender)
    if peer is None:
        return []
    if heartbeat.joining:
        fleet.joining_vms.add(sender)
    if heartbeat.holds_loans or heartbeat.overlent:
        fleet.unsettled_s[sender] = now_s
    else:
        fleet.settled_vms.add(sender)
    return _update_peer(fleet, now_s, peer, now_s, heartbeat)


def record_digest(
    fleet: Fleet, now_s: float, digest: messages.SteeringDigest
) -> list[object]:
    """Records the heartbeats that another VM relayed, if they are newer."""
    produced: list[object] = []
    for relayed in digest.heard:
        peer = fleet.peers.get(relayed.vm)
        received_s = now_s - relayed.age_s
        if peer is not None and received_s > peer.last_heartbeat_s:
            produced += _update_peer(
                fleet, now_s, peer, received_s, relayed.beat
            )
    return produced


def _update_peer(
    fleet: Fleet,
    now_s: float,
    peer: Peer,
    received_s: float,
    heartbeat: messages.SteeringHeartbeat,
) -> list[object]:
    produced: list[object] = []
    if not fleet.is_alive(peer, now_s):
        fields = {"vm": peer.record.name, "incarnation": heartbeat.incarnation}
        produced.append(effects.Log("fleet", "A VM is alive.", fields))
    peer.incarnation = heartbeat.incarnation
    peer.last_heartbeat_s = received_s
    peer.leaving = heartbeat.leaving
    peer.ready = heartbeat.ready
    peer.reaches_store = heartbeat.reaches_store
    peer.headroom = heartbeat.headroom
    return produced


def take_own_units(fleet: Fleet, now_s: float) -> bool:
    """Returns whether this VM may use its own units from now on.

    Until then, other VMs may use them: those that hold loans of earlier
    processes of this VM, and those that owned the units before this VM was
    added, until they list it and the loans that they made of them have ended.
    The result is true once per process; at the very first start of the fleet,
    as soon as the registered VMs are known.
    """
    if fleet.units_usable or not fleet.names:
        return False
    fleet.units_usable = fleet.settings.first_start or all(
        _is_settled(fleet, name, now_s) for name in fleet.peers
    )
    return fleet.units_usable


def _is_settled(fleet: Fleet, name: str, now_s: float) -> bool:
    """Returns whether a VM uses no units of this VM.

    A VM that has not reported counts as failed after the longest loan, and one
    that has reported otherwise makes no further loans of them.
    """
    if name in fleet.settled_vms:
        return True
    max_loan_s = fleet.settings.quota_lease_s + fleet.settings.lease_margin_s
    since_s = max(fleet.started_s, fleet.unsettled_s.get(name, -math.inf))
    return now_s >= since_s + max_loan_s


def awaited(fleet: Fleet) -> frozenset[str]:
    """Returns the VMs whose reports this VM still awaits.

    Once its units are usable, only a VM that was added awaits any: those that
    have never reported may still use units that it takes over.
    """
    if not fleet.units_usable:
        return frozenset(fleet.peers.keys() - fleet.settled_vms)
    if not fleet.added:
        return frozenset()
    reported = fleet.settled_vms.union(fleet.unsettled_s)
    return frozenset(fleet.peers.keys() - reported)


def request_list(fleet: Fleet, now_s: float) -> bool:
    """Returns whether to list the VMs anew, as an unknown one has started."""
    if now_s < fleet.list_requested_s + LIST_INTERVAL_S:
        return False
    fleet.list_requested_s = now_s
    return True


def limit_owners(fleet: Fleet, account: tables.Account) -> tuple[str, ...]:
    """Returns the registered VMs that own the units of an account's limit."""
    if fleet.is_mesh:
        return fleet.names
    return fleet.limit_owners.of(account)


def own_units(
    fleet: Fleet, account: tables.Account, owners: tuple[str, ...]
) -> int:
    """Returns the number of units of an account's limit that this VM owns.

    The shares of all owners add up to `UNITS_PER_LIMIT`. A VM that was added
    leaves the VMs that it awaits what they may have owned before.

    Args:
        fleet: Known VMs.
        account: The account.
        owners: VMs that own units of the limit, sorted.
    """
    name = fleet.settings.name
    if name not in owners:
        return 0
    base, rest = divmod(UNITS_PER_LIMIT, len(owners))
    share = base + (owners.index(name) < rest)
    awaited_vms = awaited(fleet) if fleet.units_usable else frozenset()
    if not awaited_vms:
        return share
    earlier = _earlier_owners(fleet, account)
    may_own = -(-UNITS_PER_LIMIT // max(1, len(earlier)))
    excess = sum(
        may_own - (base if owner in owners else 0)
        for owner in awaited_vms.intersection(earlier)
    )
    return max(0, share - excess)


def _earlier_owners(fleet: Fleet, account: tables.Account) -> tuple[str, ...]:
    """Returns the owners of a limit before this VM and others were added."""
    added = fleet.joining_vms | {fleet.settings.name}
    names = tuple(name for name in fleet.names if name not in added)
    if len(names) <= fleet.settings.mesh_vms:
        return names
    regions = {name: fleet.region_of(name) for name in names}
    return limit_owners_module.LimitOwners(regions).of(account)


def accounts_with_limit(table: tables.RoutingTable) -> list[tables.Account]:
    """Returns the client accounts that have a rate limit."""
    return [
        account for account in table.accounts.values() if account.rate_per_s > 0
    ]


def bounds(table: tables.RoutingTable) -> tuple[quota_state.Bound, ...]:
    """Returns the limits of client accounts as quota bounds over all VMs."""
    return tuple(
        quota_state.Bound(
            limit_resource(account.name),
            UNITS_PER_LIMIT,
            account.rate_per_s,
            max(1.0, account.burst),
        )
        for account in accounts_with_limit(table)
    )


def limit_resource(account: str) -> str:
    """Returns the identifier of an account's limit as a quota resource."""
    return f"account/{account}"


def lenders(fleet: Fleet, now_s: float) -> tuple[str, ...]:
    """Returns the VMs that can lend, starting with this VM's zone and region.

    Args:
        fleet: Known VMs.
        now_s: Current time, in seconds.
    """
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
