"""Detection of failing targets from the outcomes of requests."""

import collections

import attrs

WINDOW_SIZE = 20
FAILURE_THRESHOLD = 5


@attrs.define
class FailureWindow:
    """Sliding window over the last outcomes of a target.

    Attributes:
        size: Number of outcomes in a full window.
        threshold: Number of failures at which the target counts as failing.
        outcomes: Last outcomes, true for a failure.
        failures: Number of failures in `outcomes`.
    """

    size: int = WINDOW_SIZE
    threshold: int = FAILURE_THRESHOLD
    outcomes: collections.deque[bool] = attrs.field(factory=collections.deque)
    failures: int = 0


def observe(window: FailureWindow, failed: bool) -> bool:
    """Records an outcome and returns whether the target is failing.

    The window is cleared whenever it signals a failing target.

    Args:
        window: The window, changed in place.
        failed: Whether the request failed because of the target.
    """
    window.outcomes.append(failed)
    window.failures += failed
    if len(window.outcomes) > window.size:
        window.failures -= window.outcomes.popleft()
    if window.failures < window.threshold:
        return False
    window.outcomes.clear()
    window.failures = 0
    return True
