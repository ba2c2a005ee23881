"""Grants slots of the targets of a region, as the scheduler of their services.

Requests of all VMs of the region, and those of other regions that this one
serves, meet here, so that the choice knows the load of each target without its
reports. A request goes where it is expected to end first. Since work on an
object that a target has not cached takes several times as long and keeps others
from a slot, such work counts more the busier the service is.
"""

from collections.abc import Iterator
import heapq
import itertools

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import caches
from mulberrydeck.scheduling import estimates
from mulberrydeck.scheduling import order
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import work_times
from mulberrydeck.steering import outliers
from mulberrydeck.steering import state as steering_states
from mulberrydeck.steering import targets as targets_module

# Usable targets are read from the directory this often; the VM that sends a
# request checks its target once more.
REFRESH_INTERVAL_S = 0.1
# Targets that are compared for an object besides those that have it cached.
CANDIDATES = 8
# Work keeps other requests from a slot: at full use of the service, a second of
# it counts twice.
BUSY_WEIGHT = 1.0
# Work on an object that is not cached evicts another one, which then takes
# longer. Without this term, objects spread over targets until few are cached
# where they are requested.
EVICTION_WEIGHT = 4.0
# Probability from which an object counts as cached.
LIKELY = 0.5
# Durations at other speeds than usual tell nothing about cached objects.
USUAL_SPEED_DIFFERENCE = 0.25
# VMs without a scheduler send an object to the target that ranks first, which
# has probably cached it before the scheduler knows.
RANK_WEIGHT = 1.0
# Spreads objects over targets by their recent use.
USAGE_WEIGHT = 0.5
# Requests that are late anyway wait for at most this fraction of their time;
# with longer queues, requests that could be on time become late as well.
LATE_WAIT_FRACTION = 0.25
# A target that has not cached the object serves requests of other regions below
# this use of the service.
MAX_USE_FOR_OTHERS = 0.5
# Below this use of the service, a request whose best target has too long a
# queue gets a slot of another one. Above it, such runs evict so many objects
# that the requests on time decrease from 40% to 31% in an emulated overload.
MAX_USE_FOR_UNCACHED = 0.75
# Shortest time assumed for work before any was observed, in seconds.
MIN_INITIAL_WORK_S = 0.05
# Time for the response after the end of the work.
RESPONSE_MARGIN_S = 0.05
# Clients that are told to return come back spread over this fraction of the
# time in which the backlog clears.
RETURN_SPREAD = 1.0
MIN_RETRY_S = 0.25
# Time for which a VM's zone is not granted a target that it cannot use.
AVOIDED_S = 1.0
# A VM that died no longer uses its slots.
DEAD_VM_CHECK_INTERVAL_S = 0.5
# A grant that was never returned, since its message was lost, ends this long
# after the deadline of its request.
LOST_RETURN_S = 0.5
# Waiting requests that are compared when a target has a free slot.
MAX_COMPARED_WAITS = 24


@attrs.frozen
class Outgoing:
    """A message to a VM, which may be this one.

    Attributes:
        to: Name of the VM.
        message: The message.
    """

    to: str
    message: object


@attrs.frozen
class _Option:
    score_s: float
    wait_s: float
    work_s: float
    cached_probability: float
    target: states.ScheduledTarget


def requested(
    state: steering_states.State,
    sender: str,
    request: slot_messages.SlotRequest,
) -> list[Outgoing]:
    """Grants, queues or refuses a request for a slot.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that asks.
        request: The request.
    """
    if state.stopping or not state.target_directory.listed:
        return [_refuse(sender, request, slot_messages.STOPPING)]
    schedule = _refreshed(state, request.service)
    key = (sender, request.request_id)
    _drop(state, key)
    options = list(_options(state, schedule, sender, request))
    if not options:
        return [_refuse(sender, request, slot_messages.NO_TARGET)]
    best = _best(state, schedule, request, options)
    if best.wait_s <= 0 and (
        request.may_wait
        or best.cached_probability >= LIKELY
        or _use(state, schedule) < MAX_USE_FOR_OTHERS
    ):
        return [_grant(state, schedule, key, request, best.target, 0.0)]
    if not request.may_wait or not _may_wait(request, best):
        backlog_s = min(option.wait_s for option in options)
        return [_refuse_overload(state, sender, request, backlog_s)]
    queued = _enqueue(state, schedule, key, request, best)
    return [
        Outgoing(
            sender,
            slot_messages.SlotQueued(
                request.request_id,
                round(best.wait_s, 3),
                round(queued.give_up_s - state.now_s, 3),
                request.attempt,
            ),
        )
    ]


def _refuse(
    sender: str, request: slot_messages.SlotRequest, reason: str
) -> Outgoing:
    refusal = slot_messages.SlotRefusal(
        request.request_id, reason, attempt=request.attempt
    )
    return Outgoing(sender, refusal)


def _refuse_overload(
    state: steering_states.State,
    sender: str,
    request: slot_messages.SlotRequest,
    backlog_s: float,
) -> Outgoing:
    state.scheduler.services[request.service].refused += 1
    base_s = max(MIN_RETRY_S, backlog_s)
    retry_s = base_s * (1.0 + RETURN_SPREAD * state.rng.random())
    refusal = slot_messages.SlotRefusal(
        request.request_id,
        slot_messages.OVERLOAD,
        round(retry_s, 3),
        request.attempt,
    )
    return Outgoing(sender, refusal)


def _best(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    request: slot_messages.SlotRequest,
    options: list[_Option],
) -> _Option:
    """Returns the best target, whose queue may be too long for the request."""
    best = min(options, key=_score_s)
    if best.wait_s <= 0 or _use(state, schedule) >= MAX_USE_FOR_UNCACHED:
        return best
    useful = [
        option
        for option in options
        if option.wait_s <= 0
        or (request.may_wait and _may_wait(request, option))
    ]
    return min(useful, key=_score_s, default=best)


def _score_s(option: _Option) -> float:
    return option.score_s


def _may_wait(request: slot_messages.SlotRequest, option: _Option) -> bool:
    end_s = option.wait_s + option.work_s
    if end_s <= request.goal_remaining_s:
        return True
    if end_s + RESPONSE_MARGIN_S > request.deadline_remaining_s:
        return False
    return option.wait_s <= LATE_WAIT_FRACTION * request.deadline_remaining_s


def _options(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    sender: str,
    request: slot_messages.SlotRequest,
) -> Iterator[_Option]:
    """Yields the targets among which a request's target is chosen."""
    now_s = state.now_s
    use = _use(state, schedule)
    zone = _zone_of(state, sender)
    times = state.scheduler.expected
    capacity = schedule.cache_model.capacity()
    initial_s = max(MIN_INITIAL_WORK_S, request.goal_remaining_s)
    for penalty, target in _candidates(schedule, request.object_digest):
        if target.name in request.excluded or (
            now_s < target.avoided_until_s.get(zone, now_s)
        ):
            continue
        rank = target.cache.rank(request.object_digest)
        probability = schedule.cache_model.probability(rank)
        factor = target.work_factor(now_s)
        cached_s = times.expected_s(request.route, True, initial_s) * factor
        uncached_s = times.expected_s(request.route, False, initial_s) * factor
        work_s = uncached_s + probability * (cached_s - uncached_s)
        wait_s = estimates.start_delay_s(
            target, now_s, request.priority, factor
        )
        score_s = wait_s + work_s * (1.0 + BUSY_WEIGHT * use)
        score_s += target.rejection_rate(now_s) * uncached_s
        if request.object_digest is not None:
            if wait_s > 0:
                # Without the object cached, any free slot is better.
                penalty += RANK_WEIGHT * CANDIDATES
            eviction = caches.eviction_cost(target.cache, now_s, capacity)
            usage = target.usage.current(now_s) / (
                states.USAGE_PERIOD_S * target.slots
            )
            score_s += (1.0 - probability) * (
                EVICTION_WEIGHT * eviction * (uncached_s - cached_s)
                + (USAGE_WEIGHT * usage + penalty) * uncached_s
            )
        yield _Option(score_s, wait_s, work_s, probability, target)


def _candidates(
    schedule: states.ServiceSchedule, object_digest: int | None
) -> list[tuple[float, states.ScheduledTarget]]:
    """Returns the targets to compare, each with a penalty.

    Targets that have the object cached come first, then those that rank first
    by rendezvous hashing, which VMs without a scheduler use as well.
    """
    if object_digest is None:
        return [(0.0, target) for target in schedule.usable]
    holders = [
        target
        for target in schedule.usable
        if object_digest in target.cache.used_s
    ]
    ranked = heapq.nsmallest(
        CANDIDATES,
        schedule.usable,
        key=lambda target: hashing.combine(object_digest, target.digest),
    )
    candidates = [(0.0, target) for target in holders]
    for rank, target in enumerate(ranked):
        if target not in holders:
            candidates.append((RANK_WEIGHT * rank, target))
    return candidates


def _use(
    state: steering_states.State, schedule: states.ServiceSchedule
) -> float:
    """Returns the fraction of the slots in use; more than 1 with a queue."""
    granted = sum(len(target.grants) for target in schedule.usable)
    return (granted + schedule.waits) / max(1, schedule.slots)


def _is_avoided(
    state: steering_states.State,
    queued: states.QueuedRequest,
    target: states.ScheduledTarget,
) -> bool:
    """Returns whether the VM of a waiting request cannot use a target."""
    if not target.avoided_until_s:
        return False
    zone = _zone_of(state, queued.key[0])
    return state.now_s < target.avoided_until_s.get(zone, state.now_s)


def _zone_of(state: steering_states.State, name: str) -> str:
    peer = state.fleet.peers.get(name)
    return state.settings.zone if peer is None else peer.record.zone


def _incarnation_of(state: steering_states.State, name: str) -> str:
    peer = state.fleet.peers.get(name)
    return state.fleet.incarnation if peer is None else peer.incarnation


def _grant(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    key: states.Key,
    request: slot_messages.SlotRequest,
    target: states.ScheduledTarget,
    waited_s: float,
) -> Outgoing:
    now_s = state.now_s
    rank = target.cache.rank(request.object_digest)
    probability = schedule.cache_model.probability(rank)
    expected_s = _expected_s(state, request.route, probability)
    grant = states.Grant(
        key=key,
        incarnation=_incarnation_of(state, key[0]),
        target=target,
        granted_s=now_s,
        deadline_s=now_s + request.deadline_remaining_s - waited_s,
        route=request.route,
        object_digest=request.object_digest,
        cache_rank=rank,
        expected_s=expected_s,
        attempt=request.attempt,
    )
    state.scheduler.grants[key] = grant
    target.grants[key] = grant
    target.usage.add(now_s, expected_s)
    target.cache.use(now_s, request.object_digest)
    schedule.usage[request.account].add(now_s, 1.0)
    reason = "cached" if probability >= LIKELY else "not cached"
    return Outgoing(
        key[0],
        slot_messages.SlotGrant(
            request.request_id,
            request.service,
            target.name,
            round(waited_s, 3),
            reason,
            request.attempt,
        ),
    )


def _enqueue(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    key: states.Key,
    request: slot_messages.SlotRequest,
    option: _Option,
) -> states.QueuedRequest:
    now_s = state.now_s
    goal_s = now_s + request.goal_remaining_s
    deadline_s = now_s + request.deadline_remaining_s
    late_wait_s = LATE_WAIT_FRACTION * request.deadline_remaining_s
    give_up_s = max(goal_s - option.work_s, now_s + late_wait_s)
    queued = states.QueuedRequest(
        key=key,
        incarnation=_incarnation_of(state, key[0]),
        request=request,
        target=option.target,
        queued_s=now_s,
        goal_s=goal_s,
        deadline_s=deadline_s,
        give_up_s=min(
            give_up_s, deadline_s - option.work_s - RESPONSE_MARGIN_S
        ),
        expected_s=option.work_s,
    )
    option.target.queue.append(queued)
    state.scheduler.queued[key] = queued
    schedule.waits += 1
    return queued


def returned(
    state: steering_states.State,
    sender: str,
    message: slot_messages.SlotReturn,
) -> list[Outgoing]:
    """Frees a slot, and grants it to a request that waits.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that used the slot.
        message: The message.
    """
    key = (sender, message.request_id)
    if _attempt(state, key) != message.attempt:
        # The VM has asked again since; its earlier attempt was dropped then.
        return []
    grant = _drop(state, key)
    if grant is None:
        return []
    target = grant.target
    not_run = message.result in slot_messages.NOT_RUN_RESULTS
    if not_run and grant.cache_rank is None:
        target.cache.discard(grant.object_digest)
    _observe(state, grant, message)
    _observe_result(state, sender, target, message)
    schedule = state.scheduler.services.get(message.service)
    return [] if schedule is None else _fill(state, schedule, target)


def _observe(
    state: steering_states.State,
    grant: states.Grant,
    message: slot_messages.SlotReturn,
) -> None:
    """Learns from what the target reported, and from the duration."""
    now_s = state.now_s
    target = grant.target
    if message.load is not None:
        target.others_load = max(0.0, message.load - len(target.grants))
        target.load_reported_s = now_s
    if message.speed is not None:
        target.reported_speed = message.speed
        target.speed_reported_s = now_s
    if message.duration_s is None or not grant.route:
        return
    _learn_duration(state, grant, message.service, message.duration_s)


def _learn_duration(
    state: steering_states.State,
    grant: states.Grant,
    service: str,
    duration_s: float,
) -> None:
    """Learns work times and cached objects at the usual speed, else the pace.

    Work that takes longer than on an uncached object shows a slow target.
    """
    times = state.scheduler.expected
    target = grant.target
    was_cached = times.was_cached(grant.route, duration_s)
    usual_s = times.expected_s(
        grant.route, was_cached, max(work_times.MIN_DURATION_S, duration_s)
    )
    ratio = min(outliers.MAX_RATIO, duration_s / usual_s)
    outliers.observe(target.pace, state.now_s, ratio)
    is_usual = abs(target.reported_speed - 1.0) <= USUAL_SPEED_DIFFERENCE
    schedule = state.scheduler.services.get(service)
    if is_usual and schedule is not None:
        times.record(grant.route, duration_s)
        schedule.cache_model.record(grant.cache_rank, was_cached)


def _expected_s(
    state: steering_states.State, route: str, probability: float
) -> float:
    """Returns the expected work time by the probability of a cached object."""
    times = state.scheduler.expected
    cached_s = times.expected_s(route, True)
    uncached_s = times.expected_s(route, False)
    return uncached_s + probability * (cached_s - uncached_s)


def _observe_result(
    state: steering_states.State,
    sender: str,
    target: states.ScheduledTarget,
    message: slot_messages.SlotReturn,
) -> None:
    """Learns from what became of an attempt of a VM."""
    now_s = state.now_s
    if message.result not in (slot_messages.NOT_SENT, slot_messages.UNUSABLE):
        target.attempts.add(now_s, 1.0)
    if message.result == slot_messages.REJECTED:
        target.rejections.add(now_s, 1.0)
    match message.result:
        case slot_messages.UNUSABLE:
            zone = _zone_of(state, sender)
            target.avoided_until_s[zone] = now_s + AVOIDED_S
        case slot_messages.REJECTED if message.load is None:
            target.others_load = float(target.slots)
            target.load_reported_s = now_s
        case slot_messages.SUCCEEDED | slot_messages.FAILED:
            known = state.target_directory.by_name.get(target.name)
            # The VM itself has recorded its own outcomes.
            if known is not None and sender != state.settings.name:
                was_failure = message.result == slot_messages.FAILED
                targets_module.record_outcome(known, now_s, was_failure)


def _attempt(state: steering_states.State, key: states.Key) -> int | None:
    """Returns the attempt that has a slot or waits; None if there is none."""
    queued = state.scheduler.queued.get(key)
    if queued is not None:
        return queued.request.attempt
    grant = state.scheduler.grants.get(key)
    return None if grant is None else grant.attempt


def _drop(state: steering_states.State, key: states.Key) -> states.Grant | None:
    """Drops a request from the grants or the queue; returns its grant."""
    queued = state.scheduler.queued.pop(key, None)
    if queued is not None:
        _dequeue(state, queued)
    grant = state.scheduler.grants.pop(key, None)
    if grant is not None:
        grant.target.grants.pop(key, None)
    return grant


def _dequeue(
    state: steering_states.State, queued: states.QueuedRequest
) -> None:
    queued.target.queue.remove(queued)
    state.scheduler.services[queued.request.service].waits -= 1


def _fill(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: "_ComparedWaits | None" = None,
) -> list[Outgoing]:
    """Grants the free slots of a target to requests that wait.

    Args:
        state: State of this VM, changed in place.
        schedule: The service.
        target: The target.
        waits: What was computed for other targets, changed in place.
    """
    produced: list[Outgoing] = []
    now_s = state.now_s
    if waits is None:
        waits = _ComparedWaits()
    while target.free_slots(now_s) > 0:
        queued = _next_of(state, schedule, target, waits)
        if queued is None:
            break
        waits.known = None
        del state.scheduler.queued[queued.key]
        _dequeue(state, queued)
        waited_s = now_s - queued.queued_s
        produced.append(
            _grant(
                state, schedule, queued.key, queued.request, target, waited_s
            )
        )
    return produced


def _next_of(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: "_ComparedWaits",
) -> states.QueuedRequest | None:
    """Returns the request that a free slot of a target goes to."""
    queue = [
        queued
        for queued in target.queue
        if not _is_avoided(state, queued, target)
    ]
    if queue:
        return min(
            queue,
            key=lambda queued: order.rank(
                queued, schedule, state.table, state.now_s
            ),
        )
    if schedule.waits and target in schedule.usable:
        return _stolen(state, schedule, target, waits)
    return None


@attrs.define
class _ComparedWaits:
    """Waiting requests that may move to another target.

    A tick compares them with each target that has a free slot, so that their
    waits are computed once for all of these.

    Attributes:
        known: The requests, each with its expected wait, in seconds; None if
            they must be computed.
        use: Use of the service at that time.
    """

    known: list[tuple[states.QueuedRequest, float]] | None = None
    use: float = 0.0

    def of(
        self, state: steering_states.State, schedule: states.ServiceSchedule
    ) -> list[tuple[states.QueuedRequest, float]]:
        """Returns the requests, each with its expected wait, in seconds."""
        if self.known is None:
            waiting = (
                queued for other in schedule.usable for queued in other.queue
            )
            self.known = [
                (queued, _wait_if_first_s(state, queued))
                for queued in itertools.islice(waiting, MAX_COMPARED_WAITS)
            ]
            self.use = _use(state, schedule)
        return self.known


def _wait_if_first_s(
    state: steering_states.State, queued: states.QueuedRequest
) -> float:
    """Returns the expected wait of the first request of its priority."""
    there = queued.target
    return estimates.start_delay_s(
        there,
        state.now_s,
        queued.request.priority - 1,
        there.work_factor(state.now_s),
    )


def _stolen(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: _ComparedWaits,
) -> states.QueuedRequest | None:
    """Returns a request that would end earlier here than where it waits."""
    now_s = state.now_s
    factor = target.work_factor(now_s)
    best: states.QueuedRequest | None = None
    best_gain_s = 0.0
    for queued, wait_s in waits.of(state, schedule):
        if target.name in queued.request.excluded or _is_avoided(
            state, queued, target
        ):
            continue
        rank = target.cache.rank(queued.request.object_digest)
        work_s = factor * _expected_s(
            state, queued.request.route, schedule.cache_model.probability(rank)
        )
        gain_s = wait_s + (queued.expected_s - work_s) * (
            1.0 + BUSY_WEIGHT * waits.use
        )
        if gain_s > best_gain_s:
            best, best_gain_s = queued, gain_s
    return best


def held(
    state: steering_states.State, sender: str, message: slot_messages.SlotsHeld
) -> list[Outgoing]:
    """Learns which slots a VM uses that an earlier scheduler granted.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM.
        message: The slots.
    """
    schedule = _refreshed(state, message.service)
    for slot in message.slots:
        target = schedule.targets.get(slot.target)
        key = (sender, slot.request_id)
        if target is None or _attempt(state, key) == slot.attempt:
            continue
        _drop(state, key)
        grant = states.Grant(
            key=key,
            incarnation=_incarnation_of(state, sender),
            target=target,
            granted_s=state.now_s,
            deadline_s=state.now_s + slot.deadline_remaining_s,
            attempt=slot.attempt,
        )
        state.scheduler.grants[key] = grant
        target.grants[key] = grant
    return []


def ticked(state: steering_states.State) -> list[Outgoing]:
    """Drops what has lapsed, and grants slots that became free."""
    scheduler = state.scheduler
    if not scheduler.services:
        return []
    now_s = state.now_s
    if now_s >= scheduler.checked_s + DEAD_VM_CHECK_INTERVAL_S:
        scheduler.checked_s = now_s
        _drop_lapsed(state)
    produced = _refuse_hopeless(state)
    for service, schedule in scheduler.services.items():
        _refreshed(state, service)
        if schedule.waits:
            waits = _ComparedWaits()
            for target in schedule.usable:
                produced += _fill(state, schedule, target, waits)
    return produced


def _drop_lapsed(state: steering_states.State) -> None:
    """Drops grants and requests of VMs that died, and grants never returned."""
    scheduler = state.scheduler
    lapsed = [
        grant.key
        for grant in scheduler.grants.values()
        if state.now_s > grant.deadline_s + LOST_RETURN_S
        or _is_dead(state, grant.key[0], grant.incarnation)
    ]
    lapsed += [
        queued.key
        for queued in scheduler.queued.values()
        if _is_dead(state, queued.key[0], queued.incarnation)
    ]
    for key in lapsed:
        _drop(state, key)


def _is_dead(state: steering_states.State, name: str, incarnation: str) -> bool:
    if name == state.settings.name:
        return False
    peer = state.fleet.peers.get(name)
    return (
        peer is None
        or not state.fleet.is_alive(peer, state.now_s)
        or (incarnation != "" and peer.incarnation != incarnation)
    )


def _refuse_hopeless(state: steering_states.State) -> list[Outgoing]:
    """Refuses waiting requests whose slot would come too late.

    Requests whose targets are no longer usable are placed again.
    """
    produced: list[Outgoing] = []
    for queued in list(state.scheduler.queued.values()):
        schedule = state.scheduler.services[queued.request.service]
        if queued.target not in schedule.usable or _is_avoided(
            state, queued, queued.target
        ):
            produced += _place_again(state, queued)
        elif state.now_s > queued.give_up_s:
            _drop(state, queued.key)
            produced.append(_end_wait(state, schedule, queued))
    return produced


def _end_wait(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    queued: states.QueuedRequest,
) -> Outgoing:
    """Refuses a request that has waited too long, unless slots are free."""
    sender = queued.key[0]
    request = _with_time_left(state, queued)
    if _use(state, schedule) < MAX_USE_FOR_UNCACHED:
        free = [
            option
            for option in _options(state, schedule, sender, request)
            if option.wait_s <= 0 and _may_wait(request, option)
        ]
        best = min(free, key=_score_s, default=None)
        if best is not None:
            waited_s = state.now_s - queued.queued_s
            return _grant(
                state,
                schedule,
                queued.key,
                queued.request,
                best.target,
                waited_s,
            )
    backlog_s = estimates.start_delay_s(
        queued.target, state.now_s, request.priority, 1.0
    )
    return _refuse_overload(state, sender, request, backlog_s)


def _with_time_left(
    state: steering_states.State, queued: states.QueuedRequest
) -> slot_messages.SlotRequest:
    waited_s = state.now_s - queued.queued_s
    return attrs.evolve(
        queued.request,
        goal_remaining_s=queued.request.goal_remaining_s - waited_s,
        deadline_remaining_s=queued.request.deadline_remaining_s - waited_s,
    )


def _place_again(
    state: steering_states.State, queued: states.QueuedRequest
) -> list[Outgoing]:
    return requested(state, queued.key[0], _with_time_left(state, queued))


def stopped(state: steering_states.State) -> list[Outgoing]:
    """Refuses all waiting requests, so that their VMs ask another scheduler."""
    produced = []
    for queued in list(state.scheduler.queued.values()):
        _drop(state, queued.key)
        produced.append(
            _refuse(queued.key[0], queued.request, slot_messages.STOPPING)
        )
    return produced


def _refreshed(
    state: steering_states.State, service: str
) -> states.ServiceSchedule:
    """Returns the schedule of a service with its usable targets."""
    schedule = state.scheduler.services.setdefault(
        service, states.ServiceSchedule()
    )
    if state.now_s < schedule.refreshed_s + REFRESH_INTERVAL_S:
        return schedule
    schedule.refreshed_s = state.now_s
    directory = state.target_directory
    region = state.settings.region
    registered: dict[str, states.ScheduledTarget] = {}
    usable = []
    for target in directory.by_service.get(service, ()):
        if target.region != region:
            continue
        scheduled = _scheduled(schedule, target)
        registered[scheduled.name] = scheduled
        if targets_module.is_usable(
            directory, target, state.now_s
        ) and not target.is_cold(state.now_s):
            usable.append(scheduled)
    usable.sort(key=lambda scheduled: scheduled.digest)
    schedule.targets = registered
    schedule.usable = usable
    schedule.digests = [scheduled.digest for scheduled in usable]
    schedule.slots = sum(scheduled.slots for scheduled in usable)
    return schedule


def _scheduled(
    schedule: states.ServiceSchedule, target: targets_module.Target
) -> states.ScheduledTarget:
    """Returns the scheduled target of an entry; a new one for a new process."""
    entry = target.entry
    process = (entry.started_ms, entry.address)
    scheduled = schedule.targets.get(entry.name)
    if scheduled is None or scheduled.process != process:
        return states.ScheduledTarget(
            entry.name, process, target.digest, entry.slots
        )
    scheduled.slots = entry.slots
    return scheduled
