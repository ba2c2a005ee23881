"""Measures for how long the event loop runs no other greenlet."""

import time

import gevent

INTERVAL_S = 0.001


class LoopHolds:
    """Context in which the longest hold of the event loop is measured.

    Attributes:
        longest_s: Longest time without a turn, in seconds.
    """

    def __init__(self):
        self.longest_s = 0.0

    def __enter__(self):
        self.ticker = gevent.spawn(self._tick)
        gevent.sleep(2 * INTERVAL_S)
        return self

    def __exit__(self, *details):
        gevent.sleep(2 * INTERVAL_S)
        self.ticker.kill()

    def _tick(self) -> None:
        last_s = time.monotonic()
        while True:
            gevent.sleep(INTERVAL_S)
            now_s = time.monotonic()
            self.longest_s = max(self.longest_s, now_s - last_s)
            last_s = now_s
