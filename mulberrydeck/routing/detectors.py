"""Detector of bad targets from the outcomes of requests."""

import collections

import attrs

WINDOW_SIZE = 20
FAILURE_LIMIT = 5


@attrs.define
class FailureWindow:
    """Signals when too many of the last outcomes are failures.

    Attributes:
        size: Number of outcomes in the window.
        limit: Failures in the window that signal.
        outcomes: Latest outcomes, whether each failed.
        failures: Failures among them.
    """

    size: int = WINDOW_SIZE
    limit: int = FAILURE_LIMIT
    outcomes: collections.deque[bool] = attrs.field(factory=collections.deque)
    failures: int = 0


def observe(window: FailureWindow, failed: bool) -> bool:
    """Feeds one outcome and returns whether the target is held to be bad.

    A window that has signalled starts afresh.

    Args:
        window: The window, changed in place.
        failed: Whether the request failed through the target's fault.
    """
    window.outcomes.append(failed)
    window.failures += failed
    if len(window.outcomes) > window.size:
        window.failures -= window.outcomes.popleft()
    if window.failures < window.limit:
        return False
    window.outcomes.clear()
    window.failures = 0
    return True
