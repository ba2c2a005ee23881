"""Whether requests may be sent again, by the retry budgets of services."""

from mulberrydeck.steering import events
from mulberrydeck.steering import forwarding
from mulberrydeck.steering import pacing
from mulberrydeck.steering import state as states


def may_retry(
    state: states.State, request: states.Request, event: events.AttemptEnded
) -> bool:
    """Returns whether a request may be sent again; if so, spends budget.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        event: End of its last attempt.
    """
    return (
        event.replayable
        and request.sent < request.route.max_attempts
        and request.deadline_s - state.now_s > forwarding.MIN_REMAINING_S
        and budget_of(state, request.service).try_withdraw()
    )


def budget_of(state: states.State, service: str) -> pacing.RetryBudget:
    """Returns this VM's share of the retry budget of a service."""
    budget = state.retry_budgets.get(service)
    if budget is None:
        budget = _new_budget(state)
        state.retry_budgets[service] = budget
    return budget


def _new_budget(state: states.State) -> pacing.RetryBudget:
    return pacing.retry_budget(
        state.settings.retry_ratio,
        state.settings.retry_extra,
        len(state.fleet.names),
    )


def resize_budgets(state: states.State) -> None:
    """Applies a change of the fleet or the settings to the retry budgets."""
    new = _new_budget(state)
    for budget in state.retry_budgets.values():
        budget.resize(new)
