"""Limits on the memory that all requests of a process take together."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time

import attrs
import gevent

# Peers that make progress at least this often are not reset.
MIN_STALL_S = 1.0
# Interval between searches for stalled peers while a budget is exceeded; each
# looks through all waiting reservations.
SEARCH_INTERVAL_S = 0.1
# Time for peers that are ready to make progress after a pause of the process.
# Without it, a search would find all peers stalled.
POLL_S = 0.005


def _ignore_reset(_held_bytes: int, _stalled_s: float) -> None:
    """Stands for the report of a budget that needs none."""


@attrs.define(eq=False)
class ByteBudget:
    """Number of bytes that may be kept at the same time.

    Attributes:
        limit_bytes: Largest number of bytes.
        used_bytes: Bytes that are reserved.
        waiting: Reservations of requests that wait for a peer to send or to
            receive.
        report_reset: Called for each peer that is reset with the bytes kept for
            it and the time without progress, in seconds.
        searcher: Greenlet that searches for stalled peers; None if the budget
            was not exceeded so far.
    """

    limit_bytes: int
    used_bytes: int = 0
    waiting: "set[Reservation]" = attrs.field(factory=set)
    report_reset: Callable[[int, float], None] = _ignore_reset
    searcher: gevent.Greenlet | None = None

    def reserve(self) -> "Reservation":
        """Returns a reservation that is still empty."""
        return Reservation(self)

    def start_search(self) -> None:
        """Searches for stalled peers for as long as the budget is exceeded."""
        if self.searcher is None or self.searcher.ready():
            self.searcher = gevent.spawn(self._search)

    def _search(self) -> None:
        while self.used_bytes > self.limit_bytes:
            gevent.sleep(SEARCH_INTERVAL_S)
            gevent.sleep(POLL_S)
            self.reset_stalled()

    def reset_stalled(self) -> None:
        """Resets stalled peers until the others fit into the budget.

        Those that keep the most for the longest without progress come first.
        """
        now_s = time.monotonic()
        stalled = [
            reservation
            for reservation in self.waiting
            if reservation.reserved_bytes
            and now_s - reservation.progress_s >= MIN_STALL_S
        ]
        stalled.sort(
            key=lambda reservation: (
                reservation.reserved_bytes * (now_s - reservation.progress_s)
            )
        )
        excess_bytes = self.used_bytes - self.limit_bytes
        while excess_bytes > 0 and stalled:
            worst = stalled.pop()
            excess_bytes -= worst.reserved_bytes
            self.waiting.discard(worst)
            self.report_reset(worst.reserved_bytes, now_s - worst.progress_s)
            worst.reset()


@attrs.define(eq=False)
class Reservation:
    """Part of a budget; a context manager that releases it at its end.

    Attributes:
        budget: Budget that it is a part of.
        reserved_bytes: Size of the part, in bytes.
        progress_s: Monotonic time at which the peer last made progress, in
            seconds.
        reset: Resets the connection to the peer that is waited for.
    """

    budget: ByteBudget
    reserved_bytes: int = 0
    progress_s: float = 0.0
    reset: Callable[[], None] | None = None

    def grow(self, count: int) -> bool:
        """Reserves bytes that were received; returns whether more may follow.

        Stalled peers are reset soon if the budget is exceeded.

        Args:
            count: Number of bytes.
        """
        self.reserved_bytes += count
        self.budget.used_bytes += count
        if self.budget.used_bytes <= self.budget.limit_bytes:
            return True
        self.budget.start_search()
        return False

    def shrink(self, count: int) -> None:
        """Returns some of the reserved bytes to the budget."""
        self.reserved_bytes -= count
        self.budget.used_bytes -= count

    def record_progress(self) -> None:
        """Records that the peer sent or received bytes."""
        self.progress_s = time.monotonic()

    def release(self) -> None:
        """Returns all reserved bytes to the budget."""
        self.budget.used_bytes -= self.reserved_bytes
        self.reserved_bytes = 0

    @contextlib.contextmanager
    def wait_for_peer(self, reset: Callable[[], None]) -> Iterator[None]:
        """Allows to reset a peer that makes no progress meanwhile.

        Args:
            reset: Resets the connection to the peer.
        """
        self.reset = reset
        self.record_progress()
        self.budget.waiting.add(self)
        try:
            yield
        finally:
            self.budget.waiting.discard(self)

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *details: object) -> None:
        self.release()
