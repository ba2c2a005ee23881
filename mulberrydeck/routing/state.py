"""State of the routing part."""

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
        echo_s: `sent_s` of its last heartbeat seen by the holder, in seconds
            on that VM's clock.
    """

    name: str
    echo_s: float


@attrs.define
class Promise:
    """A target that one VM may hold a valid grant for.

    Attributes:
        owner: Name of the VM.
        until_s: When its grant has surely expired, in seconds.
        sequence: Sequence of the last grant that named the target.
    """

    owner: str
    until_s: float
    sequence: int


@attrs.define
class Assignment:
    """The zone holder's side.

    Attributes:
        epoch: Epoch in which this VM is the holder; 0 before the first.
        quiet_until_s: Nothing is granted before this time, in seconds, since
            grants of an earlier holder may still be valid.
        last_assign_s: When targets were last assigned, in seconds.
        sequence: Sequence of the last grant sent.
        members: Names of the live VMs, sorted.
        owner_by_target: Planned owner of each target.
        promises: Grants that may be valid, by target.
        sent_echo_s: `echo_s` of the last grant, by VM.
        sent_targets: Targets of the last grant, by VM.
        plan_stale: Whether targets have changed since the last plan.
        grantable: Targets that each VM may be granted now.
        grantable_stale: Whether `grantable` must be worked out again.
    """

    epoch: int = 0
    quiet_until_s: float = math.inf
    last_assign_s: float = -math.inf
    sequence: int = 0
    members: tuple[str, ...] = ()
    owner_by_target: dict[str, str] = attrs.field(factory=dict)
    promises: dict[str, Promise] = attrs.field(factory=dict)
    sent_echo_s: dict[str, float] = attrs.field(factory=dict)
    sent_targets: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    plan_stale: bool = True
    grantable: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    grantable_stale: bool = True


@attrs.define
class Grants:
    """The owner's side.

    Attributes:
        epoch: Highest epoch seen.
        sequence: Highest grant sequence seen in that epoch.
        holder: VM that sent the last grant.
        expires_s: When each target's grant expires, in seconds.
        withdrawn: Targets that the holder wants back, with the time at which
            their grants expire, in seconds.
        released: Withdrawn targets that were released since the last grant.
        stopping: Whether this VM gives back all that it is granted.
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
    """The request waits; `SlotDecided` will be raised for it."""


@attrs.frozen
class Full:
    """There is no slot and no place to wait.

    Attributes:
        retry_after_s: When a slot is likely to be free, in seconds.
    """

    retry_after_s: float


@attrs.define
class Use:
    """A slot of an owned target in use by a request.

    Attributes:
        target: Name of the target.
        since_s: When the slot was taken, in seconds.
    """

    target: str
    since_s: float


@attrs.define
class Relay:
    """A request that was relayed to another VM.

    Attributes:
        service: Name of the service.
        vm: Name of the VM.
        since_s: When it was sent, in seconds.
    """

    service: str
    vm: str
    since_s: float


@attrs.define
class ServiceState:
    """What a VM keeps per service.

    Attributes:
        queue: Requests that wait for a slot.
        hold_s: Moving average of the time that a request holds a slot, in
            seconds.
        zone_ramps: Growth of each zone's share of this VM's traffic.
        has_others: Whether a VM had usable slots at the last choice.
    """

    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    hold_s: float = 0.1
    zone_ramps: dict[str, ramp.ZoneRamp] = attrs.field(factory=dict)
    has_others: bool = True


@attrs.define
class AccountCounts:
    """How the slot admission treated one client account.

    Attributes:
        granted: Requests that got a slot.
        refused: Requests that got none.
    """

    granted: int = 0
    refused: int = 0


@attrs.define
class RoutingState:
    """State of the routing part.

    Attributes:
        vm_name: Name of this VM.
        zone: Availability zone of this VM.
        settings: Settings of this VM.
        seed: Seed of the random choices.
        rng: Random generator made from the seed.
        compiled: Configuration in force, or None.
        started_s: When the first event came, in seconds; None before it.
        targets: Targets of this VM's zone by name.
        by_service: Names of the zone's targets by service.
        granted: Names of the targets granted to this VM by service; a grant
            may have expired since.
        assignment: The zone holder's side of ownership.
        grants: The owner's side of ownership.
        services: State per service.
        uses: Slots in use by request.
        waiting: Service and account of each waiting request.
        peers: What the other VMs report.
        relays: Relayed requests in flight.
        relays_by_vm: Requests in flight by service and VM.
        refused_by_vm: When a VM last refused a relayed request, in seconds, by
            service and VM.
        accounts: Counts per client account.
    """

    vm_name: str
    zone: str
    settings: declarations.Settings
    seed: int
    rng: random.Random = attrs.field(init=False)
    compiled: object | None = None
    started_s: float | None = None
    targets: dict[str, target_state.TargetState] = attrs.field(factory=dict)
    by_service: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    granted: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    assignment: Assignment = attrs.field(factory=Assignment)
    grants: Grants = attrs.field(factory=Grants)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    uses: dict[str, Use] = attrs.field(factory=dict)
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
    """Returns the state of a service, made when it is first needed."""
    found = state.services.get(service)
    if found is None:
        found = ServiceState()
        state.services[service] = found
    return found
