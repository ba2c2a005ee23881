"""Expiry of a request's admission under its account's limit."""

from mulberrydeck.core import state as core_state

# A request with less time remaining is readmitted rather than sent.
MIN_TIME_TO_START_S = 0.03


def is_limited(state: core_state.State, request: core_state.Request) -> bool:
    """Returns whether a limit rule applies to a request."""
    if not request.account:
        return False
    return state.configuration.limit_of(request.account) is not None


def start_by_s(state: core_state.State, request: core_state.Request) -> float:
    """Returns the latest time at which the first byte may be sent.

    It is a point in time rather than a duration, since a VM that is busy or
    has stalled acts on a decision late.
    """
    lifetime_s = state.settings.admission_lifetime_s
    if not is_limited(state, request):
        return state.now_s + lifetime_s
    return request.admitted_at_s + lifetime_s


def is_expiring(state: core_state.State, request: core_state.Request) -> bool:
    """Returns whether too little time remains to start sending a request."""
    lifetime_s = state.settings.admission_lifetime_s
    needed_s = min(MIN_TIME_TO_START_S, lifetime_s / 2)
    return start_by_s(state, request) - state.now_s < needed_s
