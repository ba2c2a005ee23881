"""Admission of requests to the slots of owned targets."""

from mulberrydeck.core import events
from mulberrydeck.forward import outcomes
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import health
from mulberrydeck.routing import ownership
from mulberrydeck.routing import queueing
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state

QUEUE_LENGTH_PER_SLOT = 4
LEAST_QUEUE_LENGTH = 8
LEAST_RETRY_AFTER_S = 0.1
NO_OWNER_RETRY_AFTER_S = 1.0
HOLD_TIME_SMOOTHING = 0.1

Raised = list[quota_effects.Raise]


def acquire(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    account: str,
    request_id: str,
) -> tuple[
    routing_state.Acquired | routing_state.Queued | routing_state.Full,
    Raised,
]:
    """Takes a slot of an owned target, or waits for one.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        account: Client account, or empty on open routes.
        request_id: The request.
    """
    usable = _usable_slots(state, now_s, service)
    if not usable:
        target = _last_resort(state, now_s, service)
        if target is not None:
            return _take(state, now_s, target, account, request_id), []
        _account(state, account).refused += 1
        return routing_state.Full(NO_OWNER_RETRY_AFTER_S), []
    raised = dispatch(state, now_s, service)
    target = _least_loaded(state, now_s, service)
    if target is not None:
        return _take(state, now_s, target, account, request_id), raised
    answer, refused = _enqueue(
        state, now_s, service, account, request_id, usable
    )
    return answer, raised + refused


def dispatch(
    state: routing_state.RoutingState, now_s: float, service: str
) -> Raised:
    """Gives free slots to waiting requests, one client account after another.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    queue = routing_state.service_state(state, service).queue
    raised = _expire(state, now_s, queue)
    while queue.size:
        target = _least_loaded(state, now_s, service)
        if target is None:
            break
        waiter = queueing.pop(queue)
        del state.waiting[waiter.request_id]
        _take(state, now_s, target, waiter.account, waiter.request_id)
        decided = events.SlotDecided(
            now_s, waiter.request_id, target.target.name, target.address
        )
        raised.append(quota_effects.Raise(decided))
    return raised


def release(
    state: routing_state.RoutingState,
    now_s: float,
    request_id: str,
    outcome: outcomes.AttemptOutcome | None,
    status: int,
) -> Raised:
    """Frees the slot of a request, judges its target and serves the queue.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        request_id: The request.
        outcome: How the attempt ended, or None if the caller went away.
        status: HTTP status of the answer, or 0.
    """
    use = state.slot_uses.pop(request_id, None)
    if use is None:
        return []
    target = state.targets.get(use.target)
    if target is None:
        return []
    target.used -= 1
    service = target.target.service
    if outcome is outcomes.AttemptOutcome.ANSWERED:
        service_state = routing_state.service_state(state, service)
        held_s = now_s - use.acquired_s
        service_state.mean_hold_s += HOLD_TIME_SMOOTHING * (
            held_s - service_state.mean_hold_s
        )
    health.record_outcome(state, now_s, target, outcome, status)
    return dispatch(state, now_s, service)


def cancel(
    state: routing_state.RoutingState, now_s: float, request_id: str
) -> Raised:
    """Drops a request that went away, whether it waits or has a slot.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        request_id: The request.
    """
    waiting = state.waiting.pop(request_id, None)
    if waiting is None:
        return release(state, now_s, request_id, None, 0)
    service, account = waiting
    queue = routing_state.service_state(state, service).queue
    queueing.remove(queue, account, request_id)
    return []


def free_and_usable(
    state: routing_state.RoutingState, now_s: float, service: str
) -> tuple[int, int]:
    """Returns the free and the usable slots of the owned targets.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    warmup_s = state.settings.target_warmup_s
    free = 0
    usable = 0
    for target in ownership.owned_targets(state, now_s, service):
        open_slots = target_state.usable_slots(target, now_s, warmup_s)
        free += max(0, open_slots - target.used)
        usable += open_slots
    queued = routing_state.service_state(state, service).queue.size
    return max(0, free - queued), usable


def _usable_slots(
    state: routing_state.RoutingState, now_s: float, service: str
) -> int:
    warmup_s = state.settings.target_warmup_s
    return sum(
        target_state.usable_slots(target, now_s, warmup_s)
        for target in ownership.owned_targets(state, now_s, service)
    )


def has_last_resort(
    state: routing_state.RoutingState, now_s: float, service: str
) -> bool:
    """Returns whether an owned target may be tried as the last resort.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    return _last_resort(state, now_s, service) is not None


def _last_resort(
    state: routing_state.RoutingState, now_s: float, service: str
) -> target_state.TargetState | None:
    has_alternative = routing_state.service_state(
        state, service
    ).has_alternative
    found = [
        target
        for target in ownership.owned_targets(state, now_s, service)
        if target_state.last_resort_slots(target, now_s, has_alternative)
    ]
    return state.rng.choice(found) if found else None


def _least_loaded(
    state: routing_state.RoutingState, now_s: float, service: str
) -> target_state.TargetState | None:
    warmup_s = state.settings.target_warmup_s
    best = None
    best_rank = None
    for target in ownership.owned_targets(state, now_s, service):
        usable = target_state.usable_slots(target, now_s, warmup_s)
        if target.used >= usable:
            continue
        load = target.used / usable
        rank = (target.suspect, load, state.rng.random())
        if best_rank is None or rank < best_rank:
            best = target
            best_rank = rank
    return best


def _take(
    state: routing_state.RoutingState,
    now_s: float,
    target: target_state.TargetState,
    account: str,
    request_id: str,
) -> routing_state.Acquired:
    target.used += 1
    state.slot_uses[request_id] = routing_state.SlotUse(
        target.target.name, now_s
    )
    _account(state, account).granted += 1
    return routing_state.Acquired(target.target.name, target.address)


def _enqueue(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    account: str,
    request_id: str,
    usable: int,
) -> tuple[routing_state.Queued | routing_state.Full, Raised]:
    service_state = routing_state.service_state(state, service)
    capacity = max(LEAST_QUEUE_LENGTH, QUEUE_LENGTH_PER_SLOT * usable)
    waiter = queueing.Waiter(
        request_id, account, now_s + state.settings.slot_wait_s
    )
    waits, evicted = queueing.push(service_state.queue, waiter, capacity)
    if not waits:
        _account(state, account).refused += 1
        return routing_state.Full(retry_after_s(state, service, usable)), []
    state.waiting[request_id] = (service, account)
    if evicted is None:
        return routing_state.Queued(), []
    return routing_state.Queued(), [_refuse(state, now_s, evicted)]


def retry_after_s(
    state: routing_state.RoutingState, service: str, usable: int
) -> float:
    """Returns when a request that comes back is likely to get a slot.

    That is the time that the usable slots need for the requests which now
    hold a slot or wait for one.

    Args:
        state: State of the routing part.
        service: Name of the service.
        usable: Usable slots of the owned targets.
    """
    service_state = routing_state.service_state(state, service)
    rounds = 1 + service_state.queue.size / max(1, usable)
    return max(LEAST_RETRY_AFTER_S, rounds * service_state.mean_hold_s)


def _expire(
    state: routing_state.RoutingState, now_s: float, queue: queueing.FairQueue
) -> Raised:
    return [
        _refuse(state, now_s, waiter)
        for waiter in queueing.expire(queue, now_s)
    ]


def _refuse(
    state: routing_state.RoutingState, now_s: float, waiter: queueing.Waiter
) -> quota_effects.Raise:
    del state.waiting[waiter.request_id]
    _account(state, waiter.account).refused += 1
    return quota_effects.Raise(events.SlotDecided(now_s, waiter.request_id))


def _account(
    state: routing_state.RoutingState, account: str
) -> routing_state.AccountCounts:
    counts = state.accounts.get(account)
    if counts is None:
        counts = routing_state.AccountCounts()
        state.accounts[account] = counts
    return counts
