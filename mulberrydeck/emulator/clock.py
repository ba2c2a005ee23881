"""Virtual time: runs scheduled actions in the order of their times."""

from collections.abc import Callable
import heapq
import itertools


class Clock:
    """Runs actions at their times.

    Attributes:
        now_s: Current time, in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action to run after a delay, in seconds."""
        at_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._actions, (at_s, next(self._sequence), action))

    def run(self, until_s: float) -> None:
        """Runs all actions up to a time, in seconds."""
        while self._actions and self._actions[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._actions)
            action()
        self.now_s = until_s
