"""State of the reducer on one VM."""

import math
import random

import attrs

from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import state as scheduling
from mulberrydeck.steering import events
from mulberrydeck.steering import heartbeats
from mulberrydeck.steering import members
from mulberrydeck.steering import outliers
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import source_selection
from mulberrydeck.steering import tables
from mulberrydeck.steering import targets


@attrs.define(eq=False)
class Request:
    """A request in progress.

    Attributes:
        request_id: Identifier that is unique to this handling of the request.
        route: Route that the request matches.
        account: Client account, or None on public routes.
        service: Service whose targets may run the request.
        object_digest: Hash of the request's object key, or None.
        allowed_regions: Regions whose targets may run it; None for all.
        arrived_s: When its head was read, in seconds.
        deadline_s: Deadline of the final response, in seconds.
        target: Target of the current attempt, or None.
        attempt_s: When the current attempt began, in seconds.
        sent: Number of attempts so far, without those that could not be sent.
        tried: Names of the targets tried so far.
        may_have_run: Whether an attempt ended with an unknown outcome or a
            server error.
        deliverable: Whether the response of the last attempt is delivered if no
            other target can run the request.
        slot_holders: Schedulers that know of the slot that it uses.
        slot_attempt: Number of times that a scheduler was asked for a slot.
        spilled: Whether a slot in a second region was asked for.
        retry_after_s: Delay that the first region's scheduler advised, in
            seconds.
    """

    request_id: str
    route: tables.Route
    account: tables.Account | None
    service: str
    object_digest: int | None
    allowed_regions: frozenset[str] | None
    arrived_s: float
    deadline_s: float
    target: targets.Target | None = None
    attempt_s: float = 0.0
    sent: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    deliverable: bool = False
    slot_holders: set[str] = attrs.field(factory=set)
    slot_attempt: int = 0
    spilled: bool = False
    retry_after_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.repeatability is tables.Repeatability.SAFE

    @property
    def account_name(self) -> str:
        """Name of the client account, or empty."""
        return "" if self.account is None else self.account.name


@attrs.define(eq=False)
class State:
    """All state of one VM.

    Attributes:
        settings: Settings of this VM.
        now_s: Time of the current event, in seconds.
        rng: Random number generator.
        table: Configuration in force, or None before the first one is read.
        target_directory: Known targets.
        fleet: Known entry VMs.
        store_source: State that selects the source of updates of the store.
        heartbeat_schedule: When the next heartbeat is sent, and to which VMs.
        quota: This VM's share of account limits.
        pacer: Limits the rate of requests to targets that are or may be cold.
        retry_budgets: This VM's share of each service's retry budget, by
            service.
        route_latencies: Mean latencies of requests by route.
        requests: Requests in progress by identifier.
        lost_kinds: Kinds of objects that cannot be read from the store, with
            the time at which this began, in seconds.
        held_evacuations: Latest evacuated zones, while earlier ones hold too
            because the store came back from an older copy.
        stopping: Whether a planned stop has begun.
        finish_by_s: When the last request must have ended, in seconds; infinite
            unless a planned stop has begun.
        headroom: Factor on this VM's share of callers, below 1 if it is short
            of memory, descriptors or link.
        choose: Function that chooses a target for a request.
        scheduler: What this VM knows as the scheduler of services.
        slot_client: This VM's requests for slots.
    """

    settings: settings_module.SteeringSettings
    now_s: float
    rng: random.Random
    target_directory: targets.TargetDirectory
    fleet: members.Fleet
    quota: quota_state.QuotaState
    pacer: pacing.ColdPacer
    table: tables.RoutingTable | None = None
    retry_budgets: dict[str, pacing.RetryBudget] = attrs.field(factory=dict)
    route_latencies: outliers.RouteLatencies = attrs.field(
        factory=outliers.RouteLatencies
    )
    requests: dict[str, Request] = attrs.field(factory=dict)
    lost_kinds: dict[str, float] = attrs.field(factory=dict)
    held_evacuations: events.ZonesEvacuated | None = None
    stopping: bool = False
    finish_by_s: float = math.inf
    headroom: float = 1.0
    heartbeat_schedule: heartbeats.Schedule = attrs.field(
        factory=heartbeats.Schedule
    )
    store_source: source_selection.SourceSelection = attrs.field(
        factory=source_selection.SourceSelection
    )
    choose: placement.SelectionPolicy = placement.choose
    scheduler: scheduling.Scheduler = attrs.field(factory=scheduling.Scheduler)
    slot_client: scheduling.SlotClient = attrs.field(
        factory=scheduling.SlotClient
    )

    def staleness_s(self) -> float:
        """Returns how long changes in the store may be unknown, in seconds."""
        return source_selection.staleness_s(self.store_source, self.now_s)


def create(
    settings: settings_module.SteeringSettings,
    incarnation: str,
    now_s: float,
    seed: int,
) -> State:
    """Returns the initial state of a process.

    Args:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
        now_s: Current time, in seconds.
        seed: Seed of the random number generator.
    """
    return State(
        settings=settings,
        now_s=now_s,
        rng=random.Random(seed),
        target_directory=targets.TargetDirectory(settings.region_by_zone),
        fleet=members.Fleet(settings, incarnation, started_s=now_s),
        quota=quota_state.QuotaState(incarnation, settings, units_held=True),
        pacer=pacing.ColdPacer(
            hashing.digest(settings.name),
            settings.cold_overage,
            settings.cold_extra,
        ),
    )
