"""Parsing of received bytes without holding the event loop."""

import collections
from collections.abc import Iterator
import time

import attrs
import gevent
import gevent.event

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
    """Turns of the event loop that costly responses take one after another.

    If each of a few hundred responses only yielded after each slice, they would
    still hold the loop for a large part of a second in every turn.

    Attributes:
        used_s: Parsing time of all responses since the last turn that one of
            them waited for, in seconds.
        waiting: Responses that wait, in order; the first one takes the next
            turn.
    """

    used_s: float = 0.0
    waiting: collections.deque[gevent.event.Event] = attrs.field(
        factory=collections.deque
    )

    def wait_for_next(self, timeout_s: float) -> None:
        """Blocks until the next turn that no earlier response takes.

        Args:
            timeout_s: Longest time to wait for earlier ones, in seconds.

        Raises:
            ParsingTimeoutError: Other responses took all turns until then.
        """
        is_first = gevent.event.Event()
        self.waiting.append(is_first)
        if len(self.waiting) == 1:
            is_first.set()
        try:
            if not is_first.wait(timeout_s):
                raise ParsingTimeoutError(
                    "received bytes were not parsed in time"
                )
            # Unlike `sleep(0)`, a timer also lets the loop poll the sockets.
            hub = gevent.get_hub()
            with hub.loop.timer(0) as timer:
                hub.wait(timer)
        finally:
            self.waiting.remove(is_first)
            if self.waiting:
                self.waiting[0].set()
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
            timeout_s: Longest time to wait for all slices, in seconds.

        Raises:
            ParsingTimeoutError: Other responses took all turns until then.
        """
        end_s = time.monotonic() + timeout_s
        for start in range(0, len(data) or 1, SLICE_BYTES):
            self._wait_if_costly(end_s)
            started_s = time.perf_counter()
            yield data[start : start + SLICE_BYTES]
            elapsed_s = time.perf_counter() - started_s
            self.used_s += elapsed_s
            self.loop_turn.used_s += elapsed_s

    def _wait_if_costly(self, end_s: float) -> None:
        if self.used_s < MIN_PARSING_S or self.loop_turn.used_s < MAX_TURN_S:
            return
        self.loop_turn.wait_for_next(max(0.0, end_s - time.monotonic()))
        self.used_s = 0.0
