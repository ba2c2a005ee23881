"""Life of one request: authenticate, limit, choose, forward, retry.

The VM that a caller reached (entry VM) authenticates and limits. The VM that
owns the chosen target (owner) takes the slot, claims a single run and sends
the request. They may be the same VM. Only the entry VM retries.
"""

from mulberrydeck import errors
from mulberrydeck.core import admission
from mulberrydeck.core import authentication
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import problems
from mulberrydeck.core import settlement
from mulberrydeck.core import state as core_state
from mulberrydeck.forward import outcomes
from mulberrydeck.model import configuration
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import choice
from mulberrydeck.routing import reducer as routing
from mulberrydeck.routing import state as routing_state

MAX_ATTEMPTS = 4
NO_CHOICE_RETRY_S = 0.5

Effects = list[object]


def arrived(state: core_state.State, event: events.RequestArrived) -> Effects:
    """Decides on a request head from a caller or a relaying VM."""
    route = authentication.route_of(state, event)
    if isinstance(route, errors.Problem):
        return [effects.Refuse(event.request_id, route)]
    if event.relayed_account is None:
        account = authentication.authenticate(state, event, route)
    else:
        account = event.relayed_account
    if isinstance(account, errors.Problem):
        return [effects.Refuse(event.request_id, account)]
    if not route.repeatable and not event.run_id:
        problem = problems.run_id_missing()
        return [effects.Refuse(event.request_id, problem)]
    request = _open(state, event, route, account)
    if event.relayed_account is not None:
        return _acquire(state, request)
    state.retries.earn()
    return _limit(state, request)


def _open(
    state: core_state.State,
    event: events.RequestArrived,
    route: configuration.Route,
    account: str,
) -> core_state.Request:
    allowed_s = route.deadline_s
    if event.deadline_s > 0:
        allowed_s = min(allowed_s, event.deadline_s)
    request = core_state.Request(
        request_id=event.request_id,
        service=event.service,
        route=route,
        account=account,
        run_id=event.run_id if not route.repeatable else "",
        relayed_attempt=event.relayed_attempt,
        deadline_at_s=event.at_s + allowed_s,
        admitted_at_s=event.at_s,
    )
    state.requests[event.request_id] = request
    return request


def _limit(state: core_state.State, request: core_state.Request) -> Effects:
    """Takes a token of the account's limit and goes on, or refuses."""
    if not admission.is_limited(state, request):
        return _proceed(state, request)
    resource = f"account/{request.account}"
    verdict, produced = quota.admit(
        state.quota, state.now_s, resource, request.request_id
    )
    match verdict:
        case quota_state.Admitted():
            return [*produced, *_proceed(state, request)]
        case quota_state.Denied(retry_after_s):
            problem = problems.rate_limited(request.account, retry_after_s)
            return [*produced, *_refuse(state, request, problem)]
    return list(produced)


def quota_decided(
    state: core_state.State, event: quota_effects.QuotaDecided
) -> Effects:
    """Continues a request that waited for quota."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    if event.admitted:
        return _proceed(state, request)
    problem = problems.rate_limited(request.account, event.retry_after_s)
    return _refuse(state, request, problem)


def _proceed(state: core_state.State, request: core_state.Request) -> Effects:
    """Goes on with a request that has just been admitted."""
    request.admitted_at_s = state.now_s
    if request.target:
        return _send(state, request)
    return _choose(state, request)


def _choose(
    state: core_state.State,
    request: core_state.Request,
    retry_after_s: float = NO_CHOICE_RETRY_S,
) -> Effects:
    if state.now_s >= request.deadline_at_s:
        return _refuse(state, request, problems.deadline_exceeded("no"))
    picked = None
    if request.attempts < MAX_ATTEMPTS:
        picked = choice.choose(
            state.routing,
            state.now_s,
            request.service,
            frozenset(request.excluded),
            full_links(state),
        )
    match picked:
        case choice.Local():
            return _acquire(state, request)
        case choice.Remote(vm):
            return _relay(state, request, vm)
    problem = problems.no_capacity(request.service, retry_after_s)
    return _refuse(state, request, problem)


def full_links(state: core_state.State) -> frozenset[str]:
    """Returns the links on which this VM lacks quota."""
    return frozenset(quota.short_links(state.quota))


def _relay(
    state: core_state.State, request: core_state.Request, vm: str
) -> Effects:
    if admission.is_old(state, request):
        return _admit_anew(state, request)
    heartbeat = state.members.peers[vm].heartbeat
    request.attempts += 1
    request.excluded.add(vm)
    request.relayed_to = vm
    choice.record_relay(
        state.routing, state.now_s, request.service, vm, request.request_id
    )
    forward = effects.ForwardToVm(
        request_id=request.request_id,
        attempt=request.attempts,
        vm=vm,
        address=heartbeat.relay_address,
        account=request.account,
        remaining_s=request.deadline_at_s - state.now_s,
        repeatable=request.route.repeatable,
        link=_link(state, heartbeat.zone),
        start_by_s=admission.start_by_s(state, request),
    )
    return [forward]


def _link(state: core_state.State, zone: str) -> str:
    source = state.configuration.region_of(state.settings.zone)
    destination = state.configuration.region_of(zone)
    return "" if source == destination else f"{source}/{destination}"


def _acquire(state: core_state.State, request: core_state.Request) -> Effects:
    request.excluded.add(state.settings.name)
    result, produced = routing.acquire(
        state.routing,
        state.now_s,
        request.service,
        request.account,
        request.request_id,
    )
    match result:
        case routing_state.Acquired(target, address):
            return produced + _use_slot(state, request, target, address)
        case routing_state.Queued():
            return produced
        case routing_state.Full(retry_after_s):
            return produced + _no_slot(state, request, retry_after_s)
    return produced


def slot_decided(state: core_state.State, event: events.SlotDecided) -> Effects:
    """Continues a request that waited for a slot."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    if event.target:
        return _use_slot(state, request, event.target, event.address)
    return _no_slot(state, request, NO_CHOICE_RETRY_S)


def _no_slot(
    state: core_state.State, request: core_state.Request, retry_after_s: float
) -> Effects:
    if request.relayed_attempt:
        problem = problems.no_capacity(request.service, retry_after_s)
        return _refuse(state, request, problem)
    return _choose(state, request, retry_after_s)


def _use_slot(
    state: core_state.State,
    request: core_state.Request,
    target: str,
    address: str,
) -> Effects:
    request.target = target
    request.target_address = address
    if not request.run_id:
        return _send(state, request)
    attempt = request.relayed_attempt or request.attempts + 1
    claim = effects.ClaimRun(
        request.request_id, attempt, request.account, request.run_id
    )
    return [claim]


def claim_answered(
    state: core_state.State, event: events.ClaimDecided
) -> Effects:
    """Sends a claimed run, or refuses it."""
    request = state.requests.get(event.request_id)
    won = event.outcome is events.ClaimOutcome.WON
    if request is None:
        return [_release_claim(event)] if won else []
    match event.outcome:
        case events.ClaimOutcome.WON:
            request.claimed = True
            return _send(state, request)
        case events.ClaimOutcome.TAKEN:
            problem = problems.claim_taken()
        case events.ClaimOutcome.FINISHED:
            problem = problems.claim_finished(event.status)
        case _:
            problem = problems.claim_unavailable()
    return _refuse(state, request, problem)


def _release_claim(event: events.ClaimDecided) -> effects.RecordRun:
    """Gives back a claim whose caller hung up before the run was sent."""
    return effects.RecordRun(
        event.request_id, event.account, event.run_id, status=0
    )


def _send(state: core_state.State, request: core_state.Request) -> Effects:
    """Sends a request to the target whose slot it holds.

    An admission that has become old, because of a wait or a pause of the
    process, would let requests bunch beyond the account's burst.
    """
    remaining_s = request.deadline_at_s - state.now_s
    if remaining_s <= 0:
        return _refuse(state, request, problems.deadline_exceeded("no"))
    if admission.is_old(state, request):
        return _admit_anew(state, request)
    request.attempts += 1
    forward = effects.ForwardToTarget(
        request_id=request.request_id,
        attempt=request.attempts,
        target=request.target,
        address=request.target_address,
        account=request.account,
        remaining_s=remaining_s,
        repeatable=request.route.repeatable,
        start_by_s=admission.start_by_s(state, request),
    )
    return [forward]


def _admit_anew(
    state: core_state.State, request: core_state.Request
) -> Effects:
    """Admits a request again whose admission ended before it was sent.

    The unused token goes back, unless another VM took it.
    """
    if not request.relayed_attempt:
        resource = f"account/{request.account}"
        quota.refund(state.quota, state.now_s, resource)
    return _limit(state, request)


def attempt_ended(
    state: core_state.State, event: events.AttemptEnded
) -> Effects:
    """Records how an attempt ended; a failed one is retried or refused."""
    request = state.requests.get(event.request_id)
    if request is None or event.attempt != request.attempts:
        return []
    produced = settlement.settle(state, request, event)
    if event.outcome is outcomes.AttemptOutcome.ANSWERED:
        return produced
    if not _may_retry(state, request, event):
        problem = _final_problem(state, event)
        return produced + _refuse(state, request, problem)
    if event.outcome is outcomes.AttemptOutcome.UNKNOWN:
        return produced + _limit(state, request)
    return produced + _choose(state, request)


def _may_retry(
    state: core_state.State,
    request: core_state.Request,
    event: events.AttemptEnded,
) -> bool:
    if request.relayed_attempt or not event.replayable:
        return False
    if event.outcome is outcomes.AttemptOutcome.UNKNOWN:
        if not request.route.repeatable:
            return False
        return state.retries.spend()
    return True


def _final_problem(
    state: core_state.State, event: events.AttemptEnded
) -> errors.Problem:
    request = state.requests[event.request_id]
    if event.outcome is outcomes.AttemptOutcome.UNKNOWN:
        if state.now_s >= request.deadline_at_s:
            return problems.deadline_exceeded("unknown")
        return problems.outcome_unknown()
    return problems.no_capacity(request.service, NO_CHOICE_RETRY_S)


def _refuse(
    state: core_state.State,
    request: core_state.Request,
    problem: errors.Problem,
) -> Effects:
    given_back = settlement.give_back(state, request)
    refusal = effects.Refuse(request.request_id, problem, request.account)
    return [*given_back, refusal]


def closed(state: core_state.State, event: events.RequestClosed) -> Effects:
    """Frees all that a request holds; its outcome may stay unknown."""
    request = state.requests.pop(event.request_id, None)
    if request is None:
        return []
    quota.forget(state.quota, request.request_id)
    return routing.cancel(state.routing, state.now_s, request.request_id)
