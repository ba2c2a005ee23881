"""Forwards a request to a target, or refuses it for lack of one or of time."""

from mulberrydeck.quota import reducer as quota
from mulberrydeck.steering import admission
from mulberrydeck.steering import effects
from mulberrydeck.steering import members
from mulberrydeck.steering import placement
from mulberrydeck.steering import refusals
from mulberrydeck.steering import state as states
from mulberrydeck.steering import stopping
from mulberrydeck.steering import targets

Placement = effects.Placement

# With less time remaining, no target could respond by the deadline.
MIN_REMAINING_S = 0.02
# Advised delay without a free target. Targets work on a request for some tenths
# of a second.
NO_CAPACITY_RETRY_S = 0.25
MAX_LOGGED_AGE_S = 99.0  # Also logged for values never observed.

Effects = list[object]


def place_locally(
    state: states.State, request: states.Request, why: str
) -> Effects:
    """Forwards the request to a target that this VM chooses, or refuses it.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        why: Why no scheduler granted a slot, for logs; empty without scheduler.
    """
    required = requirements(state, request)
    choice = state.choose(
        state.target_directory, state.pacer, state.now_s, required
    )
    match choice:
        case placement.NoCapacity():
            return [_refuse_or_deliver(state, request, choice)]
        case placement.Chosen(target, reason):
            inputs = {"alone_because": why} if why else {}
            how = Placement.ALONE if why else Placement.UNSCHEDULED
            return [forward(state, request, target, reason, how, inputs)]


def _refuse_or_deliver(
    state: states.State,
    request: states.Request,
    choice: placement.NoCapacity,
) -> effects.Decision:
    """Ends a request without another target.

    An error response that was received is delivered rather than a refusal.
    """
    if request.deliverable:
        return effects.Deliver(request.request_id)
    return _no_capacity(state, request, choice)


def _no_capacity(
    state: states.State,
    request: states.Request,
    choice: placement.NoCapacity,
) -> effects.Refuse:
    """Refuses a request; it may return when the first target may serve it."""
    refund_token(state, request)
    inputs: dict[str, object] = {"usable_targets": choice.usable}
    retry_s = NO_CAPACITY_RETRY_S
    if choice.resumes_s is not None:
        pause_s = choice.resumes_s - state.now_s
        inputs["paused_s"] = round(pause_s, 3)
        # Spread, as all callers wait for the same moment.
        retry_s = pause_s + state.rng.uniform(0.0, NO_CAPACITY_RETRY_S)
    return refusals.refusal(request, 503, "no-capacity", retry_s, inputs)


def requirements(
    state: states.State, request: states.Request
) -> placement.Requirements:
    """Returns what a target must fulfil to be used for a request."""
    return placement.Requirements(
        service=request.service,
        object_digest=request.object_digest,
        allowed_regions=request.allowed_regions,
        excluded=frozenset(request.tried),
        cold_rate_per_s=_cold_rate_per_s(state, request),
        region=state.settings.region,
    )


def _cold_rate_per_s(state: states.State, request: states.Request) -> float:
    service = state.table.services.get(request.service)
    return service.cold_rate_per_s if service else 0.0


def forward(
    state: states.State,
    request: states.Request,
    target: targets.Target,
    reason: str,
    how: Placement,
    slot_inputs: dict[str, object],
) -> effects.Forward:
    """Begins an attempt of a request at a target.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        target: The target.
        reason: Why the target was chosen, for logs.
        how: Who chose the target.
        slot_inputs: Values from the slot scheduling that led to the decision,
            for logs.
    """
    cold_rate_per_s = _cold_rate_per_s(state, request)
    if target.is_cold(state.now_s):
        state.pacer.record_sent(state.now_s, target.entry.name, cold_rate_per_s)
    else:
        state.pacer.stale.record_sent(state.now_s, target.entry.name)
    request.target = target
    request.attempt_s = state.now_s
    request.deliverable = False
    inputs = {
        "why": reason,
        "service": request.service,
        "account": request.account_name,
        "version": state.table.version,
        "load": round(target.load(state.now_s), 1),
        "load_age_s": _logged_age(state.now_s - target.load_reported_s),
        "cold_s": round(target.cold_remaining_s(state.now_s), 2),
        "news_age_s": _logged_age(state.staleness_s()),
        "decided_s": round(state.now_s, 3),
        **slot_inputs,
    }
    request.sent += 1
    request.tried.add(target.entry.name)
    target.in_flight += 1
    return effects.Forward(
        request_id=request.request_id,
        attempt=request.sent,
        target=target.entry.name,
        address=target.entry.address,
        account=request.account_name,
        deadline_s=request.deadline_s,
        repeatable=request.repeatable,
        send_by_s=state.now_s + admission.SEND_WITHIN_S,
        cold=target.is_cold(state.now_s),
        placement=how,
        inputs=inputs,
    )


def _logged_age(age_s: float) -> float:
    """Returns an age in seconds, bounded and rounded for logs."""
    return round(min(MAX_LOGGED_AGE_S, age_s), 2)


def end_without_time(
    state: states.State, request: states.Request
) -> effects.Decision | None:
    """Returns the decision on a request that no target can serve in time.

    Args:
        state: State of this VM, changed in place.
        request: The request.

    Returns:
        The decision; None if there is enough time.
    """
    if not request.may_have_run and stopping.may_cut_off(state, request):
        refund_token(state, request)
        return stopping_refusal(state, request)
    if request.deadline_s - state.now_s < MIN_REMAINING_S:
        if request.deliverable:
            return effects.Deliver(request.request_id)
        return refusals.refusal(request, 504, "deadline-exceeded", None)
    return None


def stopping_refusal(
    state: states.State, request: states.Request
) -> effects.Refuse:
    """Returns the refusal of a request that may outlive a planned stop."""
    inputs = {
        "until_deadline_s": round(request.deadline_s - state.now_s, 3),
        "until_end_s": round(state.finish_by_s - state.now_s, 3),
    }
    return refusals.refusal(request, 503, "stopping", stopping.RETRY_S, inputs)


def refund_token(state: states.State, request: states.Request) -> None:
    """Refunds the token of an account if no attempt was sent."""
    if request.sent == 0 and request.account is not None:
        resource = members.limit_resource(request.account.name)
        quota.refund(state.quota, state.now_s, resource)
