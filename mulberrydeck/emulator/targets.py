"""Emulated targets: slots, a queue, and objects that are remembered."""

import collections
from collections.abc import Callable
import random

import attrs

from mulberrydeck.emulator import clock as clocks
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.steering import registry

WORK_SPREAD = 0.15  # Standard deviation of the work, relative to its mean.


@attrs.define(eq=False)
class Job:
    """A request at a target.

    Attributes:
        wanted: Its kind.
        object_key: Object that it concerns.
        done: Called when it has run.
        cancelled: Whether its VM gave it up.
    """

    wanted: scenarios.RequestClass
    object_key: str
    done: Callable[[], None]
    cancelled: bool = False


class EmulatedTarget:
    """One target.

    Attributes:
        entry: What it registered.
        running: Requests that it works on.
        waiting: Requests in its queue.
        work_s: Work done so far, in seconds.
        unknown: Requests for objects that it did not remember.
        runs: Requests that were run.
        slowness: Times the usual work that it needs now.
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
        self.known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.work_s = 0.0
        self.unknown = 0
        self.runs = 0
        self.slowness = 1.0

    @property
    def load(self) -> int:
        """Running and waiting requests."""
        return self.running + len(self.waiting)

    def offer(self, job: Job) -> bool:
        """Takes a request; returns whether there was room."""
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
        factor = job.wanted.warm_factor
        key = f"{job.wanted.name}/{job.object_key}"
        if key not in self.known:
            factor = 1.0
            self.unknown += 1
        self.known[key] = None
        self.known.move_to_end(key)
        if len(self.known) > self.group.remembered:
            self.known.popitem(last=False)
        spread = max(0.2, self.rng.gauss(1.0, WORK_SPREAD))
        work_s = job.wanted.work_s * factor * spread * self.slowness
        self.work_s += work_s
        self.clock.after(work_s, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self.running -= 1
        if not job.cancelled:
            job.done()
        while self.waiting and self.running < self.group.slots:
            following = self.waiting.popleft()
            if not following.cancelled:
                self._start(following)
