"""Recent ratio of served requests per client account."""

from collections.abc import Callable
import time

import attrs

INTERVAL_S = 30.0


@attrs.define
class Tally:
    """Request counts of one client account.

    Attributes:
        served: Number of requests to which a target responded.
        refused: Number of requests that were refused.
    """

    served: int = 0
    refused: int = 0


class ServedRatios:
    """Counts served and refused requests in the current and previous interval.

    Attributes:
        current: Tallies of the current interval, by account.
        previous: Tallies of the previous interval, by account.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        """Starts the first interval.

        Args:
            now_s: Monotonic clock, in seconds.
        """
        self.now_s = now_s
        self.interval_start_s = now_s()
        self.current: dict[str, Tally] = {}
        self.previous: dict[str, Tally] = {}

    def served(self, account: str) -> None:
        """Counts a request to which a target responded."""
        self._tally(account).served += 1

    def refused(self, account: str) -> None:
        """Counts a refused request."""
        self._tally(account).refused += 1

    def lowest(self) -> float:
        """Returns the lowest served ratio of any account, from 0 to 1.

        It is 1 if there were no requests.
        """
        self._rotate()
        accounts = self.current.keys() | self.previous.keys()
        return min(
            (self._served_ratio(account) for account in accounts), default=1.0
        )

    def _served_ratio(self, account: str) -> float:
        tallies = (
            self.current.get(account, Tally()),
            self.previous.get(account, Tally()),
        )
        served = sum(tally.served for tally in tallies)
        return served / sum(tally.served + tally.refused for tally in tallies)

    def _tally(self, account: str) -> Tally:
        self._rotate()
        return self.current.setdefault(account, Tally())

    def _rotate(self) -> None:
        age_s = self.now_s() - self.interval_start_s
        if age_s < INTERVAL_S:
            return
        self.previous = self.current if age_s < 2 * INTERVAL_S else {}
        self.current = {}
        self.interval_start_s = self.now_s()
