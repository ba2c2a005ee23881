"""Order in which waiting requests get the slots of a target.

It answers a shortage of slots: bursts of one kind of request, accounts far
over their usual load, and regions whose callers all become active at once.
"""

from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import tables

# Accounts whose recent use differs by less than this fraction of their limits
# are ordered by time.
USAGE_STEP = 0.25
# Rate assumed for accounts without a limit, in requests per second.
DEFAULT_RATE_PER_S = 10.0

Rank = tuple[int, bool, int, float]


def rank(
    queued: states.QueuedRequest,
    schedule: states.ServiceSchedule,
    table: tables.RoutingTable | None,
    now_s: float,
) -> Rank:
    """Returns the rank of a waiting request; the smallest is granted first.

    Priority comes first. Within a priority, requests that can still meet their
    latency goal precede those that are late, since a late one loses nothing by
    waiting longer. Then come the recent use of the account relative to its
    limit, and the goal.

    Args:
        queued: The request.
        schedule: Its service.
        table: Configuration in force.
        now_s: Current time, in seconds.
    """
    is_late = now_s + queued.expected_s > queued.goal_s
    due_s = queued.deadline_s if is_late else queued.goal_s
    return (
        queued.request.priority,
        is_late,
        _usage_step(queued.request.account, schedule, table, now_s),
        due_s,
    )


def _usage_step(
    name: str,
    schedule: states.ServiceSchedule,
    table: tables.RoutingTable | None,
    now_s: float,
) -> int:
    """Returns an account's recent use relative to its limit, in steps."""
    usage = schedule.usage.get(name)
    if usage is None:
        return 0
    account = None if table is None else table.accounts.get(name)
    rate_per_s = DEFAULT_RATE_PER_S
    if account is not None and account.rate_per_s > 0:
        rate_per_s = account.rate_per_s
    used = usage.current(now_s) / (rate_per_s * states.USAGE_PERIOD_S)
    return int(used / USAGE_STEP)
