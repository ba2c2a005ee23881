"""Handling of a request: routing, rate limit, placement, retries, refusal."""

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import client as slots
from mulberrydeck.scheduling import decisions
from mulberrydeck.scheduling import scheduler
from mulberrydeck.steering import admission
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import members
from mulberrydeck.steering import observations
from mulberrydeck.steering import pacing
from mulberrydeck.steering import placement
from mulberrydeck.steering import refusals
from mulberrydeck.steering import state as states
from mulberrydeck.steering import stopping
from mulberrydeck.steering import tables
from mulberrydeck.steering import targets

Outcome = events.Outcome
Placement = effects.Placement

DEFAULT_TIMEOUT_S = 10.0  # For callers that specify no deadline.
# With less time remaining, no target could respond by the deadline.
MIN_REMAINING_S = 0.02
# Targets work on a request for some tenths of a second.
NO_CAPACITY_RETRY_S = 0.25
# Time for a new process to read the configuration.
STARTING_RETRY_S = 0.3
MAX_LOGGED_AGE_S = 99.0  # Also logged for values never observed.
MAX_CONNECT_FAILURES = 3  # Limits the time spent on unreachable targets.

Effects = list[object]


def arrived(state: states.State, event: events.RequestArrived) -> Effects:
    """Handles a request whose head was read."""
    if state.table is None or not state.target_directory.listed:
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
    request = _create_request(state, event, route, account)
    if stopping.may_cut_off(state, request):
        return [_stopping(state, request)]
    _retry_budget(state, request.service).deposit()
    return _apply_rate_limit(state, request)


def _stopping(state: states.State, request: states.Request) -> effects.Refuse:
    inputs = {
        "until_deadline_s": round(request.deadline_s - state.now_s, 3),
        "until_end_s": round(state.finish_by_s - state.now_s, 3),
    }
    return refusals.refusal(request, 503, "stopping", stopping.RETRY_S, inputs)


def _create_request(
    state: states.State,
    event: events.RequestArrived,
    route: tables.Route,
    account: tables.Account | None,
) -> states.Request:
    timeout_s = DEFAULT_TIMEOUT_S
    if event.timeout_s is not None:
        timeout_s = event.timeout_s
    if route.timeout_s > 0:
        timeout_s = min(timeout_s, route.timeout_s)
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
        arrived_s=event.arrived_s,
        deadline_s=event.arrived_s + timeout_s,
    )
    state.requests[event.request_id] = request
    return request


def _apply_rate_limit(
    state: states.State, request: states.Request, first: bool = False
) -> Effects:
    if request.account is None or request.account.rate_per_s <= 0:
        return _place(state, request)
    verdict, produced = quota.admit(
        state.quota,
        state.now_s,
        members.limit_resource(request.account.name),
        request.request_id,
        first,
    )
    match verdict:
        case quota_state.Admitted():
            return [*produced, *_place(state, request)]
        case quota_state.Denied(retry_after_s):
            return [*produced, _rate_limited(state, request, retry_after_s)]
    return list(produced)


def _refund_token(state: states.State, request: states.Request) -> None:
    """Refunds the token of an account if no attempt was sent."""
    if request.sent == 0 and request.account is not None:
        resource = members.limit_resource(request.account.name)
        quota.refund(state.quota, state.now_s, resource)


def _rate_limited(
    state: states.State, request: states.Request, retry_after_s: float
) -> effects.Refuse:
    resource = members.limit_resource(request.account.name)
    balance = state.quota.resources.get(resource)
    inputs = {
        "account": request.account.name,
        "rate_per_s": request.account.rate_per_s,
        "version": state.table.version,
        "waited_s": round(state.now_s - request.arrived_s, 3),
    }
    if balance is not None:
        inputs["tokens"] = round(balance.tokens, 2)
        inputs["own_units"] = balance.own_units
        inputs["lent_units"] = balance.lent_units
        inputs["borrowed_units"] = balance.borrowed_units
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
    return [_rate_limited(state, request, retry_after_s)]


def _place(state: states.State, request: states.Request) -> Effects:
    """Forwards the request to a target, or refuses it."""
    ended = _end_without_time(state, request)
    if ended is not None:
        return [ended]
    if slots.is_scheduled(state, request.service):
        produced = slots.ask(state, request)
        if produced is not None:
            return _apply_slot_decisions(state, produced)
    return _place_locally(state, request, "")


def _end_without_time(
    state: states.State, request: states.Request
) -> effects.Decision | None:
    """Returns the decision on a request that no target can serve in time.

    Returns:
        The decision; None if there is enough time.
    """
    if not request.may_have_run and stopping.may_cut_off(state, request):
        _refund_token(state, request)
        return _stopping(state, request)
    if request.deadline_s - state.now_s < MIN_REMAINING_S:
        if request.deliverable:
            return effects.Deliver(request.request_id)
        return refusals.refusal(request, 504, "deadline-exceeded", None)
    return None


def _place_locally(
    state: states.State, request: states.Request, why: str
) -> Effects:
    """Forwards the request to a target that this VM chooses, or refuses it.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        why: Why no scheduler granted a slot, for logs; empty without scheduler.
    """
    required = _requirements(state, request)
    choice = state.choose(
        state.target_directory, state.pacer, state.now_s, required
    )
    match choice:
        case placement.NoCapacity():
            return [_refuse_or_deliver(state, request, choice)]
        case placement.Chosen(target, reason):
            inputs = {"alone_because": why} if why else {}
            how = Placement.ALONE if why else Placement.UNSCHEDULED
            return [_forward(state, request, target, reason, how, inputs)]


def _refuse_or_deliver(
    state: states.State,
    request: states.Request,
    choice: placement.NoCapacity,
) -> effects.Decision:
    """Without another target, an error response received is delivered."""
    if request.deliverable:
        return effects.Deliver(request.request_id)
    return _no_capacity(state, request, choice)


def _requirements(
    state: states.State, request: states.Request
) -> placement.Requirements:
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


def slot_message_received(
    state: states.State, sender: str, message: object
) -> Effects:
    """Applies a message about slots of targets."""
    return _apply_slot_decisions(state, slots.receive(state, sender, message))


def slots_ticked(state: states.State) -> Effects:
    """Does what is due for slots that VMs asked for."""
    produced = slots.ticked(state)
    produced += slots.deliver(state, scheduler.ticked(state))
    return _apply_slot_decisions(state, produced)


def scheduler_stopped(state: states.State) -> Effects:
    """Sends the requests that wait here for a slot to other schedulers."""
    produced = slots.deliver(state, scheduler.stopped(state))
    return _apply_slot_decisions(state, produced)


def _apply_slot_decisions(state: states.State, produced: Effects) -> Effects:
    """Replaces decisions on slots by what follows for their requests."""
    applied: Effects = []
    for item in produced:
        if isinstance(item, decisions.SlotDecision):
            request = state.requests.get(item.request_id)
            if request is not None:
                applied += _slot_decided(state, request, item)
        else:
            applied.append(item)
    return applied


def _slot_decided(
    state: states.State,
    request: states.Request,
    decision: decisions.SlotDecision,
) -> Effects:
    match decision:
        case decisions.Granted():
            return _slot_granted(state, request, decision)
        case decisions.Declined(retry_after_s=retry_after_s):
            if request.deliverable:
                return [effects.Deliver(request.request_id)]
            _refund_token(state, request)
            inputs = {"scheduler": decision.scheduler}
            return [
                refusals.refusal(
                    request, 503, "no-capacity", retry_after_s, inputs
                )
            ]
        case decisions.ChooseLocally(reason=reason):
            # The request may have waited for a slot until now.
            ended = _end_without_time(state, request)
            if ended is not None:
                return [ended]
            return _place_locally(state, request, reason)
    return []


def _slot_granted(
    state: states.State, request: states.Request, granted: decisions.Granted
) -> Effects:
    """Forwards a request to a target, if this VM may use it now."""
    target = granted.target
    ended = _end_without_time(state, request)
    if ended is not None:
        return [*_give_back(state, request, slot_messages.NOT_SENT), ended]
    required = _requirements(state, request)
    if not placement.is_usable(
        state.target_directory, target, state.now_s, required
    ) or not placement.may_send(state.pacer, state.now_s, target, required):
        return [
            *_give_back(state, request, slot_messages.UNUSABLE),
            *_place_locally(state, request, "granted target is unusable"),
        ]
    inputs = {
        "scheduler": granted.scheduler,
        "slot_wait_s": round(granted.waited_s, 3),
    }
    forward = _forward(
        state, request, target, granted.reason, Placement.GRANTED, inputs
    )
    return [attrs.evolve(forward, slot_wait_s=granted.waited_s)]


def _give_back(
    state: states.State,
    request: states.Request,
    result: str,
    event: events.AttemptEnded | None = None,
) -> Effects:
    """Returns the slot that a request used, if a scheduler granted it."""
    if not request.slot_holders:
        return []
    duration_s = None
    if event is not None and event.outcome is Outcome.ANSWERED:
        duration_s = round(state.now_s - request.attempt_s, 4)
    message = slot_messages.SlotReturn(
        request.request_id,
        request.service,
        result,
        duration_s,
        None if event is None else event.reported_load,
        None if event is None else event.reported_speed,
        request.slot_attempt,
    )
    return _apply_slot_decisions(
        state, slots.give_back(state, request, message)
    )


def _slot_result(event: events.AttemptEnded) -> str:
    match event.outcome:
        case Outcome.ANSWERED | Outcome.BROKEN | Outcome.UNCLEAR:
            if observations.is_failure(event):
                return slot_messages.FAILED
            return slot_messages.SUCCEEDED
        case Outcome.REJECTED:
            return slot_messages.REJECTED
        case Outcome.EXPIRED:
            return slot_messages.EXPIRED
        case Outcome.NOT_SENT | Outcome.WRONG_TARGET:
            return slot_messages.UNUSABLE
    return slot_messages.NOT_SENT


def _no_capacity(
    state: states.State,
    request: states.Request,
    choice: placement.NoCapacity,
) -> effects.Refuse:
    """Refuses a request; it may return when the first target may serve it."""
    _refund_token(state, request)
    inputs: dict[str, object] = {"usable_targets": choice.usable}
    retry_s = NO_CAPACITY_RETRY_S
    if choice.resumes_s is not None:
        pause_s = choice.resumes_s - state.now_s
        inputs["paused_s"] = round(pause_s, 3)
        # Spread, as all callers wait for the same moment.
        retry_s = pause_s + state.rng.uniform(0.0, NO_CAPACITY_RETRY_S)
    return refusals.refusal(request, 503, "no-capacity", retry_s, inputs)


def _forward(
    state: states.State,
    request: states.Request,
    target: targets.Target,
    reason: str,
    how: Placement,
    slot_inputs: dict[str, object],
) -> effects.Forward:
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


def attempt_ended(state: states.State, event: events.AttemptEnded) -> Effects:
    """Records the outcome of an attempt; retries or ends the request."""
    request = state.requests.get(event.request_id)
    if request is None or request.target is None:
        return []
    target = request.target
    request.target = None
    target.in_flight -= 1
    observations.observe_latency(state, request, target, event)
    if event.reported_load is not None:
        state.slot_client.load_reporting.add(request.service)
    produced = _give_back(state, request, _slot_result(event), event)
    if event.outcome is Outcome.DELAYED:
        return [*produced, *_decide_anew(state, request, target)]
    produced += observations.observe_notice(state, target, event)
    produced += observations.observe_outcome(state, target, event)
    had_free_slot = observations.rejected_with_free_slot(state, target, event)
    if had_free_slot:
        # It rejects at random, and has probably cached the object; the
        # scheduler prefers targets that reject fewer requests.
        request.tried.discard(target.entry.name)
    final = _final_decision(state, request, event)
    if final is not None:
        if had_free_slot:
            final = _without_delay(final)
        return [*produced, final]
    request.deliverable = event.outcome is Outcome.ANSWERED
    return [*produced, *_place(state, request)]


def _final_decision(
    state: states.State, request: states.Request, event: events.AttemptEnded
) -> effects.Decision | None:
    """Returns the decision that ends the request, or None to retry it."""
    match event.outcome:
        case Outcome.ANSWERED:
            if (
                event.status >= observations.MIN_SERVER_ERROR_STATUS
                and request.repeatable
            ):
                request.may_have_run = True
                return _unless_retried(
                    state, request, event, effects.Deliver(request.request_id)
                )
            return effects.Deliver(request.request_id)
        case Outcome.UNCLEAR:
            request.may_have_run = True
            if (
                not request.repeatable
                or event.status < observations.MIN_SERVER_ERROR_STATUS
            ):
                return _refusal_after_attempt(request, event)
        case Outcome.BROKEN | Outcome.EXPIRED:
            request.may_have_run = True
            if not request.repeatable:
                return _refusal_after_attempt(request, event)
        case Outcome.NOT_SENT:
            request.sent -= 1
            failures = len(request.tried) - request.sent
            if failures > MAX_CONNECT_FAILURES:
                return _refusal_after_attempt(request, event)
            return None
    return _unless_retried(
        state, request, event, _refusal_after_attempt(request, event)
    )


def _without_delay(decision: effects.Decision) -> effects.Decision:
    """Returns a refusal after which the caller may return at once.

    The target had a free slot, so that waiting makes no success more likely.
    """
    if isinstance(decision, effects.Refuse) and decision.retry_after_s:
        return attrs.evolve(decision, retry_after_s=0.0)
    return decision


def _unless_retried(
    state: states.State,
    request: states.Request,
    event: events.AttemptEnded,
    final: effects.Decision,
) -> effects.Decision | None:
    return None if _may_retry(state, request, event) else final


def _decide_anew(
    state: states.State, request: states.Request, target: targets.Target
) -> Effects:
    """Decides again on a request that was not sent in time.

    It is admitted again as well, unless an earlier attempt was sent. The unused
    token is not refunded: the bucket has refilled since, and together with the
    refund it would admit more than the rate and burst of the account.
    """
    request.sent -= 1
    request.tried.discard(target.entry.name)
    if request.sent > 0:
        return _place(state, request)
    return _apply_rate_limit(state, request, first=True)


def _may_retry(
    state: states.State, request: states.Request, event: events.AttemptEnded
) -> bool:
    return (
        event.replayable
        and request.sent < request.route.max_attempts
        and request.deadline_s - state.now_s > MIN_REMAINING_S
        and _retry_budget(state, request.service).try_withdraw()
    )


def _retry_budget(state: states.State, service: str) -> pacing.RetryBudget:
    budget = state.retry_budgets.get(service)
    if budget is None:
        budget = _new_retry_budget(state)
        state.retry_budgets[service] = budget
    return budget


def _new_retry_budget(state: states.State) -> pacing.RetryBudget:
    return pacing.retry_budget(
        state.settings.retry_ratio,
        state.settings.retry_extra,
        len(state.fleet.names),
    )


def resize_retry_budgets(state: states.State) -> None:
    """Applies a change of the fleet or the settings to the retry budgets."""
    new = _new_retry_budget(state)
    for budget in state.retry_budgets.values():
        budget.resize(new)


def _refusal_after_attempt(
    request: states.Request, event: events.AttemptEnded
) -> effects.Refuse:
    match event.outcome:
        case Outcome.EXPIRED:
            return refusals.refusal(request, 504, "deadline-exceeded", None)
        case Outcome.BROKEN | Outcome.UNCLEAR:
            # A request that must run at most once is not to be sent again.
            pause_s = event.pause_s if request.repeatable else 0.0
            return refusals.refusal(
                request, 502, "outcome-unknown", pause_s or None
            )
    return refusals.refusal(request, 503, "no-capacity", NO_CAPACITY_RETRY_S)


def closed(state: states.State, event: events.RequestClosed) -> Effects:
    """Releases the state of a request."""
    request = state.requests.pop(event.request_id, None)
    if request is None:
        return []
    quota.cancel(state.quota, request.request_id)
    produced = slots.cancel(state, request)
    if request.target is not None:
        request.target.in_flight -= 1
        produced += _give_back(state, request, slot_messages.NOT_SENT)
    return _apply_slot_decisions(state, produced)
