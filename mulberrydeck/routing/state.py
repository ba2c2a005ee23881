"""State of the routing part."""

import random

import attrs

from mulberrydeck.routing import ownership
from mulberrydeck.routing import queueing
from mulberrydeck.routing import ramp
from mulberrydeck.routing import target_state
from mulberrydeck.settings import declarations


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
        peer_slots: Usable and free slots of the other VMs of the own zone, as
            last reported.
    """

    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    hold_s: float = 0.1
    zone_ramps: dict[str, ramp.ZoneRamp] = attrs.field(factory=dict)
    peer_slots: tuple[int, int] = (0, 0)


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
        assignment: The zone holder's side of ownership.
        grants: The owner's side of ownership.
        services: State per service.
        uses: Slots in use by request.
        waiting: Service and account of each waiting request.
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
    assignment: ownership.Assignment = attrs.field(factory=ownership.Assignment)
    grants: ownership.Grants = attrs.field(factory=ownership.Grants)
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    uses: dict[str, Use] = attrs.field(factory=dict)
    waiting: dict[str, tuple[str, str]] = attrs.field(factory=dict)
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


def owned_targets(
    state: RoutingState, now_s: float, service: str
) -> list[target_state.TargetState]:
    """Returns the targets of a service that this VM may send work to.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    return [
        state.targets[name]
        for name in state.by_service.get(service, ())
        if ownership.owns(state.grants, name, now_s)
    ]
