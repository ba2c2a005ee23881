"""Emulated targets with slots, a queue and a cache of objects."""

import collections
from collections.abc import Callable
import random

import attrs

from mulberrydeck.emulator import clock as clocks
from mulberrydeck.emulator import scenario as scenarios
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
        cancelled: Whether the VM has ended the attempt, as its deadline passed.
    """

    kind: scenarios.RequestClass
    object_key: str
    on_done: Callable[[], None]
    cancelled: bool = False


class EmulatedTarget:
    """An emulated target.

    Attributes:
        entry: Its entry in the registry.
        running: Number of requests in progress.
        waiting: Requests in its queue.
        cached_objects: Keys of the objects in its cache, least recently used
            first.
        work_s: Processing time of all requests that were started, in seconds.
        cache_misses: Number of requests that were started for objects that were
            not in its cache.
        runs: Number of requests that were started.
        work_factor: Current processing time of a request, as a multiple of the
            usual one.
    """

    def __init__(
        self,
        entry: registry.TargetEntry,
        group: scenarios.TargetGroup,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.entry = entry
        self.group = group
        self.clock = clock
        self.rng = rng
        self.running = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.cached_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.work_s = 0.0
        self.cache_misses = 0
        self.runs = 0
        self.work_factor = 1.0

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self.waiting)

    def try_accept(self, job: Job) -> bool:
        """Accepts a request if there is capacity; returns whether it did."""
        if self.running < self.group.slots:
            self._start(job)
            return True
        if len(self.waiting) >= self.group.queue:
            return False
        self.waiting.append(job)
        return True

    def _start(self, job: Job) -> None:
        self.running += 1
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
        work_s = job.kind.work_s * factor * spread * self.work_factor
        self.work_s += work_s
        self.clock.after(work_s, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self.running -= 1
        if not job.cancelled:
            job.on_done()
        while self.waiting and self.running < self.group.slots:
            next_job = self.waiting.popleft()
            if not next_job.cancelled:
                self._start(next_job)
