"""Grants slots, and drops requests from the grants or the queue."""

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import choice
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import vms
from mulberrydeck.steering import state as steering_states


def grant(
    state: steering_states.State,
    schedule: states.ServiceSchedule,
    key: states.Key,
    request: slot_messages.SlotRequest,
    target: states.ScheduledTarget,
    waited_s: float,
) -> outgoing.Outgoing:
    """Grants a slot to a request, and returns the message for its VM.

    The request must not be in the queue.

    Args:
        state: State of this VM, changed in place.
        schedule: The service.
        key: VM and identifier of the request.
        request: The request, as it was when the VM asked.
        target: Target whose slot is granted.
        waited_s: Time that the request waited, in seconds.
    """
    now_s = state.now_s
    rank = target.cache.rank(request.object_digest)
    probability = schedule.cache_model.probability(rank)
    expected_s = choice.expected_work_s(state, request.route, probability)
    granted = states.Grant(
        key=key,
        incarnation=vms.incarnation_of(state, key[0]),
        target=target,
        granted_s=now_s,
        deadline_s=now_s + request.deadline_remaining_s - waited_s,
        route=request.route,
        object_digest=request.object_digest,
        cache_rank=rank,
        expected_s=expected_s,
        attempt=request.attempt,
    )
    state.scheduler.grants[key] = granted
    target.grants[key] = granted
    target.usage.add(now_s, expected_s)
    target.cache.use(now_s, request.object_digest)
    schedule.usage[request.account].add(now_s, 1.0)
    reason = "cached" if probability >= choice.LIKELY else "not cached"
    return outgoing.Outgoing(
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


def attempt_of(state: steering_states.State, key: states.Key) -> int | None:
    """Returns the attempt that has a slot or waits; None if there is none."""
    queued = state.scheduler.queued.get(key)
    if queued is not None:
        return queued.request.attempt
    granted = state.scheduler.grants.get(key)
    return None if granted is None else granted.attempt


def drop(state: steering_states.State, key: states.Key) -> states.Grant | None:
    """Drops a request from the grants or the queue.

    Returns:
        Its grant; None if it had none.
    """
    queued = state.scheduler.queued.pop(key, None)
    if queued is not None:
        dequeue(state, queued)
    granted = state.scheduler.grants.pop(key, None)
    if granted is not None:
        granted.target.grants.pop(key, None)
    return granted


def dequeue(state: steering_states.State, queued: states.QueuedRequest) -> None:
    """Removes a request from the queue of its target."""
    queued.target.queue.remove(queued)
    state.scheduler.services[queued.request.service].waits -= 1
