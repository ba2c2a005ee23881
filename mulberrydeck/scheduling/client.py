"""Requests for slots that this VM sends for its callers' requests.

A VM that gets no reply chooses a target itself, so that a scheduler that dies,
stalls or is cut off delays the requests of one moment and stops none.
"""

from mulberrydeck.peers import slot_messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.scheduling import asking
from mulberrydeck.scheduling import decisions
from mulberrydeck.scheduling import homes
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import reply_timeouts
from mulberrydeck.scheduling import scheduler
from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import effects
from mulberrydeck.steering import state as steering_states

Effects = list[object]


def is_enabled(state: steering_states.State) -> bool:
    """Returns whether slots are granted by schedulers."""
    return 0 < state.settings.slot_scheduling_min_vms <= len(state.fleet.names)


def ask(
    state: steering_states.State, request: steering_states.Request
) -> Effects | None:
    """Asks for a slot; returns None if no scheduler can be asked.

    The decision follows as a `decisions.SlotDecision`, at once among the
    effects or later among those of `receive` or `ticked`.

    Args:
        state: State of this VM, changed in place.
        request: The request.
    """
    request.spilled = False
    request.retry_after_s = 0.0
    if request.object_digest is None:
        region = _own_region(state, request.allowed_regions)
    else:
        region = homes.home_region(
            state,
            request.service,
            request.object_digest,
            request.allowed_regions,
        )
    return None if region is None else _ask(state, request, region, True)


def _own_region(
    state: steering_states.State, allowed_regions: frozenset[str] | None
) -> str | None:
    """Returns the region for a request without an object; None if none may."""
    own = state.settings.region
    if allowed_regions is None or own in allowed_regions:
        return own
    return min(allowed_regions, default=None)


def _ask(
    state: steering_states.State,
    request: steering_states.Request,
    region: str,
    may_wait: bool,
) -> Effects | None:
    """Asks the scheduler of a region; returns None if there is none to ask."""
    messages = asking.ask(state, request, region, may_wait)
    return None if messages is None else deliver(state, messages)


def give_back(
    state: steering_states.State,
    request: steering_states.Request,
    message: slot_messages.SlotReturn,
) -> Effects:
    """Returns the slot of a request to all schedulers that know of it.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        message: What became of the attempt.
    """
    names = sorted(request.slot_holders)
    request.slot_holders.clear()
    return deliver(state, [outgoing.Outgoing(name, message) for name in names])


def cancel(
    state: steering_states.State, request: steering_states.Request
) -> Effects:
    """Withdraws a request for a slot, if there is one."""
    asked = state.slot_client.asked.pop(request.request_id, None)
    if asked is None:
        return []
    return deliver(state, [asking.withdrawal(request, asked.scheduler)])


def deliver(
    state: steering_states.State, messages: list[outgoing.Outgoing]
) -> Effects:
    """Returns the effects of messages; those to this VM are applied at once."""
    produced: Effects = []
    for item in messages:
        if item.to == state.settings.name:
            produced += receive(state, item.to, item.message)
        else:
            produced.append(quota_effects.SendMessage(item.to, item.message))
    return produced


def receive(
    state: steering_states.State, sender: str, message: object
) -> Effects:
    """Applies a message about slots; returns effects and slot decisions.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM that sent it.
        message: The message.
    """
    match message:
        case slot_messages.SlotRequest():
            own = asking.introduction(
                state, message.service, state.settings.name
            )
            produced = deliver(state, own)
            replies = scheduler.requested(state, sender, message)
            return produced + deliver(state, replies)
        case slot_messages.SlotReturn():
            return deliver(state, scheduler.returned(state, sender, message))
        case slot_messages.SlotsHeld():
            return deliver(state, scheduler.held(state, sender, message))
        case slot_messages.SlotGrant():
            return _granted(state, sender, message)
        case slot_messages.SlotQueued():
            return _queued(state, sender, message)
        case slot_messages.SlotRefusal():
            return _refused(state, sender, message)
    return []


def _granted(
    state: steering_states.State, sender: str, grant: slot_messages.SlotGrant
) -> Effects:
    """Decides on a request by a grant, or returns an unneeded slot."""
    asked = _asked(state, sender, grant)
    request = state.requests.get(grant.request_id)
    if asked is None or request is None:
        # The request has ended, or was placed without this grant.
        message = slot_messages.SlotReturn(
            grant.request_id, grant.service, attempt=grant.attempt
        )
        return deliver(state, [outgoing.Outgoing(sender, message)])
    del state.slot_client.asked[grant.request_id]
    request.slot_holders.add(sender)
    target = state.target_directory.by_name.get(grant.target)
    if target is None:
        return [
            *_return_unusable(state, request),
            decisions.ChooseLocally(grant.request_id, "unknown target"),
        ]
    return [
        decisions.Granted(
            grant.request_id, target, grant.reason, sender, grant.waited_s
        )
    ]


def _asked(
    state: steering_states.State,
    sender: str,
    message: slot_messages.SlotGrant
    | slot_messages.SlotQueued
    | slot_messages.SlotRefusal,
) -> states.AskedSlot | None:
    """Returns what a reply of a scheduler responds to; None if it is late."""
    asked = state.slot_client.asked.get(message.request_id)
    if asked is None or (asked.scheduler, asked.attempt) != (
        sender,
        message.attempt,
    ):
        return None
    return asked


def _return_unusable(
    state: steering_states.State, request: steering_states.Request
) -> Effects:
    """Returns a slot whose target this VM cannot use."""
    message = slot_messages.SlotReturn(
        request.request_id,
        request.service,
        slot_messages.UNUSABLE,
        attempt=request.slot_attempt,
    )
    return give_back(state, request, message)


def _queued(
    state: steering_states.State, sender: str, message: slot_messages.SlotQueued
) -> Effects:
    """Waits longer for a scheduler that has queued the request."""
    asked = _asked(state, sender, message)
    if asked is not None:
        asked.is_queued = True
        asked.reply_by_s = (
            state.now_s + 2 * message.wait_s + reply_timeouts.QUEUED_TIMEOUT_S
        )
        asked.decide_by_s = (
            state.now_s + message.max_wait_s + reply_timeouts.QUEUED_TIMEOUT_S
        )
    return []


def _refused(
    state: steering_states.State,
    sender: str,
    refusal: slot_messages.SlotRefusal,
) -> Effects:
    """Asks another scheduler after a refusal, or ends the request for a slot.

    The next scheduler of the same region is asked if this one stops, and once
    that of another region if this one has no slot in time.
    """
    asked = _asked(state, sender, refusal)
    request = state.requests.get(refusal.request_id)
    if asked is None or request is None:
        return []
    del state.slot_client.asked[refusal.request_id]
    if refusal.reason == slot_messages.STOPPING:
        reply_timeouts.avoid(state, sender)
        produced = _ask(state, request, asked.region, True)
        if produced is not None:
            return produced
        return [decisions.ChooseLocally(refusal.request_id, "no scheduler")]
    if not request.spilled:
        request.spilled = True
        request.retry_after_s = refusal.retry_after_s
        other = homes.other_region(
            state, request.service, asked.region, request.allowed_regions
        )
        if other is not None:
            # Without a target in the first region, the request has the same
            # rights in the other one as requests of that region.
            may_wait = refusal.reason == slot_messages.NO_TARGET
            produced = _ask(state, request, other, may_wait)
            if produced is not None:
                return produced
    if refusal.reason == slot_messages.NO_TARGET and not request.retry_after_s:
        return [
            decisions.ChooseLocally(refusal.request_id, "no scheduled target")
        ]
    retry_after_s = request.retry_after_s or refusal.retry_after_s
    return [decisions.Declined(refusal.request_id, retry_after_s, sender)]


def ticked(state: steering_states.State) -> Effects:
    """Gives up schedulers that do not reply; returns effects and decisions."""
    now_s = state.now_s
    produced: Effects = []
    reply_timeouts.allow_for_own_stall(state)
    late = [
        (request_id, asked)
        for request_id, asked in state.slot_client.asked.items()
        if reply_timeouts.is_late(state, asked)
    ]
    for request_id, asked in late:
        del state.slot_client.asked[request_id]
        request = state.requests.get(request_id)
        if asked.scheduler not in state.slot_client.avoided_until_s:
            fields = {
                "scheduler": asked.scheduler,
                "waited_s": round(now_s - asked.sent_s, 3),
                "queued": asked.is_queued,
            }
            text = "A scheduler does not reply."
            produced.append(effects.Log("scheduling", text, fields))
        reply_timeouts.avoid(state, asked.scheduler)
        if request is None:
            continue
        withdrawal = asking.withdrawal(request, asked.scheduler)
        produced += deliver(state, [withdrawal])
        produced.append(decisions.ChooseLocally(request_id, "no reply"))
    avoided = state.slot_client.avoided_until_s
    for name in [name for name, until_s in avoided.items() if now_s >= until_s]:
        del avoided[name]
    return produced
