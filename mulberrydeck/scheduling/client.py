"""Requests for slots that this VM sends for its callers' requests.

A VM that gets no reply chooses a target itself, so that a scheduler that dies,
stalls or is cut off delays the requests of one moment and stops none.
"""

import math

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.scheduling import election
from mulberrydeck.scheduling import homes
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import scheduler
from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import effects
from mulberrydeck.steering import state as steering_states
from mulberrydeck.steering import targets as targets_module

Effects = list[object]

# Several times the round trip and the time that a busy scheduler takes. Beyond
# this, callers are served better by a choice without it.
REPLY_TIMEOUT_S = 0.1
FAR_REPLY_TIMEOUT_S = 0.25
# After a queued request's expected or longest wait, another message is expected
# by then.
QUEUED_TIMEOUT_S = 0.5
# A scheduler that did not reply is not asked for this long; by then, a VM that
# died is nearly known to be dead.
AVOIDED_S = 2.0
# Ticks that are late by more than this show that this VM itself stalled.
MIN_STALL_S = 0.02


@attrs.frozen
class Granted:
    """A slot was granted to a request.

    Attributes:
        request_id: The request.
        target: The target.
        reason: Why the target was chosen, for logs.
        scheduler: VM that granted the slot.
        waited_s: Time that the request waited for the slot, in seconds.
    """

    request_id: str
    target: targets_module.Target
    reason: str
    scheduler: str
    waited_s: float


@attrs.frozen
class Declined:
    """No target has or will have a slot in time.

    Attributes:
        request_id: The request.
        retry_after_s: Time until the backlog clears, in seconds.
        scheduler: VM that refused.
    """

    request_id: str
    retry_after_s: float
    scheduler: str


@attrs.frozen
class ChooseLocally:
    """This VM has to choose a target itself.

    Attributes:
        request_id: The request.
        reason: Why, for logs.
    """

    request_id: str
    reason: str


SlotDecision = Granted | Declined | ChooseLocally


def is_scheduled(state: steering_states.State, service: str) -> bool:
    """Returns whether slots of a service are granted by a scheduler."""
    min_vms = state.settings.slot_scheduling_min_vms
    return (
        0 < min_vms <= len(state.fleet.names)
        and service in state.slot_client.load_reporting
    )


def ask(
    state: steering_states.State, request: steering_states.Request
) -> Effects | None:
    """Asks for a slot; returns None if no scheduler can be asked.

    The decision follows as a `SlotDecision`, which may be among the effects.

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
    name = election.scheduler_of(state, request.service, region)
    if name is None:
        return None
    now_s = state.now_s
    is_near = region == state.settings.region
    timeout_s = REPLY_TIMEOUT_S if is_near else FAR_REPLY_TIMEOUT_S
    request.slot_attempt += 1
    state.slot_client.asked[request.request_id] = states.AskedSlot(
        name, region, now_s, now_s + timeout_s, request.slot_attempt
    )
    account = request.account
    priority = request.route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    goal_s = request.arrived_s + request.route.target_latency_s
    messages = _introduction(state, request.service, name)
    message = slot_messages.SlotRequest(
        request_id=request.request_id,
        service=request.service,
        route=request.route.name,
        object_digest=request.object_digest,
        account=request.account_name,
        priority=priority,
        goal_remaining_s=round(goal_s - now_s, 4),
        deadline_remaining_s=round(request.deadline_s - now_s, 4),
        excluded=tuple(sorted(request.tried)),
        may_wait=may_wait,
        attempt=request.slot_attempt,
    )
    messages.append(outgoing.Outgoing(name, message))
    return deliver(state, messages)


def _introduction(
    state: steering_states.State, service: str, name: str
) -> list[outgoing.Outgoing]:
    """Returns a message with the slots in use, for a new scheduler."""
    peer = state.fleet.peers.get(name)
    if peer is None:
        # This VM is the scheduler itself.
        incarnation = state.fleet.incarnation
        region = state.settings.region
    else:
        incarnation = peer.incarnation
        region = peer.record.region
    known = state.slot_client.introduced.get((name, service))
    if known == incarnation:
        return []
    state.slot_client.introduced[name, service] = incarnation
    slots = tuple(
        slot_messages.HeldSlot(
            request.request_id,
            request.target.entry.name,
            round(request.deadline_s - state.now_s, 3),
            request.slot_attempt,
        )
        for request in state.requests.values()
        if request.service == service
        and request.target is not None
        and request.target.region == region
    )
    if not slots:
        return []
    for request in state.requests.values():
        if request.service == service and request.target is not None:
            request.slot_holders.add(name)
    return [outgoing.Outgoing(name, slot_messages.SlotsHeld(service, slots))]


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
    return deliver(state, [_withdrawal(request, asked.scheduler)])


def _withdrawal(
    request: steering_states.Request, name: str
) -> outgoing.Outgoing:
    message = slot_messages.SlotReturn(
        request.request_id, request.service, attempt=request.slot_attempt
    )
    return outgoing.Outgoing(name, message)


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
            own = _introduction(state, message.service, state.settings.name)
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
            *_unusable(state, request),
            ChooseLocally(grant.request_id, "unknown target"),
        ]
    return [
        Granted(grant.request_id, target, grant.reason, sender, grant.waited_s)
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


def _unusable(
    state: steering_states.State, request: steering_states.Request
) -> Effects:
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
    asked = _asked(state, sender, message)
    if asked is not None:
        asked.is_queued = True
        asked.reply_by_s = state.now_s + 2 * message.wait_s + QUEUED_TIMEOUT_S
        asked.decide_by_s = state.now_s + message.max_wait_s + QUEUED_TIMEOUT_S
    return []


def _refused(
    state: steering_states.State,
    sender: str,
    refusal: slot_messages.SlotRefusal,
) -> Effects:
    asked = _asked(state, sender, refusal)
    request = state.requests.get(refusal.request_id)
    if asked is None or request is None:
        return []
    del state.slot_client.asked[refusal.request_id]
    if refusal.reason == slot_messages.STOPPING:
        _avoid(state, sender)
        produced = _ask(state, request, asked.region, True)
        if produced is not None:
            return produced
        return [ChooseLocally(refusal.request_id, "no scheduler")]
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
        return [ChooseLocally(refusal.request_id, "no scheduled target")]
    retry_after_s = request.retry_after_s or refusal.retry_after_s
    return [Declined(refusal.request_id, retry_after_s, sender)]


def _avoid(state: steering_states.State, name: str) -> None:
    """Asks other schedulers for some time.

    Each scheduler then misses what the others grant, so that it gets a new list
    of the slots in use.
    """
    state.slot_client.avoided_until_s[name] = state.now_s + AVOIDED_S
    state.slot_client.introduced.clear()


def _allow_for_own_stall(state: steering_states.State) -> None:
    """Prolongs waits for replies that may have arrived while this VM stalled.

    After a stall, the timer may expire before messages are read.
    """
    client = state.slot_client
    late_s = state.now_s - client.ticked_s - state.settings.tick_interval_s
    client.ticked_s = state.now_s
    if MIN_STALL_S < late_s < math.inf:
        for asked in client.asked.values():
            asked.reply_by_s += late_s
            asked.decide_by_s += late_s


def _is_late(state: steering_states.State, asked: states.AskedSlot) -> bool:
    """Returns whether a scheduler's next reply is late.

    Requests that go first prolong a wait in the queue, so that a long one alone
    does not show that the scheduler has failed.
    """
    if not asked.is_queued or (
        asked.scheduler in state.slot_client.avoided_until_s
    ):
        return state.now_s > asked.reply_by_s
    return state.now_s > asked.decide_by_s


def ticked(state: steering_states.State) -> Effects:
    """Gives up schedulers that do not reply."""
    now_s = state.now_s
    produced: Effects = []
    _allow_for_own_stall(state)
    late = [
        (request_id, asked)
        for request_id, asked in state.slot_client.asked.items()
        if _is_late(state, asked)
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
        _avoid(state, asked.scheduler)
        if request is None:
            continue
        withdrawal = _withdrawal(request, asked.scheduler)
        produced += deliver(state, [withdrawal])
        produced.append(ChooseLocally(request_id, "no reply"))
    avoided = state.slot_client.avoided_until_s
    for name in [name for name, until_s in avoided.items() if now_s >= until_s]:
        del avoided[name]
    return produced
