"""Places requests at targets whose slots were granted, or else chosen here.

This module connects the slot scheduling (`mulberrydeck.scheduling`) with the
requests of this VM's callers.
"""

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import client as slots
from mulberrydeck.scheduling import decisions
from mulberrydeck.scheduling import scheduler
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import forwarding
from mulberrydeck.steering import observations
from mulberrydeck.steering import placement
from mulberrydeck.steering import refusals
from mulberrydeck.steering import state as states

Outcome = events.Outcome
Placement = effects.Placement

Effects = list[object]


def place(state: states.State, request: states.Request) -> Effects:
    """Forwards a request to a target, or refuses it.

    With slot scheduling, a scheduler is asked first, so that the decision may
    follow later.

    Args:
        state: State of this VM, changed in place.
        request: The request.
    """
    ended = forwarding.end_without_time(state, request)
    if ended is not None:
        return [ended]
    if slots.is_enabled(state):
        produced = slots.ask(state, request)
        if produced is not None:
            return apply_decisions(state, produced)
    return forwarding.place_locally(state, request, "")


def message_received(
    state: states.State, sender: str, message: object
) -> Effects:
    """Applies a message about slots of targets.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that sent it.
        message: The message.
    """
    return apply_decisions(state, slots.receive(state, sender, message))


def ticked(state: states.State) -> Effects:
    """Does what is due for slots that this VM asked for or schedules."""
    produced = slots.ticked(state)
    produced += slots.deliver(state, scheduler.ticked(state))
    return apply_decisions(state, produced)


def scheduler_stopped(state: states.State) -> Effects:
    """Sends the requests that wait here for a slot to other schedulers."""
    produced = slots.deliver(state, scheduler.stopped(state))
    return apply_decisions(state, produced)


def apply_decisions(state: states.State, produced: Effects) -> Effects:
    """Replaces decisions on slots by what follows for their requests.

    Args:
        state: State of this VM, changed in place.
        produced: Effects, and decisions of type `decisions.SlotDecision`.
    """
    applied: Effects = []
    for item in produced:
        if isinstance(item, decisions.SlotDecision):
            request = state.requests.get(item.request_id)
            if request is not None:
                applied += _slot_decided(state, request, item)
        else:
            applied.append(item)
    return applied


def _slot_decided(
    state: states.State,
    request: states.Request,
    decision: decisions.SlotDecision,
) -> Effects:
    """Forwards, refuses or ends a request by a decision on its slot."""
    match decision:
        case decisions.Granted():
            return _slot_granted(state, request, decision)
        case decisions.Declined(retry_after_s=retry_after_s):
            if request.deliverable:
                return [effects.Deliver(request.request_id)]
            forwarding.refund_token(state, request)
            inputs = {"scheduler": decision.scheduler}
            return [
                refusals.refusal(
                    request, 503, "no-capacity", retry_after_s, inputs
                )
            ]
        case decisions.ChooseLocally(reason=reason):
            # The request may have waited for a slot until now.
            ended = forwarding.end_without_time(state, request)
            if ended is not None:
                return [ended]
            return forwarding.place_locally(state, request, reason)
    return []


def _slot_granted(
    state: states.State, request: states.Request, granted: decisions.Granted
) -> Effects:
    """Forwards a request to a target, if this VM may use it now."""
    target = granted.target
    ended = forwarding.end_without_time(state, request)
    if ended is not None:
        return [*give_back(state, request, slot_messages.NOT_SENT), ended]
    required = forwarding.requirements(state, request)
    if not placement.is_usable(
        state.target_directory, target, state.now_s, required
    ) or not placement.may_send(state.pacer, state.now_s, target, required):
        return [
            *give_back(state, request, slot_messages.UNUSABLE),
            *forwarding.place_locally(
                state, request, "granted target is unusable"
            ),
        ]
    inputs = {
        "scheduler": granted.scheduler,
        "slot_wait_s": round(granted.waited_s, 3),
    }
    forward = forwarding.forward(
        state, request, target, granted.reason, Placement.GRANTED, inputs
    )
    return [attrs.evolve(forward, slot_wait_s=granted.waited_s)]


def give_back(
    state: states.State,
    request: states.Request,
    result: str,
    event: events.AttemptEnded | None = None,
) -> Effects:
    """Returns the slot that a request used, if a scheduler granted it.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        result: What became of the attempt, such as `slot_messages.SUCCEEDED`.
        event: End of the attempt; None if there was none.
    """
    if not request.slot_holders:
        return []
    duration_s = None
    if event is not None and event.outcome is Outcome.ANSWERED:
        duration_s = round(state.now_s - request.attempt_s, 4)
    message = slot_messages.SlotReturn(
        request.request_id,
        request.service,
        result,
        duration_s,
        None if event is None else event.reported_load,
        None if event is None else event.reported_speed,
        request.slot_attempt,
    )
    return apply_decisions(state, slots.give_back(state, request, message))


def result_of(event: events.AttemptEnded) -> str:
    """Returns the result of an attempt, as told to the scheduler."""
    match event.outcome:
        case Outcome.ANSWERED | Outcome.BROKEN | Outcome.UNCLEAR:
            if observations.is_failure(event):
                return slot_messages.FAILED
            return slot_messages.SUCCEEDED
        case Outcome.REJECTED:
            return slot_messages.REJECTED
        case Outcome.EXPIRED:
            return slot_messages.EXPIRED
        case Outcome.NOT_SENT | Outcome.WRONG_TARGET:
            return slot_messages.UNUSABLE
    return slot_messages.NOT_SENT
