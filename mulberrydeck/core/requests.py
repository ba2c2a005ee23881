"""Request handling: authentication, admission, VM choice, forwarding, retries.

The entry VM, which received the request from the caller, authenticates it,
admits it under the account's limit and chooses a VM. The owner of a target
acquires a slot of the target, claims a single run and sends the request. Both
may be the same VM. Only the entry VM retries.
"""

from mulberrydeck import errors
from mulberrydeck.core import admission
from mulberrydeck.core import attempts
from mulberrydeck.core import authentication
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import problems
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
# Bounds the attempts on a hop to which connections open too slowly.
MAX_UNSENT_ATTEMPTS = 4
NO_CAPACITY_RETRY_S = 0.5

Effects = list[object]


def handle_arrival(
    state: core_state.State, event: events.RequestArrived
) -> Effects:
    """Decides on a new request from a caller or a relaying VM."""
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
    request = _register(state, event, route, account)
    if event.relayed_account is not None:
        return _acquire_slot(state, request)
    state.retry_budget.earn()
    return _admit(state, request)


def _register(
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


def _admit(
    state: core_state.State, request: core_state.Request, first: bool = False
) -> Effects:
    """Admits a request under its account's limit.

    It continues at once, is refused, or waits for `QuotaDecided`.

    Args:
        state: State of this VM.
        request: The request.
        first: Whether it goes before requests that wait for quota.
    """
    if not admission.is_limited(state, request):
        return _continue_admitted(state, request)
    resource = f"account/{request.account}"
    result, produced = quota.admit(
        state.quota, state.now_s, resource, request.request_id, first
    )
    match result:
        case quota_state.Admitted():
            return [*produced, *_continue_admitted(state, request)]
        case quota_state.Denied(retry_after_s):
            problem = problems.rate_limited(request.account, retry_after_s)
            return [*produced, *_refuse(state, request, problem)]
    return list(produced)


def handle_quota_decision(
    state: core_state.State, event: quota_effects.QuotaDecided
) -> Effects:
    """Continues a request that waited for quota."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    if event.admitted:
        return _continue_admitted(state, request)
    problem = problems.rate_limited(request.account, event.retry_after_s)
    return _refuse(state, request, problem)


def _continue_admitted(
    state: core_state.State, request: core_state.Request
) -> Effects:
    """Sends an admitted request, or chooses a VM if it holds no slot yet."""
    request.admitted_at_s = state.now_s
    if request.target:
        return _send_to_target(state, request)
    return _choose_vm(state, request)


def _choose_vm(
    state: core_state.State,
    request: core_state.Request,
    retry_after_s: float = NO_CAPACITY_RETRY_S,
) -> Effects:
    if state.now_s >= request.deadline_at_s:
        return _refuse(state, request, problems.deadline_exceeded("no"))
    chosen = None
    if request.attempts - request.unsent_attempts < MAX_ATTEMPTS:
        chosen = choice.choose(
            state.routing,
            state.now_s,
            request.service,
            frozenset(request.excluded),
            exhausted_links(state),
        )
    match chosen:
        case choice.Local():
            return _acquire_slot(state, request)
        case choice.Remote(vm):
            return _relay(state, request, vm)
    problem = problems.no_capacity(request.service, retry_after_s)
    return _refuse(state, request, problem)


def exhausted_links(state: core_state.State) -> frozenset[str]:
    """Returns the links, as `from/to` regions, on which this VM lacks quota."""
    return frozenset(quota.exhausted_links(state.quota))


def _relay(
    state: core_state.State, request: core_state.Request, vm: str
) -> Effects:
    if admission.is_expiring(state, request):
        return _readmit(state, request)
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


def _acquire_slot(
    state: core_state.State, request: core_state.Request
) -> Effects:
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
            return produced + _handle_no_slot(state, request, retry_after_s)
    return produced


def handle_slot_decision(
    state: core_state.State, event: events.SlotDecided
) -> Effects:
    """Continues a request that waited for a slot."""
    request = state.requests.get(event.request_id)
    if request is None:
        return []
    if event.target:
        return _use_slot(state, request, event.target, event.address)
    return _handle_no_slot(state, request, NO_CAPACITY_RETRY_S)


def _handle_no_slot(
    state: core_state.State, request: core_state.Request, retry_after_s: float
) -> Effects:
    if request.relayed_attempt:
        problem = problems.no_capacity(request.service, retry_after_s)
        return _refuse(state, request, problem)
    return _choose_vm(state, request, retry_after_s)


def _use_slot(
    state: core_state.State,
    request: core_state.Request,
    target: str,
    address: str,
) -> Effects:
    request.target = target
    request.target_address = address
    if not request.run_id:
        return _send_to_target(state, request)
    attempt = request.relayed_attempt or request.attempts + 1
    claim = effects.ClaimRun(
        request.request_id, attempt, request.account, request.run_id
    )
    return [claim]


def handle_claim_decision(
    state: core_state.State, event: events.ClaimDecided
) -> Effects:
    """Sends a single run whose claim was won, or refuses it."""
    request = state.requests.get(event.request_id)
    won = event.outcome is events.ClaimOutcome.WON
    if request is None:
        return [_release_claim(event)] if won else []
    match event.outcome:
        case events.ClaimOutcome.WON:
            request.claimed = True
            return _send_to_target(state, request)
        case events.ClaimOutcome.TAKEN:
            problem = problems.claim_taken()
        case events.ClaimOutcome.FINISHED:
            problem = problems.claim_finished(event.status)
        case _:
            problem = problems.claim_unavailable()
    return _refuse(state, request, problem)


def _release_claim(event: events.ClaimDecided) -> effects.RecordRun:
    """Releases a claim whose caller disconnected before the run was sent."""
    return effects.RecordRun(
        event.request_id, event.account, event.run_id, status=0
    )


def _send_to_target(
    state: core_state.State, request: core_state.Request
) -> Effects:
    """Sends a request to the target whose slot it holds.

    A request whose admission is about to expire, after a wait or a stall of
    the process, is readmitted first. Otherwise requests that were admitted
    over a long time could arrive together and exceed the account's burst.
    """
    remaining_s = request.deadline_at_s - state.now_s
    if remaining_s <= 0:
        return _refuse(state, request, problems.deadline_exceeded("no"))
    if admission.is_expiring(state, request):
        return _readmit(state, request)
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


def _readmit(state: core_state.State, request: core_state.Request) -> Effects:
    """Admits a request again whose admission expires before it was sent.

    The unused token is not refunded: the bucket has refilled since, and
    together with the refund it would admit more than the rate and burst of the
    account. The request goes before those that wait, as on a busy VM it would
    otherwise expire again behind them.
    """
    return _admit(state, request, first=True)


def handle_attempt_end(
    state: core_state.State, event: events.AttemptEnded
) -> Effects:
    """Records the end of an attempt; retries or refuses a failed one.

    A retry after an unknown outcome is admitted again, since the target may
    have run the request.
    """
    request = state.requests.get(event.request_id)
    if request is None or event.attempt != request.attempts:
        return []
    if _may_resend(state, request, event):
        return _resend(state, request)
    produced = attempts.end_attempt(state, request, event)
    if event.outcome is outcomes.AttemptOutcome.ANSWERED:
        return produced
    if not _may_retry(state, request, event):
        problem = _final_problem(state, event)
        return produced + _refuse(state, request, problem)
    if event.outcome is outcomes.AttemptOutcome.UNKNOWN:
        return produced + _admit(state, request)
    return produced + _choose_vm(state, request)


def _may_resend(
    state: core_state.State,
    request: core_state.Request,
    event: events.AttemptEnded,
) -> bool:
    """Returns whether a request that was not sent may use its hop again."""
    if event.outcome is not outcomes.AttemptOutcome.NOT_SENT:
        return False
    if request.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
        return False
    if request.target and not routing.is_usable(
        state.routing, state.now_s, request.target
    ):
        return False
    return event.replayable


def _resend(state: core_state.State, request: core_state.Request) -> Effects:
    """Admits a request again that was too late for its admission.

    It keeps its slot and its claim, or may be relayed to the same VM again, as
    that did not fail and may be the only one that can serve the request.
    """
    request.unsent_attempts += 1
    attempts.return_relay(state, request)
    return _readmit(state, request)


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
        return state.retry_budget.spend()
    return True


def _final_problem(
    state: core_state.State, event: events.AttemptEnded
) -> errors.Problem:
    request = state.requests[event.request_id]
    if event.outcome is outcomes.AttemptOutcome.UNKNOWN:
        if state.now_s >= request.deadline_at_s:
            return problems.deadline_exceeded("unknown")
        return problems.outcome_unknown()
    return problems.no_capacity(request.service, NO_CAPACITY_RETRY_S)


def _refuse(
    state: core_state.State,
    request: core_state.Request,
    problem: errors.Problem,
) -> Effects:
    released = attempts.cancel_attempt(state, request)
    refusal = effects.Refuse(request.request_id, problem, request.account)
    return [*released, refusal]


def handle_close(
    state: core_state.State, event: events.RequestClosed
) -> Effects:
    """Releases the quota wait and the slot or relay of a request.

    The outcome of its single run may stay unknown.
    """
    request = state.requests.pop(event.request_id, None)
    if request is None:
        return []
    quota.cancel(state.quota, request.request_id)
    return routing.cancel(state.routing, state.now_s, request.request_id)
