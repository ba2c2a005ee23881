"""Requests that wait for a slot: who gets a free one, and who has to give up.

Each target has a queue. A free slot of a target without a queue goes to the
request of another queue that gains most by it.
"""

import itertools

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import choice
from mulberrydeck.scheduling import estimates
from mulberrydeck.scheduling import grants
from mulberrydeck.scheduling import order
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import vms
from mulberrydeck.steering import state as steering_states

# Waiting requests of other queues that are compared when a target has a free
# slot and no queue.
MAX_COMPARED_WAITS = 24


def enqueue(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    key: states.Key,
    request: slot_messages.SlotRequest,
    option: choice.Option,
) -> states.QueuedRequest:
    """Adds a request to the queue of a target.

    Args:
        state: State of this VM, changed in place.
        schedule: The service.
        key: VM and identifier of the request.
        request: The request.
        option: The target, with the expected times of the request there.
    """
    now_s = state.now_s
    goal_s = now_s + request.goal_remaining_s
    deadline_s = now_s + request.deadline_remaining_s
    late_wait_s = choice.LATE_WAIT_FRACTION * request.deadline_remaining_s
    give_up_s = max(goal_s - option.work_s, now_s + late_wait_s)
    queued = states.QueuedRequest(
        key=key,
        incarnation=vms.incarnation_of(state, key[0]),
        request=request,
        target=option.target,
        queued_s=now_s,
        goal_s=goal_s,
        deadline_s=deadline_s,
        give_up_s=min(
            give_up_s, deadline_s - option.work_s - choice.RESPONSE_MARGIN_S
        ),
        expected_s=option.work_s,
    )
    option.target.queue.append(queued)
    state.scheduler.queued[key] = queued
    schedule.waits += 1
    return queued


@attrs.define
class ComparedWaits:
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
            self.use = choice.use_of(state, schedule)
        return self.known


def _wait_if_first_s(
    state: steering_states.State, queued: states.QueuedRequest
) -> float:
    """Returns how long a request would wait where it is, in seconds.

    It is taken for the first request of its priority.
    """
    target = queued.target
    return estimates.start_delay_s(
        target,
        state.now_s,
        queued.request.priority - 1,
        target.work_factor(state.now_s),
    )


def fill(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: ComparedWaits | None = None,
) -> list[outgoing.Outgoing]:
    """Grants the free slots of a target to requests that wait.

    Args:
        state: State of this VM, changed in place.
        schedule: The service.
        target: The target.
        waits: Waits computed for other targets in this tick, changed in place;
            None outside of a tick.
    """
    produced: list[outgoing.Outgoing] = []
    now_s = state.now_s
    if waits is None:
        waits = ComparedWaits()
    while target.free_slots(now_s) > 0:
        queued = _next_of(state, schedule, target, waits)
        if queued is None:
            break
        waits.known = None
        del state.scheduler.queued[queued.key]
        grants.dequeue(state, queued)
        waited_s = now_s - queued.queued_s
        produced.append(
            grants.grant(
                state, schedule, queued.key, queued.request, target, waited_s
            )
        )
    return produced


def _next_of(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: ComparedWaits,
) -> states.QueuedRequest | None:
    """Returns the request that a free slot of a target goes to."""
    queue = [
        queued
        for queued in target.queue
        if not choice.is_avoided(state, queued, target)
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


def _stolen(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    target: states.ScheduledTarget,
    waits: ComparedWaits,
) -> states.QueuedRequest | None:
    """Returns the request of another queue that gains most by a free slot.

    Returns:
        The request; None if none would end earlier here than where it waits.
    """
    now_s = state.now_s
    factor = target.work_factor(now_s)
    best: states.QueuedRequest | None = None
    best_gain_s = 0.0
    for queued, wait_s in waits.of(state, schedule):
        if target.name in queued.request.excluded or choice.is_avoided(
            state, queued, target
        ):
            continue
        rank = target.cache.rank(queued.request.object_digest)
        work_s = factor * choice.expected_work_s(
            state, queued.request.route, schedule.cache_model.probability(rank)
        )
        gain_s = wait_s + (queued.expected_s - work_s) * (
            1.0 + choice.BUSY_WEIGHT * waits.use
        )
        if gain_s > best_gain_s:
            best, best_gain_s = queued, gain_s
    return best


def end_wait(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    queued: states.QueuedRequest,
) -> outgoing.Outgoing:
    """Refuses a request that has waited too long, unless a slot is free.

    Targets that have not cached its object are considered only while the
    service is not too busy.

    Args:
        state: State of this VM, changed in place.
        schedule: The service.
        queued: The request, which is no longer in the queue.
    """
    sender = queued.key[0]
    request = with_time_left(state, queued)
    if choice.use_of(state, schedule) < choice.MAX_USE_FOR_UNCACHED:
        free = [
            option
            for option in choice.options_for(state, schedule, sender, request)
            if option.wait_s <= 0 and choice.may_wait(request, option)
        ]
        best = min(free, key=choice.score_s, default=None)
        if best is not None:
            waited_s = state.now_s - queued.queued_s
            return grants.grant(
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
    return outgoing.overload_refusal(state, sender, request, backlog_s)


def with_time_left(
    state: steering_states.State, queued: states.QueuedRequest
) -> slot_messages.SlotRequest:
    """Returns a waiting request with the time that is left now."""
    waited_s = state.now_s - queued.queued_s
    return attrs.evolve(
        queued.request,
        goal_remaining_s=queued.request.goal_remaining_s - waited_s,
        deadline_remaining_s=queued.request.deadline_remaining_s - waited_s,
    )
