"""Assignment of targets to VMs by the zone holder."""

from mulberrydeck.peers import messages
from mulberrydeck.routing import ownership
from mulberrydeck.routing import placement
from mulberrydeck.routing import state as routing_state

FIRST_EPOCH = 1


def plan_grants(
    state: routing_state.RoutingState,
    now_s: float,
    epoch: int,
    members: tuple[routing_state.ZoneMember, ...],
) -> list[tuple[str, messages.TargetGrant]]:
    """Plans the ownership of the zone's targets and returns the grants due.

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
    if epoch < state.grants.epoch or state.compiled is None:
        return []
    _begin_epoch_if_due(state, now_s, epoch)
    _update_plan(state, members)
    return ownership.grants_due(
        state.assignment,
        now_s,
        _with_own_clock(state, now_s, members),
        state.settings.target_lease_s,
        state.settings.lease_margin_s,
    )


def _begin_epoch_if_due(
    state: routing_state.RoutingState, now_s: float, epoch: int
) -> None:
    """Starts an epoch, or starts it again after a stall.

    Another VM may have become the holder during a stall, so new grants wait for
    the lifetime of a grant, within which a heartbeat of that holder would have
    arrived. The first epoch needs no wait, since there are no earlier grants.
    """
    settings = state.settings
    assignment = state.assignment
    stall_s = now_s - assignment.last_assign_s
    assignment.last_assign_s = now_s
    grant_lifetime_s = settings.target_lease_s + settings.lease_margin_s
    if epoch != assignment.epoch:
        wait_s = grant_lifetime_s if epoch > FIRST_EPOCH else 0.0
        ownership.begin_epoch(assignment, now_s, epoch, wait_s)
        _claim_own_targets(state, now_s, epoch)
    elif stall_s > settings.zone_takeover_s - settings.heartbeat_interval_s:
        ownership.begin_epoch(assignment, now_s, epoch, grant_lifetime_s)


def _claim_own_targets(
    state: routing_state.RoutingState, now_s: float, epoch: int
) -> None:
    if epoch <= state.grants.epoch:
        return
    owned = ownership.adopt_epoch(state.grants, now_s, epoch)
    settings = state.settings
    grant_lifetime_s = settings.target_lease_s + settings.lease_margin_s
    ownership.accept_claim(
        state.assignment,
        state.vm_name,
        messages.TargetClaim(epoch, owned),
        now_s + grant_lifetime_s,
    )


def _update_plan(
    state: routing_state.RoutingState,
    members: tuple[routing_state.ZoneMember, ...],
) -> None:
    assignment = state.assignment
    names = tuple(sorted(member.name for member in members))
    if names == assignment.members and not assignment.plan_stale:
        return
    assignment.owner_by_target = placement.plan(
        state.compiled.targets_in(state.zone),
        names,
        assignment.owner_by_target,
        rebalance=names != assignment.members,
    )
    assignment.members = names
    assignment.plan_stale = False
    assignment.grantable_stale = True


def _with_own_clock(
    state: routing_state.RoutingState,
    now_s: float,
    members: tuple[routing_state.ZoneMember, ...],
) -> tuple[routing_state.ZoneMember, ...]:
    """Updates the echo of this VM itself, which sends itself no heartbeats.

    The echo is set to this VM's clock once per heartbeat interval.
    """
    interval_s = state.settings.heartbeat_interval_s
    sent_s = state.assignment.sent_echo_s.get(state.vm_name, -interval_s)
    own_echo_s = now_s if now_s - sent_s >= interval_s else sent_s
    return tuple(
        routing_state.ZoneMember(state.vm_name, own_echo_s)
        if member.name == state.vm_name
        else member
        for member in members
    )
