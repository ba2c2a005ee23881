"""Emulated targets with slots, a queue and a cache of objects."""

import collections
from collections.abc import Callable
import random

import attrs

from mulberrydeck.emulator import balance
from mulberrydeck.emulator import clock as clocks
from mulberrydeck.emulator import results
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.platform import headers
from mulberrydeck.steering import registry

# Standard deviation of processing times, relative to their mean.
WORK_SPREAD = 0.15


@attrs.define(eq=False)
class Job:
    """A request at a target.

    Attributes:
        kind: Its kind.
        object_key: Object that it concerns.
        on_done: Called when it has run.
        wait: Records whether it waits.
        work_factor: Its processing time as a multiple of that of others of its
            kind.
        cancelled: Whether the VM has ended the attempt, as its deadline passed.
        remaining_s: Processing time that remains without other users of the
            machine, in seconds, as of `updated_s`.
        updated_s: When `remaining_s` was updated, in seconds.
        end_s: When it will have run at the current speed, in seconds.
    """

    kind: scenarios.RequestClass
    object_key: str
    on_done: Callable[[], None]
    wait: results.Wait = attrs.field(factory=results.Wait)
    work_factor: float = 1.0
    cancelled: bool = False
    remaining_s: float = 0.0
    updated_s: float = 0.0
    end_s: float = 0.0


class EmulatedTarget:
    """An emulated target.

    Attributes:
        entry: Its entry in the registry.
        running: Requests in progress.
        waiting: Requests in its queue.
        cached_objects: Keys of the objects in its cache, least recently used
            first.
        cache_misses: Number of requests that were started for objects that were
            not in its cache.
        runs: Number of requests that were started.
        work_factor: Processing time of requests that start now, as a multiple
            of the usual one.
        noise_factor: Current processing time of all requests, in progress as
            well, as a multiple of that without other users of its machine.
        report_age_s: Age of the load that it reports, in seconds.
    """

    def __init__(
        self,
        entry: registry.TargetEntry,
        group: scenarios.TargetGroup,
        clock: clocks.Clock,
        rng: random.Random,
        pool: balance.TargetPool,
        report_age_s: float = 0.0,
    ) -> None:
        self.entry = entry
        self.group = group
        self.clock = clock
        self.rng = rng
        self.pool = pool
        self.report_age_s = report_age_s
        self.running: dict[Job, None] = {}
        self.waiting: collections.deque[Job] = collections.deque()
        self.cached_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_misses = 0
        self.runs = 0
        self.work_factor = 1.0
        self.noise_factor = 1.0
        self._slot_seconds = 0.0
        self._used_since_s = 0.0
        # Loads with the times at which they began.
        self._loads: collections.deque[tuple[float, headers.TargetLoad]] = (
            collections.deque(((0.0, self._current_load()),))
        )
        pool.add(self)

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def reported_load(self) -> headers.TargetLoad:
        """Returns the load that a response reports now."""
        at_s = self.clock.now_s - self.report_age_s
        while len(self._loads) > 1 and self._loads[1][0] <= at_s:
            self._loads.popleft()
        return self._loads[0][1]

    def take_slot_seconds(self) -> float:
        """Returns the slot seconds in use since the last call."""
        self._count_slot_seconds()
        taken, self._slot_seconds = self._slot_seconds, 0.0
        return taken

    def try_accept(self, job: Job) -> bool:
        """Accepts a request if there is capacity; returns whether it did."""
        if len(self.running) < self.group.slots:
            self._start(job)
            self._load_changed()
            return True
        if len(self.waiting) >= self.group.queue:
            return False
        self.waiting.append(job)
        self.pool.wait_began(job)
        self._load_changed()
        return True

    def set_work_factor(self, work_factor: float) -> None:
        """Changes the speed of the requests that start from now on."""
        self.work_factor = work_factor
        self._load_changed()

    def set_noise_factor(self, noise_factor: float) -> None:
        """Changes the speed of all requests, in progress as well."""
        previous = self.noise_factor
        if noise_factor == previous:
            return
        self.noise_factor = noise_factor
        now_s = self.clock.now_s
        for job in self.running:
            job.remaining_s -= (now_s - job.updated_s) / previous
            self._schedule_end(job)
        self._load_changed()

    def _start(self, job: Job) -> None:
        self._count_slot_seconds()
        self.running[job] = None
        self.pool.free_slots -= 1
        self.runs += 1
        factor = job.kind.warm_factor
        key = f"{job.kind.name}/{job.object_key}"
        if key not in self.cached_objects:
            factor = 1.0
            self.cache_misses += 1
        self.cached_objects[key] = None
        self.cached_objects.move_to_end(key)
        if len(self.cached_objects) > self.group.remembered:
            self.cached_objects.popitem(last=False)
        spread = max(0.2, self.rng.gauss(1.0, WORK_SPREAD))
        factor *= spread * job.work_factor * self.work_factor
        job.remaining_s = job.kind.work_s * factor
        self._schedule_end(job)

    def _schedule_end(self, job: Job) -> None:
        job.updated_s = self.clock.now_s
        delay_s = job.remaining_s * self.noise_factor
        end_s = job.updated_s + delay_s
        job.end_s = end_s

        def end() -> None:
            # Otherwise, a change of speed has moved the end.
            if job.end_s == end_s and job in self.running:
                self._finish(job)

        self.clock.after(delay_s, end)

    def _finish(self, job: Job) -> None:
        self._count_slot_seconds()
        del self.running[job]
        self.pool.free_slots += 1
        while self.waiting and len(self.running) < self.group.slots:
            next_job = self.waiting.popleft()
            self.pool.wait_ended(next_job)
            if not next_job.cancelled:
                self._start(next_job)
        if len(self.running) < self.group.slots:
            self.pool.slot_freed()
        self._load_changed()
        if not job.cancelled:
            job.on_done()

    def _count_slot_seconds(self) -> None:
        now_s = self.clock.now_s
        used_s = now_s - self._used_since_s
        self._slot_seconds += len(self.running) * used_s
        self._used_since_s = now_s

    def _current_load(self) -> headers.TargetLoad:
        speed = None
        if self.group.reports_speed:
            speed = self.work_factor * self.noise_factor
        return headers.TargetLoad(
            len(self.running), len(self.waiting), self.group.slots, speed
        )

    def _load_changed(self) -> None:
        self._loads.append((self.clock.now_s, self._current_load()))
        self.reported_load()  # Drops loads that are too old to be reported.
