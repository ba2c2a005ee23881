"""Chooses a target for a request, among those with and without free slots.

A request goes where it is expected to end first. Since work on an object that a
target has not cached takes several times as long and keeps others from a slot,
such work counts more the busier the service is.
"""

from collections.abc import Iterator
import heapq

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.routing import hashing
from mulberrydeck.scheduling import caches
from mulberrydeck.scheduling import estimates
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import vms
from mulberrydeck.steering import state as steering_states

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
# VMs without a scheduler send an object to the target that ranks first, which
# has probably cached it before the scheduler knows.
RANK_WEIGHT = 1.0
# Spreads objects over targets by their recent use.
USAGE_WEIGHT = 0.5
# Requests that are late anyway wait for at most this fraction of their time, so
# that those that cannot be served are refused soon enough to return.
LATE_WAIT_FRACTION = 0.5
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


@attrs.frozen
class Option:
    """A target for a request, with the expected times there.

    Attributes:
        score_s: Expected time to the end of the request, with the cost for
            other requests added, in seconds; the lowest is best.
        wait_s: Expected time until a slot is free, in seconds.
        work_s: Expected duration of the attempt, in seconds.
        cached_probability: Probability that the object is cached.
        target: The target.
    """

    score_s: float
    wait_s: float
    work_s: float
    cached_probability: float
    target: states.ScheduledTarget


def options_for(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    sender: str,
    request: slot_messages.SlotRequest,
) -> Iterator[Option]:
    """Yields the targets among which a request's target is chosen.

    Args:
        state: State of this VM.
        schedule: The service.
        sender: Name of the VM that asks.
        request: The request.
    """
    now_s = state.now_s
    use = use_of(state, schedule)
    zone = vms.zone_of(state, sender)
    times = state.scheduler.expected
    capacity = schedule.cache_model.capacity()
    initial_s = max(MIN_INITIAL_WORK_S, request.goal_remaining_s)
    for penalty, target in _candidates(schedule, request.object_digest):
        if target.name in request.excluded or target.is_avoided(now_s, zone):
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
                # A free slot of another candidate is better than a wait for a
                # target that has not cached the object either.
                penalty += RANK_WEIGHT * CANDIDATES
            eviction = caches.eviction_cost(target.cache, now_s, capacity)
            usage = target.usage.current(now_s) / (
                states.USAGE_PERIOD_S * target.slots
            )
            score_s += (1.0 - probability) * (
                EVICTION_WEIGHT * eviction * (uncached_s - cached_s)
                + (USAGE_WEIGHT * usage + penalty) * uncached_s
            )
        yield Option(score_s, wait_s, work_s, probability, target)


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


def best_option(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    request: slot_messages.SlotRequest,
    options: list[Option],
) -> Option:
    """Returns the best target, whose queue may be too long for the request.

    Args:
        state: State of this VM.
        schedule: The service.
        request: The request.
        options: Targets to choose from; at least one.
    """
    best = min(options, key=score_s)
    if best.wait_s <= 0 or use_of(state, schedule) >= MAX_USE_FOR_UNCACHED:
        return best
    useful = [
        option
        for option in options
        if option.wait_s <= 0
        or (request.may_wait and may_wait(request, option))
    ]
    return min(useful, key=score_s, default=best)


def score_s(option: Option) -> float:
    """Returns the score of an option, as a key for sorting."""
    return option.score_s


def may_wait(request: slot_messages.SlotRequest, option: Option) -> bool:
    """Returns whether a request may wait for a slot of a target.

    It may if it is expected to meet its latency goal, or else its deadline
    after a short wait.

    Args:
        request: The request.
        option: The target, with the expected times of the request there.
    """
    end_s = option.wait_s + option.work_s
    if end_s <= request.goal_remaining_s:
        return True
    if end_s + RESPONSE_MARGIN_S > request.deadline_remaining_s:
        return False
    return option.wait_s <= LATE_WAIT_FRACTION * request.deadline_remaining_s


def use_of(
    state: steering_states.State, schedule: states.ServiceSchedule
) -> float:
    """Returns the fraction of the slots in use; more than 1 with a queue."""
    granted = sum(len(target.grants) for target in schedule.usable)
    return (granted + schedule.waits) / max(1, schedule.slots)


def is_avoided(
    state: steering_states.State,
    queued: states.QueuedRequest,
    target: states.ScheduledTarget,
) -> bool:
    """Returns whether the VM of a waiting request cannot use a target."""
    zone = vms.zone_of(state, queued.key[0])
    return target.is_avoided(state.now_s, zone)


def expected_work_s(
    state: steering_states.State, route: str, probability: float
) -> float:
    """Returns the expected work time by the probability of a cached object."""
    times = state.scheduler.expected
    cached_s = times.expected_s(route, True)
    uncached_s = times.expected_s(route, False)
    return uncached_s + probability * (cached_s - uncached_s)
