"""State of the routing subsystem."""

import math
import random

import attrs

from mulberrydeck.routing import peer_index
from mulberrydeck.routing import queueing
from mulberrydeck.routing import ramp
from mulberrydeck.routing import target_state
from mulberrydeck.settings import declarations


@attrs.frozen
class ZoneMember:
    """A live VM of the holder's zone.

    Attributes:
        name: Name of the VM.
        echo_s: `sent_s` of the last heartbeat that the holder received from it,
            in seconds on that VM's clock.
    """

    name: str
    echo_s: float


@attrs.define
class OutstandingGrant:
    """The holder's record of a grant that may still be valid, for one target.

    Attributes:
        owner: Name of the VM that holds the grant.
        expires_s: When the grant has certainly expired, in seconds.
        sequence: Sequence number of the last grant that named the target.
    """

    owner: str
    expires_s: float
    sequence: int


@attrs.define
class Assignment:
    """Ownership of the zone's targets as recorded by the zone holder.

    Attributes:
        epoch: Epoch in which this VM is the holder; 0 before the first.
        earliest_new_grant_s: Before this time, in seconds, grants are only
            renewed, since grants of an earlier holder may still be valid.
        last_assign_s: When targets were last assigned, in seconds.
        sequence: Sequence number of the last grant sent.
        members: Names of the live VMs in the last plan, sorted.
        owner_by_target: Planned owner of each target.
        outstanding_grants: Grants that may be valid, by target.
        sent_echo_s: `echo_s` of the last grant sent, by VM.
        sent_targets: Targets of the last grant sent, by VM.
        plan_stale: Whether the targets or the epoch have changed since the last
            plan.
        grantable: Targets that may be granted now, by VM.
        grantable_stale: Whether `grantable` must be recomputed.
    """

    epoch: int = 0
    earliest_new_grant_s: float = math.inf
    last_assign_s: float = -math.inf
    sequence: int = 0
    members: tuple[str, ...] = ()
    owner_by_target: dict[str, str] = attrs.field(factory=dict)
    outstanding_grants: dict[str, OutstandingGrant] = attrs.field(factory=dict)
    sent_echo_s: dict[str, float] = attrs.field(factory=dict)
    sent_targets: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    plan_stale: bool = True
    grantable: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    grantable_stale: bool = True


@attrs.define
class Grants:
    """Grants that this VM holds as an owner of targets.

    Attributes:
        epoch: Highest epoch seen.
        sequence: Highest sequence number of a grant in that epoch.
        holder: Name of the zone holder.
        expires_s: When each grant expires, in seconds, by target.
        withdrawn: Targets that this VM no longer sends new work to although
            their grants are valid, with the expiry of the grant in seconds.
        released: Withdrawn targets that were released since the last grant.
        stopping: Whether this VM is stopping and releases all targets.
    """

    epoch: int = 0
    sequence: int = 0
    holder: str = ""
    expires_s: dict[str, float] = attrs.field(factory=dict)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    released: set[str] = attrs.field(factory=set)
    stopping: bool = False


@attrs.frozen
class Acquired:
    """The request has a slot.

    Attributes:
        target: Name of the target.
        address: Its address, `host:port`.
    """

    target: str
    address: str


@attrs.frozen
class Queued:
    """The request is queued; a `SlotDecided` event will end its wait."""


@attrs.frozen
class Full:
    """There is no free slot and no room in the queue.

    Attributes:
        retry_after_s: Time after which a slot is likely to be free, in seconds.
    """

    retry_after_s: float


@attrs.define
class SlotUse:
    """Use of a slot of an owned target by a request.

    Attributes:
        target: Name of the target.
        acquired_s: When the slot was acquired, in seconds.
    """

    target: str
    acquired_s: float


@attrs.define
class Relay:
    """A request that was relayed to another VM.

    Attributes:
        service: Name of the service.
        vm: Name of the VM.
        sent_s: When it was sent, in seconds.
    """

    service: str
    vm: str
    sent_s: float


@attrs.define
class ServiceState:
    """State of one service.

    Attributes:
        queue: Requests that wait for a slot.
        mean_hold_s: Moving average of the time that a request holds a slot, in
            seconds.
        zone_ramps: Ramp-up of each zone's share of this VM's traffic.
        has_alternative: Whether any VM had usable slots at the last choice, so
            that the last resort is not needed.
    """

    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    mean_hold_s: float = 0.1
    zone_ramps: dict[str, ramp.ZoneRamp] = attrs.field(factory=dict)
    has_alternative: bool = True


@attrs.define
class AccountCounts:
    """Results of slot admission for one client account.

    Attributes:
        granted: Requests that got a slot.
        refused: Requests that got no slot.
    """

    granted: int = 0
    refused: int = 0


@attrs.define
class RoutingState:
    """State of the routing subsystem.

    Attributes:
        vm_name: Name of this VM.
        zone: Availability zone of this VM.
        settings: Settings of this VM.
        seed: Seed of the random choices.
        rng: Random generator seeded with `seed`.
        compiled: Configuration in force, or None.
        started_s: Time of the first event, in seconds; None before it.
        targets: Targets of this VM's zone, by name.
        target_names_by_service: Names of the zone's targets, by service.
        granted_by_service: Names of the targets granted to this VM, by service;
            grants may have expired since.
        assignment: Ownership as recorded by the zone holder.
        grants: Grants that this VM holds.
        services: State of each service, by name.
        slot_uses: Slots in use, by request.
        waiting: Service and account of each waiting request, by request.
        peers: Capacity reported by the other VMs.
        relays: Relayed requests in flight, by request.
        relays_by_vm: When each relayed request in flight was sent, in seconds,
            by service and VM, then by request.
        refused_by_vm: When a VM last refused a relayed request, in seconds, by
            service and VM.
        accounts: Counts by client account.
    """

    vm_name: str
    zone: str
    settings: declarations.Settings
    seed: int
    rng: random.Random = attrs.field(init=False)
    compiled: object | None = None
    started_s: float | None = None
    targets: dict[str, target_state.TargetState] = attrs.field(factory=dict)
    target_names_by_service: dict[str, tuple[str, ...]] = attrs.field(
        factory=dict
    )
    granted_by_service: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    assignment: Assignment = attrs.field(factory=Assignment)
    grants: Grants = attrs.field(factory=Grants)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    slot_uses: dict[str, SlotUse] = attrs.field(factory=dict)
    waiting: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    peers: peer_index.PeerIndex = attrs.field(factory=peer_index.PeerIndex)
    relays: dict[str, Relay] = attrs.field(factory=dict)
    relays_by_vm: dict[tuple[str, str], dict[str, float]] = attrs.field(
        factory=dict
    )
    refused_by_vm: dict[tuple[str, str], float] = attrs.field(factory=dict)
    accounts: dict[str, AccountCounts] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Seeds the random generator."""
        self.rng = random.Random(self.seed)


def service_state(state: RoutingState, service: str) -> ServiceState:
    """Returns the state of a service, created on first use."""
    current = state.services.get(service)
    if current is None:
        current = ServiceState()
        state.services[service] = current
    return current
