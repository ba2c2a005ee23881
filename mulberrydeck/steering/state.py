"""State of the reducer on one VM."""

import random

import attrs

from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.steering import feeding
from mulberrydeck.steering import heartbeats
from mulberrydeck.steering import members
from mulberrydeck.steering import outliers
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import tables
from mulberrydeck.steering import targets


@attrs.define(eq=False)
class Request:
    """A request in progress.

    Attributes:
        request_id: Unique identifier of this handling.
        route: Its route.
        account: Its client account, or None on public routes.
        service: Service that must run it.
        object_digest: Hash of the object that it concerns, or None.
        allowed_regions: Regions that may run it; None for all.
        arrived_s: When its head was read, in seconds.
        ends_s: When the final answer is due, in seconds.
        target: Target of the running attempt, or None.
        attempt_s: When that attempt began, in seconds.
        sent: Attempts sent so far.
        tried: Names of targets that were tried.
        may_have_run: Whether an attempt ended with an unknown outcome.
    """

    request_id: str
    route: tables.Route
    account: tables.Account | None
    service: str
    object_digest: int | None
    allowed_regions: frozenset[str] | None
    arrived_s: float
    ends_s: float
    target: targets.Target | None = None
    attempt_s: float = 0.0
    sent: int = 0
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.repeatability is tables.Repeatability.SAFE

    @property
    def account_name(self) -> str:
        """Name of its client account, or empty."""
        return "" if self.account is None else self.account.name


@attrs.define(eq=False)
class State:
    """All state of one VM.

    Attributes:
        settings: Settings of this VM.
        now_s: Time of the event in progress, in seconds.
        rng: Source of random choices.
        table: Configuration in force, or None.
        book: Known targets.
        fleet: Known entry VMs.
        feed: How this VM learns what the store holds.
        beat_schedule: When and to whom heartbeats go.
        quota: This VM's part of account limits.
        pacer: Spaces requests to targets that are or may be cold.
        retry_budgets: This VM's part of each service's retries.
        route_times: Mean times of requests.
        requests: Requests in progress by identifier.
        lost_kinds: Kinds of objects that cannot be followed, with the time
            since when, in seconds.
        stopping: Whether a planned stop has begun.
        choose: Choice of a target for a request.
    """

    settings: settings_module.SteeringSettings
    now_s: float
    rng: random.Random
    book: targets.TargetDirectory
    fleet: members.Fleet
    quota: quota_state.QuotaState
    pacer: pacing.ColdPacer
    table: tables.RoutingTable | None = None
    retry_budgets: dict[str, pacing.RetryBudget] = attrs.field(factory=dict)
    route_times: outliers.RouteLatencies = attrs.field(
        factory=outliers.RouteLatencies
    )
    requests: dict[str, Request] = attrs.field(factory=dict)
    lost_kinds: dict[str, float] = attrs.field(factory=dict)
    stopping: bool = False
    beat_schedule: heartbeats.Schedule = attrs.field(
        factory=heartbeats.Schedule
    )
    feed: feeding.Feeding = attrs.field(factory=feeding.Feeding)
    choose: placement.SelectionPolicy = placement.choose

    def news_age_s(self) -> float:
        """Returns for how long changes in the store may be unknown here."""
        return feeding.news_age_s(self.feed, self.now_s)


def create(
    settings: settings_module.SteeringSettings,
    incarnation: str,
    now_s: float,
    seed: int,
) -> State:
    """Returns the state of a process that has just started.

    Args:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
        now_s: Current time, in seconds.
        seed: Seed of random choices.
    """
    return State(
        settings=settings,
        now_s=now_s,
        rng=random.Random(seed),
        book=targets.TargetDirectory(settings.region_by_zone),
        fleet=members.Fleet(settings, incarnation, started_s=now_s),
        quota=quota_state.QuotaState(incarnation, settings),
        pacer=pacing.ColdPacer(
            hashing.digest(settings.name),
            settings.cold_overage,
            settings.cold_extra,
        ),
    )
