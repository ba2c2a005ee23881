"""Handling of a request: arrival, rate limit, ends of attempts, release.

In between, `slot_requests` finds a target for each attempt.
"""

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import client as slots
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import forwarding
from mulberrydeck.steering import members
from mulberrydeck.steering import observations
from mulberrydeck.steering import refusals
from mulberrydeck.steering import retries
from mulberrydeck.steering import slot_requests
from mulberrydeck.steering import state as states
from mulberrydeck.steering import stopping
from mulberrydeck.steering import tables
from mulberrydeck.steering import targets

Outcome = events.Outcome

DEFAULT_TIMEOUT_S = 10.0  # For callers that specify no deadline.
# Time for a new process to read the configuration.
STARTING_RETRY_S = 0.3
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
        return [forwarding.stopping_refusal(state, request)]
    retries.budget_of(state, request.service).deposit()
    return _apply_rate_limit(state, request)


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
    """Places a request once its account's limit admits it.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        first: Whether it goes before the waiting requests, since it was
            admitted before.
    """
    if request.account is None or request.account.rate_per_s <= 0:
        return slot_requests.place(state, request)
    verdict, produced = quota.admit(
        state.quota,
        state.now_s,
        members.limit_resource(request.account.name),
        request.request_id,
        first,
    )
    match verdict:
        case quota_state.Admitted():
            return [*produced, *slot_requests.place(state, request)]
        case quota_state.Denied(retry_after_s):
            return [*produced, _rate_limited(state, request, retry_after_s)]
    return list(produced)


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
        return slot_requests.place(state, request)
    return [_rate_limited(state, request, retry_after_s)]


def attempt_ended(state: states.State, event: events.AttemptEnded) -> Effects:
    """Records the outcome of an attempt; retries or ends the request."""
    request = state.requests.get(event.request_id)
    if request is None or request.target is None:
        return []
    target = request.target
    request.target = None
    target.in_flight -= 1
    observations.observe_latency(state, request, target, event)
    produced = slot_requests.give_back(
        state, request, slot_requests.result_of(event), event
    )
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
    return [*produced, *slot_requests.place(state, request)]


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
    return None if retries.may_retry(state, request, event) else final


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
        return slot_requests.place(state, request)
    return _apply_rate_limit(state, request, first=True)


def _refusal_after_attempt(
    request: states.Request, event: events.AttemptEnded
) -> effects.Refuse:
    """Returns the refusal of a request whose last attempt ended this way."""
    match event.outcome:
        case Outcome.EXPIRED:
            return refusals.refusal(request, 504, "deadline-exceeded", None)
        case Outcome.BROKEN | Outcome.UNCLEAR:
            # A request that must run at most once is not to be sent again.
            pause_s = event.pause_s if request.repeatable else 0.0
            return refusals.refusal(
                request, 502, "outcome-unknown", pause_s or None
            )
    return refusals.refusal(
        request, 503, "no-capacity", forwarding.NO_CAPACITY_RETRY_S
    )


def closed(state: states.State, event: events.RequestClosed) -> Effects:
    """Releases the state of a request."""
    request = state.requests.pop(event.request_id, None)
    if request is None:
        return []
    quota.cancel(state.quota, request.request_id)
    produced = slots.cancel(state, request)
    if request.target is not None:
        request.target.in_flight -= 1
        produced += slot_requests.give_back(
            state, request, slot_messages.NOT_SENT
        )
    return slot_requests.apply_decisions(state, produced)
