"""How well each client account was served over the last interval."""

from collections.abc import Callable
import time

import attrs

INTERVAL_S = 30.0


@attrs.define
class Tally:
    """Counts of one account.

    Attributes:
        served: Requests that were answered.
        refused: Requests that were refused.
    """

    served: int = 0
    refused: int = 0


class AccountShares:
    """Counts answers and refusals in the current and the last interval.

    Attributes:
        current: Tallies of the running interval by account.
        previous: Tallies of the interval before.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        """Starts to count.

        Args:
            now_s: Monotonic clock, in seconds.
        """
        self.now_s = now_s
        self.began_s = now_s()
        self.current: dict[str, Tally] = {}
        self.previous: dict[str, Tally] = {}

    def served(self, account: str) -> None:
        """Counts an answered request."""
        self._tally(account).served += 1

    def refused(self, account: str) -> None:
        """Counts a refused request."""
        self._tally(account).refused += 1

    def worst(self) -> float:
        """Returns the lowest served part of any account, from 0 to 1."""
        self._turn()
        accounts = self.current.keys() | self.previous.keys()
        return min((self._part(account) for account in accounts), default=1.0)

    def _part(self, account: str) -> float:
        tallies = (
            self.current.get(account, Tally()),
            self.previous.get(account, Tally()),
        )
        served = sum(tally.served for tally in tallies)
        return served / sum(tally.served + tally.refused for tally in tallies)

    def _tally(self, account: str) -> Tally:
        self._turn()
        return self.current.setdefault(account, Tally())

    def _turn(self) -> None:
        age_s = self.now_s() - self.began_s
        if age_s < INTERVAL_S:
            return
        self.previous = self.current if age_s < 2 * INTERVAL_S else {}
        self.current = {}
        self.began_s = self.now_s()
