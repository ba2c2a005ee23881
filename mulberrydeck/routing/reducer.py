"""Entry points of the routing subsystem, called by the core reducer."""

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway
from mulberrydeck.forward import outcomes
from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import choice
from mulberrydeck.routing import holder
from mulberrydeck.routing import ownership
from mulberrydeck.routing import slots
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state


def configure(
    state: routing_state.RoutingState, now_s: float, compiled: object
) -> None:
    """Puts a configuration in force.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        compiled: The compiled configuration.
    """
    _record_start(state, now_s)
    state.compiled = compiled
    configured = {item.name: item for item in compiled.targets_in(state.zone)}
    for name, target in configured.items():
        current = state.targets.get(name)
        if current is None:
            state.targets[name] = target_state.TargetState(target, now_s)
            continue
        if current.target.draining and not target.draining:
            target_state.recover(current, now_s)
        if target.draining and not current.target.draining:
            current.draining_since_s = now_s
        current.target = target
    for name in list(state.targets):
        if name not in configured and not state.targets[name].used:
            del state.targets[name]
    by_service: dict[str, list[str]] = {}
    for name, target in configured.items():
        by_service.setdefault(target.service, []).append(name)
    state.target_names_by_service = {
        service: tuple(sorted(names)) for service, names in by_service.items()
    }
    ownership.index_grants(state)
    state.assignment.plan_stale = True


def assign(
    state: routing_state.RoutingState,
    now_s: float,
    epoch: int,
    members: tuple[routing_state.ZoneMember, ...],
) -> list[quota_effects.SendMessage]:
    """Plans and renews the ownership of the zone's targets; zone holder only.

    A VM gets a grant for each of its heartbeats, and at once when its targets
    change, however often this function is called. After a change of epoch, or
    a stall during which another VM may have taken over, new grants wait until
    all earlier ones have expired.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        epoch: Epoch in which this VM is the zone holder.
        members: Live VMs of the zone that are not leaving, this one included.
    """
    _record_start(state, now_s)
    outgoing = []
    for vm, grant in holder.plan_grants(state, now_s, epoch, members):
        if vm == state.vm_name:
            receive_grant(state, now_s, vm, grant)
        else:
            outgoing.append(quota_effects.SendMessage(vm, grant))
    return outgoing


def observe_epoch(
    state: routing_state.RoutingState,
    now_s: float,
    holder_name: str,
    epoch: int,
) -> list[quota_effects.SendMessage]:
    """Records that a VM of this zone is its holder in an epoch.

    Grants of earlier epochs are rejected from now on. A new holder receives a
    claim of the targets that this VM still owns, so that it can renew their
    grants at once.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        holder_name: Name of the holder.
        epoch: Its epoch.
    """
    if epoch <= state.grants.epoch:
        return []
    owned = ownership.adopt_epoch(state.grants, now_s, epoch)
    state.grants.holder = holder_name
    if not owned or holder_name == state.vm_name:
        return []
    claim = messages.TargetClaim(epoch, owned)
    return [quota_effects.SendMessage(holder_name, claim)]


def receive(
    state: routing_state.RoutingState,
    now_s: float,
    sender: str,
    message: messages.TargetGrant
    | messages.TargetRelease
    | messages.TargetClaim,
) -> list[quota_effects.SendMessage]:
    """Handles a message about the ownership of targets.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        sender: Name of the sending VM.
        message: The message.
    """
    match message:
        case messages.TargetGrant():
            return receive_grant(state, now_s, sender, message)
        case messages.TargetRelease():
            ownership.accept_release(state.assignment, sender, message)
        case messages.TargetClaim():
            settings = state.settings
            grant_lifetime_s = settings.target_lease_s + settings.lease_margin_s
            ownership.accept_claim(
                state.assignment, sender, message, now_s + grant_lifetime_s
            )
    return []


def receive_grant(
    state: routing_state.RoutingState,
    now_s: float,
    sender: str,
    grant: messages.TargetGrant,
) -> list[quota_effects.SendMessage]:
    """Applies a grant of the zone holder.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        sender: Name of the holder.
        grant: The grant.
    """
    _record_start(state, now_s)
    previously_granted = frozenset(state.grants.expires_s)
    gained = ownership.accept_grant(
        state.grants, now_s, state.started_s, sender, grant
    )
    if state.grants.expires_s.keys() != previously_granted:
        ownership.index_grants(state)
    for name in gained:
        if name in state.targets:
            target_state.begin_ownership(state.targets[name])
    return _release_idle(state, now_s)


def stop(
    state: routing_state.RoutingState, now_s: float
) -> list[quota_effects.SendMessage]:
    """Releases all targets, for a planned stop.

    Targets in use are released when their last request has ended.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
    """
    ownership.withdraw_all(state.grants)
    ownership.index_grants(state)
    return _release_idle(state, now_s)


def tick(
    state: routing_state.RoutingState, now_s: float
) -> list[effects.PollTarget | quota_effects.Raise | quota_effects.SendMessage]:
    """Polls owned targets, serves queues and releases withdrawn targets.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
    """
    _record_start(state, now_s)
    produced: list = []
    for name in state.grants.expires_s:
        target = state.targets.get(name)
        if target is None or now_s < target.next_poll_s:
            continue
        if not ownership.owns(state.grants, name, now_s):
            continue
        target.next_poll_s = now_s + state.settings.target_poll_interval_s
        target.polling = True
        produced.append(effects.PollTarget(name, target.address))
    for service, service_state in state.services.items():
        if service_state.queue.size:
            produced.extend(slots.dispatch(state, now_s, service))
            produced.extend(slots.expire(state, now_s, service))
    if state.grants.withdrawn:
        produced.extend(_release_idle(state, now_s))
    return produced


def handle_poll_result(
    state: routing_state.RoutingState, now_s: float, event: events.TargetPolled
) -> list[quota_effects.Raise]:
    """Applies the result of a poll and serves the queue.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        event: The result.
    """
    target = state.targets.get(event.target)
    if target is None:
        return []
    if not ownership.owns(state.grants, event.target, now_s):
        target.polling = False
        return []
    target_state.apply_report(target, now_s, event.report)
    return slots.dispatch(state, now_s, target.target.service)


def service_loads(
    state: routing_state.RoutingState, now_s: float
) -> tuple[messages.ServiceLoad, ...]:
    """Returns this VM's capacity by service, for its heartbeats.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
    """
    loads = []
    for service in state.target_names_by_service:
        free, usable = slots.free_and_usable(state, now_s, service)
        if usable:
            loads.append(messages.ServiceLoad(service, free, usable))
    return tuple(loads)


def acquire(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    account: str,
    request_id: str,
) -> tuple[
    routing_state.Acquired | routing_state.Queued | routing_state.Full,
    list[quota_effects.Raise],
]:
    """Acquires a slot of an owned target; see `slots.acquire`."""
    return slots.acquire(state, now_s, service, account, request_id)


def cancel(
    state: routing_state.RoutingState, now_s: float, request_id: str
) -> list[quota_effects.Raise]:
    """Cancels a request.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        request_id: Identifier of the request, which waits, is relayed or has a
            slot.
    """
    if choice.end_relay(state, now_s, request_id, refused=False):
        return []
    return slots.cancel(state, now_s, request_id)


def release(
    state: routing_state.RoutingState,
    now_s: float,
    request_id: str,
    outcome: outcomes.AttemptOutcome | None,
    status: int,
    latency_s: float,
) -> list[quota_effects.Raise]:
    """Records the end of a request with a slot or of a relayed request.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        request_id: Identifier of the request.
        outcome: How the attempt ended, or None if the caller disconnected.
        status: HTTP status of the response, or 0.
        latency_s: Time from the start to the response head, in seconds.
    """
    del latency_s  # Slots are held until the complete response has passed.
    refused = outcome is outcomes.AttemptOutcome.NOT_RUN
    if choice.end_relay(state, now_s, request_id, refused):
        return []
    return slots.release(state, now_s, request_id, outcome, status)


def is_usable(
    state: routing_state.RoutingState, now_s: float, name: str
) -> bool:
    """Returns whether this VM may still send requests to a target.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        name: Name of the target.
    """
    target = state.targets.get(name)
    if target is None or not ownership.owns(state.grants, name, now_s):
        return False
    warmup_s = state.settings.target_warmup_s
    return target_state.usable_slots(target, now_s, warmup_s) > 0


def target_statuses(
    state: routing_state.RoutingState, now_s: float
) -> tuple[gateway.TargetStatus, ...]:
    """Returns the status of the zone's targets as known to this VM.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
    """
    warmup_s = state.settings.target_warmup_s
    return tuple(
        gateway.TargetStatus(
            name=name,
            service=target.target.service,
            owned=ownership.owns(state.grants, name, now_s),
            state=target_state.condition(target, now_s, warmup_s),
            used_slots=target.used,
            usable_slots=target_state.usable_slots(target, now_s, warmup_s),
        )
        for name, target in sorted(state.targets.items())
    )


def _record_start(state: routing_state.RoutingState, now_s: float) -> None:
    if state.started_s is None:
        state.started_s = now_s


def _release_idle(
    state: routing_state.RoutingState, now_s: float
) -> list[quota_effects.SendMessage]:
    if not state.grants.withdrawn:
        return []
    busy = frozenset(
        name
        for name in state.grants.withdrawn
        if name in state.targets and state.targets[name].used
    )
    released = ownership.release_idle(state.grants, now_s, busy)
    if state.grants.holder != state.vm_name:
        return released
    for effect in released:
        ownership.accept_release(
            state.assignment, state.vm_name, effect.message
        )
    return []
