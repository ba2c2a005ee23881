"""State of the scheduler of a VM, and of its own requests for slots."""

import collections
import math

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import caches
from mulberrydeck.scheduling import work_times
from mulberrydeck.steering import outliers

# Decay of the load beyond the granted slots, which a target reported.
LOAD_DECAY_S = 0.3
# A machine's speed changes several times per second, so that a report says
# little about work that begins later.
SPEED_DECAY_S = 0.5
# Time over which the use of targets and accounts is averaged, in seconds.
USAGE_PERIOD_S = 5.0
# An attempt that takes this many times as long as expected shows that its
# target is slow, unless most others at the target do not.
OVERDUE_RATIO = 2.5

Key = tuple[str, str]
"""VM and identifier of a request."""


@attrs.define
class DecayingSum:
    """Sum of recent amounts, each of which decays exponentially.

    Attributes:
        value: The sum when it was last changed.
        changed_s: Time of the last change, in seconds.
    """

    value: float = 0.0
    changed_s: float = -math.inf

    def add(self, now_s: float, amount: float) -> None:
        """Adds an amount."""
        self.value = self.current(now_s) + amount
        self.changed_s = now_s

    def current(self, now_s: float) -> float:
        """Returns the decayed sum."""
        if not self.value:
            return 0.0
        return self.value * math.exp(-(now_s - self.changed_s) / USAGE_PERIOD_S)


@attrs.define(eq=False)
class Grant:
    """A granted slot.

    Attributes:
        key: VM and identifier of the request.
        incarnation: Process of the VM.
        target: Target whose slot it is.
        granted_s: Time of the grant, in seconds.
        deadline_s: Deadline of the request, in seconds.
        route: Name of the route; empty for a slot that the VM reported as held.
        object_digest: Hash of the request's object, or None.
        cache_rank: How many objects the target was sent since its object; None
            if it was not sent its object.
        expected_s: Expected duration at the usual speed, in seconds.
        attempt: Number of the attempt.
    """

    key: Key
    incarnation: str
    target: "ScheduledTarget"
    granted_s: float
    deadline_s: float
    route: str = ""
    object_digest: int | None = None
    cache_rank: int | None = None
    expected_s: float = work_times.INITIAL_S
    attempt: int = 0


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits for a slot of a target.

    Attributes:
        key: VM and identifier of the request.
        incarnation: Process of the VM.
        request: The request for a slot.
        target: Target for whose slot it waits.
        queued_s: Time from which it waits, in seconds.
        goal_s: Time of its latency goal, in seconds.
        deadline_s: Its deadline, in seconds.
        give_up_s: Latest time of the grant, in seconds.
        expected_s: Expected duration at its target, in seconds.
    """

    key: Key
    incarnation: str
    request: slot_messages.SlotRequest
    target: "ScheduledTarget"
    queued_s: float
    goal_s: float
    deadline_s: float
    give_up_s: float
    expected_s: float


@attrs.define(eq=False)
class ScheduledTarget:
    """A target with the slots that were granted.

    Attributes:
        name: Its name.
        process: Identifies its process; a new one has an empty cache.
        digest: Hash of its name.
        slots: Requests that it processes concurrently.
        grants: Granted slots by VM and request.
        queue: Requests that wait for one of its slots.
        cache: Objects for which requests were sent to it.
        pace: Durations relative to the expected ones.
        reported_speed: Work time as a multiple of the usual one.
        speed_reported_s: Time of that report, in seconds.
        others_load: Load beyond the grants at the last report.
        load_reported_s: Time of that report, in seconds.
        usage: Recently granted work, in seconds.
        attempts: Recent attempts.
        rejections: Recent attempts that it rejected.
        avoided_until_s: Until when VMs of a zone cannot use it, in seconds, by
            zone.
    """

    name: str
    process: tuple[object, ...]
    digest: int
    slots: int
    grants: dict[Key, Grant] = attrs.field(factory=dict)
    queue: list[QueuedRequest] = attrs.field(factory=list)
    cache: caches.TargetCache = attrs.field(factory=caches.TargetCache)
    pace: outliers.LatencyRatio = attrs.field(factory=outliers.LatencyRatio)
    reported_speed: float = 1.0
    speed_reported_s: float = -math.inf
    others_load: float = 0.0
    load_reported_s: float = -math.inf
    usage: DecayingSum = attrs.field(factory=DecayingSum)
    attempts: DecayingSum = attrs.field(factory=DecayingSum)
    rejections: DecayingSum = attrs.field(factory=DecayingSum)
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def free_slots(self, now_s: float) -> int:
        """Returns the number of slots that are free."""
        free = self.slots - len(self.grants)
        if free > 0 and self.others_load > 0:
            age_s = now_s - self.load_reported_s
            free -= round(self.others_load * math.exp(-age_s / LOAD_DECAY_S))
        return free

    def is_avoided(self, now_s: float, zone: str) -> bool:
        """Returns whether VMs of a zone cannot use it now."""
        return now_s < self.avoided_until_s.get(zone, now_s)

    def rejection_rate(self, now_s: float) -> float:
        """Returns the fraction of recent attempts that it rejected."""
        rejections = self.rejections.current(now_s)
        return rejections / (self.attempts.current(now_s) + 1.0)

    def work_factor(self, now_s: float) -> float:
        """Returns the expected work time as a multiple of the usual one."""
        age_s = now_s - self.speed_reported_s
        noise = (self.reported_speed - 1.0) * math.exp(-age_s / SPEED_DECAY_S)
        pace = self.pace.decayed(now_s)
        return max(0.5, 1.0 + noise) * max(1.0, pace, self._overdue(now_s))

    def _overdue(self, now_s: float) -> float:
        """Returns by how much most of its requests exceed what was expected."""
        if len(self.grants) < 2:
            return 1.0
        ratios = sorted(
            (now_s - grant.granted_s) / grant.expected_s
            for grant in self.grants.values()
        )
        typical = ratios[len(ratios) // 2]
        return typical if typical > OVERDUE_RATIO else 1.0


@attrs.define(eq=False)
class ServiceSchedule:
    """Targets of a service in the region of this VM.

    Attributes:
        targets: All registered ones by name.
        usable: Those that may be granted, sorted by digest.
        refreshed_s: When both were read from the directory, in seconds.
        slots: Slots of `usable`.
        usage: Number of recent grants by client account.
        cache_model: Which objects targets probably have cached.
        waits: Number of requests that wait.
        refused: Number of requests that were refused since process start.
    """

    targets: dict[str, ScheduledTarget] = attrs.field(factory=dict)
    usable: list[ScheduledTarget] = attrs.field(factory=list)
    refreshed_s: float = -math.inf
    slots: int = 0
    usage: dict[str, DecayingSum] = attrs.field(
        factory=lambda: collections.defaultdict(DecayingSum)
    )
    cache_model: caches.CacheModel = attrs.field(factory=caches.CacheModel)
    waits: int = 0
    refused: int = 0


@attrs.define(eq=False)
class Scheduler:
    """What a VM knows as the scheduler of services.

    Attributes:
        services: Targets of each service that this VM was asked for.
        grants: Granted slots by VM and request.
        queued: Requests that wait, by VM and request.
        expected: Expected durations of attempts.
        checked_s: When grants of VMs that died were last dropped, in seconds.
    """

    services: dict[str, ServiceSchedule] = attrs.field(factory=dict)
    grants: dict[Key, Grant] = attrs.field(factory=dict)
    queued: dict[Key, QueuedRequest] = attrs.field(factory=dict)
    expected: work_times.WorkTimes = attrs.field(factory=work_times.WorkTimes)
    checked_s: float = -math.inf


@attrs.define
class AskedSlot:
    """A request for a slot that this VM has sent.

    Attributes:
        scheduler: Name of the VM that was asked.
        region: Region of the targets.
        sent_s: When it was sent, in seconds.
        reply_by_s: Latest time of the next reply, in seconds.
        attempt: Number of the attempt.
        is_queued: Whether the scheduler has queued the request.
        decide_by_s: Latest time of a grant or a refusal of a queued request, in
            seconds.
    """

    scheduler: str
    region: str
    sent_s: float
    reply_by_s: float
    attempt: int
    is_queued: bool = False
    decide_by_s: float = -math.inf


@attrs.define
class ElectedSchedulers:
    """Schedulers of a service in a region, in order of preference.

    Attributes:
        names: Names of the VMs.
        elected_s: When they were determined, in seconds.
    """

    names: tuple[str, ...]
    elected_s: float


@attrs.define(eq=False)
class SlotClient:
    """State of this VM's requests for slots.

    Attributes:
        asked: Requests for slots without a grant, by request.
        avoided_until_s: Until when a VM is not asked, in seconds, by name.
        introduced: Process of each scheduler that knows the slots that this VM
            uses, by scheduler and service.
        elected: Schedulers by service and region.
        home_slots: Usable slots of a service by region, and when they were
            counted, in seconds.
        ticked_s: Time of the last tick, in seconds.
    """

    asked: dict[str, AskedSlot] = attrs.field(factory=dict)
    avoided_until_s: dict[str, float] = attrs.field(factory=dict)
    introduced: dict[tuple[str, str], str] = attrs.field(factory=dict)
    elected: dict[tuple[str, str], ElectedSchedulers] = attrs.field(
        factory=dict
    )
    home_slots: dict[str, tuple[float, dict[str, int]]] = attrs.field(
        factory=dict
    )
    ticked_s: float = -math.inf
