"""Selects the lenders to send loan requests to, and the time to do so."""

import math

from mulberrydeck.quota import state

REQUEST_INTERVAL_S = 0.005
MIN_BACKOFF_S = 0.04
MAX_BACKOFF_S = 1.0
RESPONSE_TIMEOUT_S = 0.15
# The holder of a VM's own zone responds within a few milliseconds. One that
# stands still is not waited for, since others may have what it lacks.
ZONE_RESPONSE_S = 0.03
EXPECTED_GRANT_RATIO = 0.7
MIN_ESTIMATE_TOKENS = 1e-6
PARALLEL_BELOW_TOKENS = 2.0


def ready_lenders(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> list[str]:
    """Returns the lenders that can be sent a loan request now, best first.

    That is the holder of this VM's zone alone, and the others only while
    requests to that holder back off or it is silent, or if there is none. A
    resource that is requested in parallel has no such order.
    """
    if requests_in_parallel(quota, resource):
        return [
            name
            for name in _lender_names(quota, resource)
            if now_s >= _ready_s(_view(resource, name))
        ]
    if quota.zone_holder:
        nearest = _view(resource, quota.zone_holder)
        if now_s >= _ready_s(nearest):
            return [quota.zone_holder]
        if nearest.retry_s <= now_s and not is_silent(nearest, now_s):
            return []
    return [
        name
        for name in _others(quota, resource)
        if now_s >= _ready_s(_view(resource, name))
    ]


def back_off(
    resource: state.ResourceState, view: state.LenderView, now_s: float
) -> None:
    """Delays the next request to a lender, with exponential back-off.

    Used when the lender granted too little or did not respond.
    """
    first_s = max(MIN_BACKOFF_S, 0.1 / resource.bound.rate_per_s)
    view.backoff_s = min(MAX_BACKOFF_S, max(first_s, 2 * view.backoff_s))
    view.retry_s = now_s + view.backoff_s


def time_out_requests(resource: state.ResourceState, now_s: float) -> None:
    """Treats requests that timed out like responses without a grant."""
    for view in resource.lenders.values():
        if view.ask_id and not awaits_response(view, now_s):
            view.ask_id = 0
            view.spare_tokens = 0.0
            view.responded_s = now_s
            back_off(resource, view, now_s)


def requests_in_parallel(
    quota: state.QuotaState, resource: state.ResourceState
) -> bool:
    """Returns whether loan requests go to all lenders at the same time.

    That is so if the share of a single zone holds too few tokens to be worth a
    request of its own.
    """
    zones = len(_others(quota, resource)) + 1
    return resource.bound.burst / zones < PARALLEL_BELOW_TOKENS


def split_tokens(
    quota: state.QuotaState,
    resource: state.ResourceState,
    now_s: float,
    ready: list[str],
    tokens: float,
) -> dict[str, float]:
    """Returns the share of the tokens to request from each lender.

    Lenders with the largest estimated number of tokens come first, so that no
    bucket stays full and loses its refill while others run empty.

    Args:
        quota: State of this VM.
        resource: The resource.
        now_s: Current time, in seconds.
        ready: Lenders that can be sent a request.
        tokens: Tokens to request in total.
    """
    estimates = {
        name: _estimated_tokens(quota, resource, now_s, name) for name in ready
    }
    chosen: dict[str, float] = {}
    for name in sorted(ready, key=lambda name: -estimates[name]):
        enough = sum(chosen.values()) * EXPECTED_GRANT_RATIO >= tokens
        if enough and not requests_in_parallel(quota, resource):
            break
        chosen[name] = max(estimates[name], MIN_ESTIMATE_TOKENS)
    total = sum(chosen.values())
    return {name: estimate / total for name, estimate in chosen.items()}


def pick_units_lender(
    resource: state.ResourceState, now_s: float, ready: list[str]
) -> dict[str, float]:
    """Returns a lender to request units without tokens from, if any.

    The result has the form of `split_tokens`: the share by lender.
    """
    for name in ready:
        if now_s >= _view(resource, name).units_retry_s:
            return {name: 1.0}
    return {}


def awaits_any_response(resource: state.ResourceState, now_s: float) -> bool:
    """Returns whether a response from any lender is outstanding."""
    return any(
        awaits_response(view, now_s) for view in resource.lenders.values()
    )


def expected_tokens(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> float:
    """Returns the tokens that lenders were asked for and may soon grant."""
    return sum(
        view.requested_tokens
        for name, view in resource.lenders.items()
        if awaits_response(view, now_s)
        and not (name == quota.zone_holder and is_silent(view, now_s))
    )


def next_request_s(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> float:
    """Returns the time until the next loan request is due, in seconds."""
    waits_s = [
        _ready_s(_view(resource, name)) - now_s
        for name in _lender_names(quota, resource)
    ]
    return max(0.0, min(waits_s, default=math.inf))


def lender_wait_s(
    quota: state.QuotaState, resource: state.ResourceState, now_s: float
) -> float:
    """Returns the wait for a lender that may have tokens, in seconds.

    It is 0 while a response is outstanding, and infinite if there is no
    lender or all of them back off.
    """
    if awaits_any_response(resource, now_s):
        return 0.0
    views = [_view(resource, name) for name in _lender_names(quota, resource)]
    waits_s = [
        _ready_s(view) - now_s for view in views if view.retry_s <= now_s
    ]
    return max(0.0, min(waits_s, default=math.inf))


def awaits_response(view: state.LenderView, now_s: float) -> bool:
    """Returns whether a response from the lender is outstanding."""
    return view.ask_id > 0 and now_s - view.requested_s < RESPONSE_TIMEOUT_S


def is_silent(view: state.LenderView, now_s: float) -> bool:
    """Returns whether the holder of this VM's zone is late to respond."""
    return view.ask_id > 0 and now_s - view.requested_s >= ZONE_RESPONSE_S


def may_renew(view: state.LenderView, now_s: float) -> bool:
    """Returns whether a renewal can be sent to the lender."""
    interval_s = RESPONSE_TIMEOUT_S if view.ask_id else 0.0
    return now_s >= view.requested_s + interval_s


def _estimated_tokens(
    quota: state.QuotaState,
    resource: state.ResourceState,
    now_s: float,
    lender: str,
) -> float:
    zones = len(_others(quota, resource)) + 1
    view = _view(resource, lender)
    refill_per_s = resource.bound.rate_per_s / zones
    refilled = (now_s - view.responded_s) * refill_per_s
    return min(resource.bound.burst / zones, view.spare_tokens + refilled)


def _view(resource: state.ResourceState, lender: str) -> state.LenderView:
    return resource.lenders.get(lender) or state.LenderView()


def _lender_names(
    quota: state.QuotaState, resource: state.ResourceState
) -> tuple[str, ...]:
    others = _others(quota, resource)
    return (quota.zone_holder, *others) if quota.zone_holder else others


def _others(
    quota: state.QuotaState, resource: state.ResourceState
) -> tuple[str, ...]:
    """Returns the holders of other zones that own units of a resource."""
    name = resource.bound.resource
    owners = quota.owners.get(name)
    if owners is None:
        return quota.other_holders
    known = quota.holders_of.get(name)
    # Searching a fleet of hundreds takes longer than all else about a request.
    if (
        known is None
        or known.holders is not quota.other_holders
        or known.owners is not owners
    ):
        others = tuple(vm for vm in quota.other_holders if vm in owners)
        known = state.KnownHolders(quota.other_holders, owners, others)
        quota.holders_of[name] = known
    return known.others


def _ready_s(view: state.LenderView) -> float:
    interval_s = RESPONSE_TIMEOUT_S if view.ask_id else REQUEST_INTERVAL_S
    return max(view.retry_s, view.requested_s + interval_s)
