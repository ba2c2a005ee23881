"""Measures how evenly the load is spread over targets."""

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from mulberrydeck.emulator import targets as emulated_targets

WINDOW_S = 0.5
TOP_FRACTION = 0.95


@attrs.define(eq=False)
class TargetPool:
    """The targets of one service in one region.

    Attributes:
        service: Name of the service.
        region: Name of the region.
        targets: The targets.
        free_slots: Number of free slots of all of them.
        waiting: Requests that wait at a target and have not yet done so while
            another one had a free slot.
    """

    service: str
    region: str
    targets: list["emulated_targets.EmulatedTarget"] = attrs.field(factory=list)
    free_slots: int = 0
    waiting: set["emulated_targets.Job"] = attrs.field(factory=set)

    def add(self, target: "emulated_targets.EmulatedTarget") -> None:
        """Adds a target without requests."""
        self.targets.append(target)
        self.free_slots += target.group.slots

    def wait_began(self, job: "emulated_targets.Job") -> None:
        """Records that a request waits; all slots of its target are in use."""
        job.wait.waited = True
        if self.free_slots:
            job.wait.beside_free_slot = True
        else:
            self.waiting.add(job)

    def wait_ended(self, job: "emulated_targets.Job") -> None:
        """Records that a request no longer waits."""
        self.waiting.discard(job)

    def slot_freed(self) -> None:
        """Records that a target has a slot that none of its queue needs."""
        for job in self.waiting:
            if not job.cancelled:
                job.wait.beside_free_slot = True
        self.waiting.clear()

    def take_unevenness(self) -> float:
        """Returns the unevenness since the last call, in slots.

        It is the 95th percentile less the median of the targets' mean numbers
        of slots in use.
        """
        used = sorted(
            target.take_slot_seconds() / WINDOW_S for target in self.targets
        )
        return _quantile(used, TOP_FRACTION) - statistics.median(used)


def _quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of sorted values, interpolated between two of them.

    Regions with few targets would else have the median as their 95th
    percentile.
    """
    position = fraction * (len(values) - 1)
    index = int(position)
    following = values[min(index + 1, len(values) - 1)]
    return values[index] + (position - index) * (following - values[index])
