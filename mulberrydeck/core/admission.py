"""How long the admission of a request under its account's limit is valid."""

from mulberrydeck.core import state as core_state

MIN_START_S = 0.03


def is_limited(state: core_state.State, request: core_state.Request) -> bool:
    """Returns whether a limit rule applies to a request."""
    if not request.account:
        return False
    return state.configuration.limit_of(request.account) is not None


def start_by_s(state: core_state.State, request: core_state.Request) -> float:
    """Returns when the first byte of a request must be sent at the latest.

    It is a time and no duration, since a VM that is busy or stood still takes
    a decision up late.
    """
    lifetime_s = state.settings.admission_lifetime_s
    if not is_limited(state, request):
        return state.now_s + lifetime_s
    return request.admitted_at_s + lifetime_s


def is_old(state: core_state.State, request: core_state.Request) -> bool:
    """Returns whether too little time is left to send a request."""
    lifetime_s = state.settings.admission_lifetime_s
    needed_s = min(MIN_START_S, lifetime_s / 2)
    return start_by_s(state, request) - state.now_s < needed_s
