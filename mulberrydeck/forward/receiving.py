"""Parsing of received bytes without holding the event loop."""

from collections.abc import Iterator
import time

import attrs
import gevent
import gevent.lock

SLICE_BYTES = 4 * 1024
# Parsing time after which a response waits before its next slice, in seconds.
# Usual responses have one slice, so that they never queue behind costly ones.
MIN_PARSING_S = 0.0005
# Parsing time of all responses between two polls of the sockets, in seconds.
MAX_TURN_S = 0.002


class ParsingTimeoutError(TimeoutError):
    """Received bytes were not parsed in time."""


@attrs.define(eq=False)
class LoopTurn:
    """Time that responses have taken in the current turn of the event loop.

    If each of a few hundred responses only yielded after each slice, they would
    still hold the loop for a large part of a second in every turn.

    Attributes:
        used_s: Parsing time of all responses in this turn, in seconds.
        queue: Held by the response that continues in the next turn.
    """

    used_s: float = 0.0
    queue: gevent.lock.Semaphore = attrs.field(factory=gevent.lock.Semaphore)

    def wait_for_next(self, timeout_s: float) -> None:
        """Blocks until the next turn that no other response has taken.

        Args:
            timeout_s: Longest time to wait, in seconds.

        Raises:
            ParsingTimeoutError: Other responses took all turns until then.
        """
        if not self.queue.acquire(timeout=timeout_s):
            raise ParsingTimeoutError("received bytes were not parsed in time")
        try:
            # Unlike `sleep(0)`, a timer also lets the loop poll the sockets.
            hub = gevent.get_hub()
            with hub.loop.timer(0) as timer:
                hub.wait(timer)
        finally:
            self.queue.release()
        self.used_s = 0.0


# All responses of the process share its event loop.
_loop_turn = LoopTurn()


@attrs.define(eq=False)
class Slicer:
    """Splits the bytes of one response, so that other greenlets can run.

    A target may send bytes faster than they can be parsed.

    Attributes:
        loop_turn: Shared by all responses of an event loop.
        used_s: Parsing time since this response last waited, in seconds.
    """

    loop_turn: LoopTurn = _loop_turn
    used_s: float = 0.0

    def slices(self, data: bytes, timeout_s: float) -> Iterator[bytes]:
        """Yields received bytes in slices, each to be parsed at once.

        Args:
            data: Received bytes; empty yields one empty slice.
            timeout_s: Longest time to wait between two slices, in seconds.

        Raises:
            ParsingTimeoutError: Other responses took all turns until then.
        """
        for start in range(0, len(data) or 1, SLICE_BYTES):
            self._wait_if_costly(timeout_s)
            started_s = time.perf_counter()
            yield data[start : start + SLICE_BYTES]
            elapsed_s = time.perf_counter() - started_s
            self.used_s += elapsed_s
            self.loop_turn.used_s += elapsed_s

    def _wait_if_costly(self, timeout_s: float) -> None:
        if self.used_s < MIN_PARSING_S or self.loop_turn.used_s < MAX_TURN_S:
            return
        self.loop_turn.wait_for_next(timeout_s)
        self.used_s = 0.0
