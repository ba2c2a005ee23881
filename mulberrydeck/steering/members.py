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
    """

    record: registry.VmRecord
    last_heartbeat_s: float = -math.inf
    incarnation: str = ""
    leaving: bool = False
    ready: bool = False
    reaches_store: bool = False


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
        vms_without_old_loans: VMs that have reported that they hold no loans
            from this VM's earlier processes.
        old_loans_excluded: Whether loans from earlier processes of this VM
            can no longer exist.
        limit_owners: Owners of the units of limits in a large fleet.
    """

    settings: settings_module.SteeringSettings
    incarnation: str
    peers: dict[str, Peer] = attrs.field(factory=dict)
    names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    region_names: tuple[str, ...] = ()
    started_s: float = 0.0
    vms_without_old_loans: set[str] = attrs.field(factory=set)
    old_loans_excluded: bool = False
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
        elif peer.record != record:
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
    if not heartbeat.holds_loans:
        fleet.vms_without_old_loans.add(sender)
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
    return produced


def exclude_old_loans(fleet: Fleet, now_s: float) -> bool:
    """Returns whether it has just become certain that no old loans exist.

    Old loans are those that earlier processes of this VM granted. The result is
    true once per process: when all other VMs have reported that they hold
    none, or when all of them must have expired; at the very first start of the
    fleet, once the registered VMs are known.
    """
    if fleet.old_loans_excluded or not fleet.names:
        return False
    settings = fleet.settings
    max_loan_s = settings.quota_lease_s + settings.lease_margin_s
    fleet.old_loans_excluded = (
        settings.first_start
        or fleet.peers.keys() <= fleet.vms_without_old_loans
        or now_s >= fleet.started_s + max_loan_s
    )
    return fleet.old_loans_excluded


def limit_owners(fleet: Fleet, account: tables.Account) -> tuple[str, ...]:
    """Returns the registered VMs that own the units of an account's limit."""
    if fleet.is_mesh:
        return fleet.names
    return fleet.limit_owners.of(account)


def own_units(fleet: Fleet, owners: tuple[str, ...]) -> int:
    """Returns the number of units of an account's limit that this VM owns.

    The shares of all owners add up to `UNITS_PER_LIMIT`.

    Args:
        fleet: Known VMs.
        owners: VMs that own units of the limit, sorted.
    """
    if fleet.settings.name not in owners:
        return 0
    index = owners.index(fleet.settings.name)
    base, rest = divmod(UNITS_PER_LIMIT, len(owners))
    return base + (index < rest)


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
