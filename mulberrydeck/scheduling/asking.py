"""Messages of a VM that asks a scheduler for slots."""

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import election
from mulberrydeck.scheduling import outgoing
from mulberrydeck.scheduling import reply_timeouts
from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import state as steering_states


def ask(
    state: steering_states.State,
    request: steering_states.Request,
    region: str,
    may_wait: bool,
) -> list[outgoing.Outgoing] | None:
    """Records that a scheduler is asked for a slot, and returns the messages.

    Args:
        state: State of this VM, changed in place.
        request: The request.
        region: Region of the targets.
        may_wait: Whether the request may wait for a slot there.

    Returns:
        The messages in the order in which they are sent; None if no scheduler
        can be asked.
    """
    name = election.scheduler_of(state, request.service, region)
    if name is None:
        return None
    now_s = state.now_s
    is_near = region == state.settings.region
    timeout_s = (
        reply_timeouts.REPLY_TIMEOUT_S
        if is_near
        else reply_timeouts.FAR_REPLY_TIMEOUT_S
    )
    request.slot_attempt += 1
    state.slot_client.asked[request.request_id] = states.AskedSlot(
        name, region, now_s, now_s + timeout_s, request.slot_attempt
    )
    account = request.account
    priority = request.route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    goal_s = request.arrived_s + request.route.target_latency_s
    messages = introduction(state, request.service, name)
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
    return messages


def introduction(
    state: steering_states.State, service: str, name: str
) -> list[outgoing.Outgoing]:
    """Returns a message with the slots in use, for a new scheduler.

    Args:
        state: State of this VM, changed in place.
        service: Name of the service.
        name: Name of the scheduler.

    Returns:
        The message in a list, which is empty if the scheduler knows the slots
        or none is in use.
    """
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


def withdrawal(
    request: steering_states.Request, name: str
) -> outgoing.Outgoing:
    """Returns a message that ends a request for a slot.

    Args:
        request: The request.
        name: Name of the scheduler that was asked.
    """
    message = slot_messages.SlotReturn(
        request.request_id, request.service, attempt=request.slot_attempt
    )
    return outgoing.Outgoing(name, message)
