"""What a VM does for callers between SIGTERM and the end of its process.

A request whose deadline is later than the end of the process could be cut off
while a target works on it. It is rejected at once, so that it runs at another
VM. The last response must also be written before the process ends.
"""

import attrs

from mulberrydeck.steering import state as states

# Fractions of `stop_timeout_s`. New connections are accepted until the first,
# since callers use earlier lookups for a while; requests in progress may finish
# until the second.
ACCEPT_FRACTION = 0.5
FINISH_FRACTION = 0.95
# Time between the latest accepted deadline and the end of the last request. A
# process that gets little processor time notices a deadline late.
RESPONSE_MARGIN_S = 0.25
# Other VMs serve the request without a delay.
RETRY_S = 0.0


@attrs.frozen
class StopPlan:
    """Times of a planned stop.

    Attributes:
        accept_until_s: Until when new connections are accepted, in seconds.
        finish_by_s: When the last request must have ended, in seconds.
    """

    accept_until_s: float
    finish_by_s: float


def plan(started_s: float, stop_timeout_s: float) -> StopPlan:
    """Returns the times of a stop.

    Args:
        started_s: When the stop began, in seconds.
        stop_timeout_s: Time from SIGTERM until the process is killed, in
            seconds.
    """
    return StopPlan(
        started_s + stop_timeout_s * ACCEPT_FRACTION,
        started_s + stop_timeout_s * FINISH_FRACTION,
    )


def may_cut_off(state: states.State, request: states.Request) -> bool:
    """Returns whether the process may end before the response is written."""
    latest_deadline_s = state.finish_by_s - RESPONSE_MARGIN_S
    return request.deadline_s > latest_deadline_s
