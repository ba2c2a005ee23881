"""Admission of requests to slots of the targets that this VM owns."""

from mulberrydeck.core import events
from mulberrydeck.forward import outcomes
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import health
from mulberrydeck.routing import ownership
from mulberrydeck.routing import queueing
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state

QUEUE_LENGTH_PER_SLOT = 4
MIN_QUEUE_LENGTH = 8
MIN_RETRY_AFTER_S = 0.1
NO_OWNER_RETRY_AFTER_S = 1.0
HOLD_TIME_SMOOTHING = 0.1

RaisedEvents = list[quota_effects.Raise]


def acquire(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    account: str,
    request_id: str,
) -> tuple[
    routing_state.Acquired | routing_state.Queued | routing_state.Full,
    RaisedEvents,
]:
    """Acquires a slot of an owned target, or queues the request for one.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        account: Client account, or empty on open routes.
        request_id: Identifier of the request.

    Returns:
        The result for this request, and events for requests that waited.
    """
    usable = _usable_slots(state, now_s, service)
    if not usable:
        target = _last_resort_target(state, now_s, service)
        if target is not None:
            return _assign_slot(state, now_s, target, account, request_id), []
        _account_counts(state, account).refused += 1
        return routing_state.Full(NO_OWNER_RETRY_AFTER_S), []
    raised = dispatch(state, now_s, service)
    target = _least_loaded(state, now_s, service)
    if target is not None:
        return _assign_slot(state, now_s, target, account, request_id), raised
    result, refused = _enqueue(
        state, now_s, service, account, request_id, usable
    )
    return result, raised + refused


def dispatch(
    state: routing_state.RoutingState, now_s: float, service: str
) -> RaisedEvents:
    """Assigns free slots to waiting requests, round robin over the accounts.

    A request whose wait has ended gets a slot too, until `expire` rejects it.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    queue = routing_state.service_state(state, service).queue
    raised: RaisedEvents = []
    while queue.size:
        target = _least_loaded(state, now_s, service)
        if target is None:
            break
        waiter = queueing.pop(queue)
        del state.waiting[waiter.request_id]
        _assign_slot(state, now_s, target, waiter.account, waiter.request_id)
        decided = events.SlotDecided(
            now_s, waiter.request_id, target.target.name, target.address
        )
        raised.append(quota_effects.Raise(decided))
    return raised


def expire(
    state: routing_state.RoutingState, now_s: float, service: str
) -> RaisedEvents:
    """Rejects the requests whose wait for a slot has ended.

    Call it only when responses that have arrived are handled: after a stall of
    the process, they may have freed the slots that these requests wait for.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    queue = routing_state.service_state(state, service).queue
    return [
        _reject(state, now_s, waiter)
        for waiter in queueing.expire(queue, now_s)
    ]


def release(
    state: routing_state.RoutingState,
    now_s: float,
    request_id: str,
    outcome: outcomes.AttemptOutcome | None,
    status: int,
) -> RaisedEvents:
    """Frees a request's slot, records the target's health and serves the queue.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        request_id: Identifier of the request.
        outcome: How the attempt ended, or None if the caller disconnected.
        status: HTTP status of the response, or 0.
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
) -> RaisedEvents:
    """Cancels a request, whether it waits or has a slot.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        request_id: Identifier of the request.
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

    Slots that waiting requests will take do not count as free.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    warmup_s = state.settings.target_warmup_s
    free = 0
    usable = 0
    for target in ownership.owned_targets(state, now_s, service):
        target_usable = target_state.usable_slots(target, now_s, warmup_s)
        free += max(0, target_usable - target.used)
        usable += target_usable
    queue_length = routing_state.service_state(state, service).queue.size
    return max(0, free - queue_length), usable


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
    """Returns whether an owned target may be used as the last resort.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    return _last_resort_target(state, now_s, service) is not None


def _last_resort_target(
    state: routing_state.RoutingState, now_s: float, service: str
) -> target_state.TargetState | None:
    has_alternative = routing_state.service_state(
        state, service
    ).has_alternative
    candidates = [
        target
        for target in ownership.owned_targets(state, now_s, service)
        if target_state.last_resort_slots(target, now_s, has_alternative)
    ]
    return state.rng.choice(candidates) if candidates else None


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


def _assign_slot(
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
    _account_counts(state, account).granted += 1
    return routing_state.Acquired(target.target.name, target.address)


def _enqueue(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    account: str,
    request_id: str,
    usable: int,
) -> tuple[routing_state.Queued | routing_state.Full, RaisedEvents]:
    service_state = routing_state.service_state(state, service)
    capacity = max(MIN_QUEUE_LENGTH, QUEUE_LENGTH_PER_SLOT * usable)
    waiter = queueing.Waiter(
        request_id, account, now_s + state.settings.slot_wait_s
    )
    queued, evicted = queueing.push(service_state.queue, waiter, capacity)
    if not queued:
        _account_counts(state, account).refused += 1
        return routing_state.Full(retry_after_s(state, service, usable)), []
    state.waiting[request_id] = (service, account)
    if evicted is None:
        return routing_state.Queued(), []
    return routing_state.Queued(), [_reject(state, now_s, evicted)]


def retry_after_s(
    state: routing_state.RoutingState, service: str, usable: int
) -> float:
    """Returns the time after which a retry is likely to get a slot, in seconds.

    That is the expected time in which the usable slots serve the requests that
    now hold a slot or wait for one.

    Args:
        state: State of the routing subsystem.
        service: Name of the service.
        usable: Usable slots of the owned targets.
    """
    service_state = routing_state.service_state(state, service)
    rounds = 1 + service_state.queue.size / max(1, usable)
    return max(MIN_RETRY_AFTER_S, rounds * service_state.mean_hold_s)


def _reject(
    state: routing_state.RoutingState, now_s: float, waiter: queueing.Waiter
) -> quota_effects.Raise:
    del state.waiting[waiter.request_id]
    _account_counts(state, waiter.account).refused += 1
    return quota_effects.Raise(events.SlotDecided(now_s, waiter.request_id))


def _account_counts(
    state: routing_state.RoutingState, account: str
) -> routing_state.AccountCounts:
    counts = state.accounts.get(account)
    if counts is None:
        counts = routing_state.AccountCounts()
        state.accounts[account] = counts
    return counts
