"""Faults, call budget and counters of the platform stand-in."""

import collections
import time

import attrs

ALWAYS = -1


@attrs.define
class Faults:
    """Faults of the platform; every field can change at run time.

    Attributes:
        outage: `off`; `refuse` responds with 503; `hang` holds every call
            until the outage ends, then responds with 503.
        slowness_s: Delay before every call takes effect, in seconds.
        lost_answers: Number of writes to apply without sending a response;
            -1 means all.
        list_lag_s: Age of the VM list that is returned, in seconds.
        reads_per_s: Limit on reads and watches; 0 means no limit.
        writes_per_s: Limit on writes; 0 means no limit.
        stale_revision: Revision of the store that reads and watches see;
            None means the latest.
    """

    outage: str = "off"
    slowness_s: float = 0.0
    lost_answers: int = 0
    list_lag_s: float = 0.0
    reads_per_s: int = 0
    writes_per_s: int = 0
    stale_revision: int | None = None

    def loses_response(self) -> bool:
        """Returns whether the response to this write is lost; counts it."""
        if self.lost_answers == 0:
            return False
        if self.lost_answers != ALWAYS:
            self.lost_answers -= 1
        return True


@attrs.define
class Counters:
    """Counts of calls since the start or the last reset.

    Attributes:
        reads: Gets, lists and VM lists.
        writes: Puts and deletes.
        watches: Watch calls; each also counts against the read budget.
        conflicts: Writes whose condition did not hold.
        over_budget: Calls refused because the budget was used up.
        by_source: Calls by the IP address of the caller.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0
    over_budget: int = 0
    by_source: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def count(self, kind: str, source: str) -> None:
        """Counts one call.

        Args:
            kind: `reads`, `writes` or `watches`.
            source: IP address of the caller.
        """
        setattr(self, kind, getattr(self, kind) + 1)
        self.by_source[source] += 1


@attrs.define
class Budget:
    """A limit on the number of calls in each second.

    Attributes:
        second: Second of the monotonic clock that is being counted.
        spent: Calls in this second, `reads` or `writes`.
    """

    second: int = 0
    spent: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def allows(self, kind: str, limit_per_s: int) -> bool:
        """Counts one call and returns whether it is within the limit."""
        now = int(time.monotonic())
        if now != self.second:
            self.second = now
            self.spent.clear()
        self.spent[kind] += 1
        return limit_per_s == 0 or self.spent[kind] <= limit_per_s
