"""When a slot of a target becomes free, and when a request there would end."""

import heapq

from mulberrydeck.scheduling import state as states

# An attempt that takes longer than expected is expected to take this fraction
# of its duration so far in addition.
OVERDUE_FRACTION = 0.25
MIN_REMAINING_S = 0.005


def remaining_s(grant: states.Grant, now_s: float, factor: float) -> float:
    """Returns the expected time until a granted slot is free, in seconds.

    Args:
        grant: The grant.
        now_s: Current time, in seconds.
        factor: Work time at the target as a multiple of the usual one.
    """
    elapsed_s = now_s - grant.granted_s
    return max(
        MIN_REMAINING_S,
        grant.expected_s * factor - elapsed_s,
        elapsed_s * OVERDUE_FRACTION if elapsed_s > grant.expected_s else 0.0,
    )


def start_delay_s(
    target: states.ScheduledTarget,
    now_s: float,
    priority: int,
    factor: float,
) -> float:
    """Returns the expected time until a new request starts, in seconds.

    Requests of the same or a higher priority that wait for the target go first.

    Args:
        target: The target.
        now_s: Current time, in seconds.
        priority: Priority of the request; 0 is the highest.
        factor: Work time at the target as a multiple of the usual one.
    """
    free = target.free_slots(now_s)
    if free > 0 and not target.queue:
        return 0.0
    ahead = [
        queued.expected_s
        for queued in target.queue
        if queued.request.priority <= priority
    ]
    if free > len(ahead):
        return 0.0
    ends = [
        remaining_s(grant, now_s, factor) for grant in target.grants.values()
    ]
    # Load that was not granted here keeps slots busy for a usual time.
    busy = max(target.slots - max(0, free), 1)
    typical_s = sum(ends) / len(ends) if ends else MIN_REMAINING_S
    ends += [typical_s] * (busy - len(ends))
    ends += [0.0] * max(0, free)
    heapq.heapify(ends)
    for work_s in ahead:
        heapq.heappush(ends, heapq.heappop(ends) + work_s * factor)
    return ends[0]
