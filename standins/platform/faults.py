"""Faults, call budget and counters of the platform stand-in."""

import collections
import time

import attrs

UNTIL_OFF = -1


@attrs.define
class Faults:
    """What is wrong with the platform at the moment.

    Attributes:
        outage: `off`; `refuse` answers 503; `hang` holds every call until
            the outage ends, then answers 503.
        slowness_s: Delay before every call takes effect, in seconds.
        lost_answers: Writes to apply and then drop without an answer; -1
            means all.
        list_lag_s: Age of the VM list that is shown, in seconds.
        reads_per_s: Budget of reads; 0 means no bound.
        writes_per_s: Budget of writes; 0 means no bound.
        stale_revision: Reads see the store as of this revision; None means
            the latest.
    """

    outage: str = "off"
    slowness_s: float = 0.0
    lost_answers: int = 0
    list_lag_s: float = 0.0
    reads_per_s: int = 0
    writes_per_s: int = 0
    stale_revision: int | None = None

    def takes_answer(self) -> bool:
        """Returns whether the answer of this write is lost, counting it."""
        if self.lost_answers == 0:
            return False
        if self.lost_answers != UNTIL_OFF:
            self.lost_answers -= 1
        return True


@attrs.define
class Counters:
    """Calls since the start or the last reset.

    Attributes:
        reads: Gets, lists and VM lists.
        writes: Puts and deletes.
        watches: Watch calls; each also counts against the read budget.
        conflicts: Writes whose condition did not hold.
        over_budget: Calls that the budget refused.
        by_source: Calls by the peer's IP.
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
            source: IP of the caller.
        """
        setattr(self, kind, getattr(self, kind) + 1)
        self.by_source[source] += 1


@attrs.define
class Budget:
    """A bound on calls in each second.

    Attributes:
        second: The second that is being counted.
        spent: Calls in it, by class.
    """

    second: int = 0
    spent: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def allows(self, kind: str, bound_per_s: int) -> bool:
        """Spends one call and returns whether it is within the bound."""
        now = int(time.monotonic())
        if now != self.second:
            self.second = now
            self.spent.clear()
        self.spent[kind] += 1
        return bound_per_s == 0 or self.spent[kind] <= bound_per_s
