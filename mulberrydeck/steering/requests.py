"""Life of one request: route, account, limit, target, retry, answer."""

from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import members
from mulberrydeck.steering import outliers
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import refusals
from mulberrydeck.steering import state as states
from mulberrydeck.steering import tables
from mulberrydeck.steering import targets

Outcome = events.Outcome

DEFAULT_TIMEOUT_S = 10.0  # For callers that name no deadline.
# A target needs some time to answer at all; less is not worth sending.
MIN_REMAINING_S = 0.02
# Targets of a service work some tenths of a second on a request.
FULL_RETRY_S = 0.25
# Until a process that has just started has read the configuration.
STARTING_RETRY_S = 0.3
MAX_LOGGED_AGE_S = 99.0  # Stands in logs for the age of what was never seen.
MAX_CONNECT_FAILURES = 3  # Bounds the time spent on targets that are down.
SERVER_ERROR = 500

Effects = list[object]


def arrived(state: states.State, event: events.RequestArrived) -> Effects:
    """Decides on a request whose head was read."""
    if state.table is None or not state.book.listed:
        return [
            refusals.refusal_on_arrival(
                event, 503, "starting", STARTING_RETRY_S
            )
        ]
    route = state.table.route_of(event.host, event.path)
    if route is None:
        return [refusals.refusal_on_arrival(event, 404, "no-route")]
    account = state.table.account_by_key.get(event.key)
    if account is None and not route.public and state.table.keys_required:
        return [refusals.refusal_on_arrival(event, 401, "unknown-key")]
    if event.body_bytes > state.table.limits.max_body_bytes:
        return [refusals.refusal_on_arrival(event, 413, "body-too-large")]
    if route.public:
        account = None
    request = _open(state, event, route, account)
    _budget(state, request.service).deposit()
    return _limit(state, request)


def _open(
    state: states.State,
    event: events.RequestArrived,
    route: tables.Route,
    account: tables.Account | None,
) -> states.Request:
    allowed_s = DEFAULT_TIMEOUT_S
    if event.deadline_s is not None:
        allowed_s = event.deadline_s
    if route.timeout_s > 0:
        allowed_s = min(allowed_s, route.timeout_s)
    digest = None
    if event.object_key:
        digest = hashing.digest(f"{route.name}\n{event.object_key}")
    request = states.Request(
        request_id=event.request_id,
        route=route,
        account=account,
        service=route.pick_service(state.rng),
        object_digest=digest,
        allowed_regions=tables.allowed_regions(route, account),
        arrived_s=event.at_s,
        ends_s=event.at_s + allowed_s,
    )
    state.requests[event.request_id] = request
    return request


def _limit(state: states.State, request: states.Request) -> Effects:
    if request.account is None or request.account.rate_per_s <= 0:
        return _place(state, request)
    verdict, produced = quota.admit(
        state.quota,
        state.now_s,
        members.resource_of(request.account.name),
        request.request_id,
    )
    match verdict:
        case quota_state.Admitted():
            return [*produced, *_place(state, request)]
        case quota_state.Denied(retry_after_s):
            return [*produced, _over_rate(state, request, retry_after_s)]
    return list(produced)


def _give_token_back(state: states.State, request: states.Request) -> None:
    """Leaves an account what a request that no target was sent did not use."""
    if request.sent == 0 and request.account is not None:
        resource = members.resource_of(request.account.name)
        quota.refund(state.quota, state.now_s, resource)


def _over_rate(
    state: states.State, request: states.Request, retry_after_s: float
) -> effects.Refuse:
    resource = members.resource_of(request.account.name)
    held = state.quota.resources.get(resource)
    inputs = {
        "account": request.account.name,
        "rate_per_s": request.account.rate_per_s,
        "version": state.table.version,
        "waited_s": round(state.now_s - request.arrived_s, 3),
    }
    if held is not None:
        inputs["tokens"] = round(held.tokens, 2)
        inputs["own_units"] = held.own_units
        inputs["lent_units"] = held.lent_units
        inputs["borrowed_units"] = held.borrowed_units
    return refusals.refusal(request, 429, "rate-limited", retry_after_s, inputs)


def quota_decided(
    state: states.State, request_id: str, admitted: bool, retry_after_s: float
) -> Effects:
    """Continues a request that waited for a token of its account."""
    request = state.requests.get(request_id)
    if request is None:
        return []
    if admitted:
        return _place(state, request)
    return [_over_rate(state, request, retry_after_s)]


def _place(state: states.State, request: states.Request) -> Effects:
    """Sends the request to a target, or refuses it."""
    if request.ends_s - state.now_s < MIN_REMAINING_S:
        return [refusals.refusal(request, 504, "deadline-exceeded", None)]
    service = state.table.services.get(request.service)
    cold_rate_per_s = service.cold_rate_per_s if service else 0.0
    choice = state.choose(
        state.book,
        state.pacer,
        state.now_s,
        placement.Requirements(
            service=request.service,
            object_digest=request.object_digest,
            allowed_regions=request.allowed_regions,
            excluded=frozenset(request.tried),
            cold_rate_per_s=cold_rate_per_s,
        ),
    )
    match choice:
        case placement.NoCapacity(usable):
            _give_token_back(state, request)
            inputs = {"usable_targets": usable}
            refusal = refusals.refusal(
                request, 503, "no-capacity", FULL_RETRY_S, inputs
            )
            return [refusal]
        case placement.Chosen(target, reason):
            return [_send(state, request, target, cold_rate_per_s, reason)]


def _send(
    state: states.State,
    request: states.Request,
    target: targets.Target,
    cold_rate_per_s: float,
    reason: str,
) -> effects.Forward:
    if target.is_cold(state.now_s):
        state.pacer.record_sent(state.now_s, target.entry.name, cold_rate_per_s)
    else:
        state.pacer.stale.record_sent(state.now_s, target.entry.name)
    request.target = target
    request.attempt_s = state.now_s
    inputs = {
        "why": reason,
        "service": request.service,
        "account": request.account_name,
        "version": state.table.version,
        "load": round(target.load(state.now_s), 1),
        "load_age_s": _age(state.now_s - target.load_reported_s),
        "cold_s": round(target.cold_remaining_s(state.now_s), 2),
        "news_age_s": _age(state.news_age_s()),
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
        ends_s=request.ends_s,
        repeatable=request.repeatable,
        cold=target.is_cold(state.now_s),
        inputs=inputs,
    )


def _age(age_s: float) -> float:
    """Returns an age as logs show it."""
    return round(min(MAX_LOGGED_AGE_S, age_s), 2)


def attempt_ended(state: states.State, event: events.AttemptEnded) -> Effects:
    """Records how an attempt ended and decides what follows."""
    request = state.requests.get(event.request_id)
    if request is None or request.target is None:
        return []
    target = request.target
    request.target = None
    target.in_flight -= 1
    _observe_pace(state, request, target, event)
    produced = _observe(state, target, event)
    final = _final_answer(state, request, event)
    if final is not None:
        return [*produced, final]
    placed = _place(state, request)
    if event.outcome is Outcome.ANSWERED and _is_refused(placed):
        # No target can better the failed answer that is there.
        placed = [effects.Deliver(request.request_id)]
    return [*produced, *placed]


def _is_refused(produced: Effects) -> bool:
    return any(isinstance(one, effects.Refuse) for one in produced)


def _final_answer(
    state: states.State, request: states.Request, event: events.AttemptEnded
) -> effects.Decision | None:
    """Returns the answer after an attempt, or None to try another target."""
    match event.outcome:
        case Outcome.ANSWERED:
            if event.status >= SERVER_ERROR and request.repeatable:
                request.may_have_run = True
                return _unless_retried(
                    state, request, event, effects.Deliver(request.request_id)
                )
            return effects.Deliver(request.request_id)
        case Outcome.BROKEN | Outcome.EXPIRED:
            request.may_have_run = True
            if not request.repeatable:
                return _gave_up(request, event)
        case Outcome.NOT_SENT:
            request.sent -= 1
            failures = len(request.tried) - request.sent
            if failures > MAX_CONNECT_FAILURES:
                return _gave_up(request, event)
            return None
    return _unless_retried(state, request, event, _gave_up(request, event))


def _unless_retried(
    state: states.State,
    request: states.Request,
    event: events.AttemptEnded,
    final: effects.Decision,
) -> effects.Decision | None:
    return None if _may_retry(state, request, event) else final


def _observe_pace(
    state: states.State,
    request: states.Request,
    target: targets.Target,
    event: events.AttemptEnded,
) -> None:
    """Notes how long an attempt took, if the target worked on it."""
    if event.outcome not in (Outcome.ANSWERED, Outcome.EXPIRED):
        return
    taken_s = state.now_s - request.attempt_s
    relative = state.route_times.record(request.route.name, taken_s)
    outliers.observe(target.latency_ratio, state.now_s, relative)


def _observe(
    state: states.State, target: targets.Target, event: events.AttemptEnded
) -> Effects:
    """Notes what an attempt says of its target."""
    name = target.entry.name
    if event.reported_load is not None:
        targets.observe_load(target, state.now_s, event.reported_load)
    match event.outcome:
        case Outcome.NOT_SENT:
            targets.eject_unreachable(target, state.now_s)
            return [_target_log("A target is not reachable.", target, event)]
        case Outcome.WRONG_TARGET:
            targets.eject_unreachable(target, state.now_s)
            return [_target_log("An address changed hands.", target, event)]
        case Outcome.EXPIRED:
            return []
        case Outcome.REJECTED:
            targets.observe_load(target, state.now_s, 2.0 * target.entry.slots)
            return []
    targets.mark_reachable(target)
    bad = event.outcome is Outcome.BROKEN or event.status >= SERVER_ERROR
    if targets.record_outcome(target, state.now_s, bad):
        return [_target_log(f"{name} fails too often.", target, event)]
    return []


def _target_log(
    text: str, target: targets.Target, event: events.AttemptEnded
) -> effects.Log:
    fields = {
        "target": target.entry.name,
        "address": target.entry.address,
        "reason": event.reason,
        "paused_until_s": round(target.ejected_until_s, 3),
    }
    return effects.Log("targets", text, fields)


def _may_retry(
    state: states.State, request: states.Request, event: events.AttemptEnded
) -> bool:
    return (
        event.replayable
        and request.sent < request.route.max_attempts
        and request.ends_s - state.now_s > MIN_REMAINING_S
        and _budget(state, request.service).try_withdraw()
    )


def _budget(state: states.State, service: str) -> pacing.RetryBudget:
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


def resize_retry_budgets(state: states.State) -> None:
    """Applies a change of the fleet or the settings to budgets of retries."""
    wanted = _new_budget(state)
    for budget in state.retry_budgets.values():
        budget.resize(wanted)


def _gave_up(
    request: states.Request, event: events.AttemptEnded
) -> effects.Refuse:
    match event.outcome:
        case Outcome.EXPIRED:
            return refusals.refusal(request, 504, "deadline-exceeded", None)
        case Outcome.BROKEN:
            return refusals.refusal(request, 502, "outcome-unknown", None)
    return refusals.refusal(request, 503, "no-capacity", FULL_RETRY_S)


def closed(state: states.State, event: events.RequestClosed) -> Effects:
    """Frees all that a request holds."""
    request = state.requests.pop(event.request_id, None)
    if request is None:
        return []
    quota.forget(state.quota, request.request_id)
    if request.target is not None:
        request.target.in_flight -= 1
    return []
