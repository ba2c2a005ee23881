"""Waiting for a condition in another process."""

import collections.abc
import time

import gevent

POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 30.0


class ConditionError(AssertionError):
    """A condition did not become true in time."""


def until(
    condition: collections.abc.Callable[[], object],
    what: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> object:
    """Waits until a condition is true and returns its value.

    Args:
        condition: Called repeatedly until its value is true.
        what: Description of the condition, for the error message.
        timeout_s: Longest wait, in seconds.

    Raises:
        ConditionError: The condition stayed false.
    """
    deadline_s = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > deadline_s:
            raise ConditionError(f"{what}: not within {timeout_s} s")
        gevent.sleep(POLL_INTERVAL_S)
    return value
