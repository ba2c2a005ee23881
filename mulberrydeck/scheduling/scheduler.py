"""Grants slots of the targets of a region, as the scheduler of their services.

Requests of all VMs of the region, and those of other regions that this one
serves, meet here, so that the choice (`choice`) knows the load of each target
without its reports. Each function here handles one kind of message or event,
and returns the messages that follow from it.
"""

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import choice
from mulberrydeck.scheduling import grants
from mulberrydeck.scheduling import learning
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import queueing
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import usable_targets
from mulberrydeck.scheduling import vms
from mulberrydeck.steering import state as steering_states

# Grants of VMs that died are looked for this often; they use no slot any more.
DEAD_VM_CHECK_INTERVAL_S = 0.5
# A grant that was never returned, since its message was lost, ends this long
# after the deadline of its request.
LOST_RETURN_S = 0.5


def requested(
    state: steering_states.State,
    sender: str,
    request: slot_messages.SlotRequest,
) -> list[outgoing.Outgoing]:
    """Grants, queues or refuses a request for a slot.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that asks.
        request: The request.
    """
    if state.stopping or not state.target_directory.listed:
        return [outgoing.refusal(sender, request, slot_messages.STOPPING)]
    schedule = usable_targets.refreshed(state, request.service)
    key = (sender, request.request_id)
    grants.drop(state, key)
    options = list(choice.options_for(state, schedule, sender, request))
    if not options:
        return [outgoing.refusal(sender, request, slot_messages.NO_TARGET)]
    best = choice.best_option(state, schedule, request, options)
    if best.wait_s <= 0 and (
        request.may_wait
        or best.cached_probability >= choice.LIKELY
        or choice.use_of(state, schedule) < choice.MAX_USE_FOR_OTHERS
    ):
        return [grants.grant(state, schedule, key, request, best.target, 0.0)]
    if not request.may_wait or not choice.may_wait(request, best):
        backlog_s = min(option.wait_s for option in options)
        return [outgoing.overload_refusal(state, sender, request, backlog_s)]
    queued = queueing.enqueue(state, schedule, key, request, best)
    return [
        outgoing.Outgoing(
            sender,
            slot_messages.SlotQueued(
                request.request_id,
                round(best.wait_s, 3),
                round(queued.give_up_s - state.now_s, 3),
                request.attempt,
            ),
        )
    ]


def returned(
    state: steering_states.State,
    sender: str,
    message: slot_messages.SlotReturn,
) -> list[outgoing.Outgoing]:
    """Frees a slot, and grants it to a request that waits.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that used the slot.
        message: The message.
    """
    key = (sender, message.request_id)
    if grants.attempt_of(state, key) != message.attempt:
        # The VM has asked again since; its earlier attempt was dropped then.
        return []
    grant = grants.drop(state, key)
    if grant is None:
        return []
    target = grant.target
    not_run = message.result in slot_messages.NOT_RUN_RESULTS
    if not_run and grant.cache_rank is None:
        target.cache.discard(grant.object_digest)
    learning.observe_report(state, grant, message)
    learning.observe_result(state, sender, target, message)
    schedule = state.scheduler.services.get(message.service)
    return [] if schedule is None else queueing.fill(state, schedule, target)


def held(
    state: steering_states.State, sender: str, message: slot_messages.SlotsHeld
) -> list[outgoing.Outgoing]:
    """Learns which slots a VM uses that an earlier scheduler granted.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM.
        message: The slots.
    """
    schedule = usable_targets.refreshed(state, message.service)
    for slot in message.slots:
        target = schedule.targets.get(slot.target)
        key = (sender, slot.request_id)
        if target is None or grants.attempt_of(state, key) == slot.attempt:
            continue
        grants.drop(state, key)
        grant = states.Grant(
            key=key,
            incarnation=vms.incarnation_of(state, sender),
            target=target,
            granted_s=state.now_s,
            deadline_s=state.now_s + slot.deadline_remaining_s,
            attempt=slot.attempt,
        )
        state.scheduler.grants[key] = grant
        target.grants[key] = grant
    return []


def ticked(state: steering_states.State) -> list[outgoing.Outgoing]:
    """Drops what has lapsed, and grants slots that became free."""
    scheduler = state.scheduler
    if not scheduler.services:
        return []
    now_s = state.now_s
    if now_s >= scheduler.checked_s + DEAD_VM_CHECK_INTERVAL_S:
        scheduler.checked_s = now_s
        _drop_lapsed(state)
    produced = _end_overlong_waits(state)
    for service, schedule in scheduler.services.items():
        usable_targets.refreshed(state, service)
        if schedule.waits:
            waits = queueing.ComparedWaits()
            for target in schedule.usable:
                produced += queueing.fill(state, schedule, target, waits)
    return produced


def stopped(state: steering_states.State) -> list[outgoing.Outgoing]:
    """Refuses all waiting requests, so that their VMs ask another scheduler."""
    produced = []
    for queued in list(state.scheduler.queued.values()):
        grants.drop(state, queued.key)
        produced.append(
            outgoing.refusal(
                queued.key[0], queued.request, slot_messages.STOPPING
            )
        )
    return produced


def _drop_lapsed(state: steering_states.State) -> None:
    """Drops grants and requests of VMs that died, and grants never returned."""
    scheduler = state.scheduler
    lapsed = [
        grant.key
        for grant in scheduler.grants.values()
        if state.now_s > grant.deadline_s + LOST_RETURN_S
        or vms.is_dead(state, grant.key[0], grant.incarnation)
    ]
    lapsed += [
        queued.key
        for queued in scheduler.queued.values()
        if vms.is_dead(state, queued.key[0], queued.incarnation)
    ]
    for key in lapsed:
        grants.drop(state, key)


def _end_overlong_waits(
    state: steering_states.State,
) -> list[outgoing.Outgoing]:
    """Ends waits for slots that would come too late, or at unusable targets.

    Requests whose targets are no longer usable are placed again.
    """
    produced: list[outgoing.Outgoing] = []
    for queued in list(state.scheduler.queued.values()):
        schedule = state.scheduler.services[queued.request.service]
        if queued.target not in schedule.usable or choice.is_avoided(
            state, queued, queued.target
        ):
            produced += _place_again(state, queued)
        elif state.now_s > queued.give_up_s:
            grants.drop(state, queued.key)
            produced.append(queueing.end_wait(state, schedule, queued))
    return produced


def _place_again(
    state: steering_states.State, queued: states.QueuedRequest
) -> list[outgoing.Outgoing]:
    """Chooses again for a waiting request, with the time that is left."""
    return requested(
        state, queued.key[0], queueing.with_time_left(state, queued)
    )
