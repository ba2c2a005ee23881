"""The zone holder's plan of which VM owns which target."""

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

    Grants go out for each new heartbeat of a VM, and at once for a change. May
    be called as often as wanted. After a change of epoch, or a pause in which
    another VM may have taken over, it waits until all earlier grants have
    expired.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        epoch: Epoch in which this VM is the zone holder.
        members: Live VMs of the zone that are not leaving, this one included.
    """
    if epoch < state.grants.epoch or state.compiled is None:
        return []
    _begin(state, now_s, epoch)
    _plan(state, members)
    return ownership.grants_due(
        state.assignment,
        now_s,
        _with_own_clock(state, now_s, members),
        state.settings.target_lease_s,
        state.settings.lease_margin_s,
    )


def _begin(state: routing_state.RoutingState, now_s: float, epoch: int) -> None:
    """Starts an epoch, also again after a pause.

    Another VM may have taken over during a pause, so this one waits until it
    has surely heard of that. Nobody granted anything before the first epoch.
    """
    settings = state.settings
    assignment = state.assignment
    pause_s = now_s - assignment.last_assign_s
    assignment.last_assign_s = now_s
    lease_s = settings.target_lease_s + settings.lease_margin_s
    if epoch != assignment.epoch:
        wait_s = lease_s if epoch > FIRST_EPOCH else 0.0
        ownership.begin_epoch(assignment, now_s, epoch, wait_s)
        _claim_own(state, now_s, epoch)
    elif pause_s > settings.zone_takeover_s - settings.heartbeat_interval_s:
        ownership.begin_epoch(assignment, now_s, epoch, lease_s)


def _claim_own(
    state: routing_state.RoutingState, now_s: float, epoch: int
) -> None:
    if epoch <= state.grants.epoch:
        return
    owned = ownership.adopt_epoch(state.grants, now_s, epoch)
    settings = state.settings
    lease_s = settings.target_lease_s + settings.lease_margin_s
    ownership.accept_claim(
        state.assignment,
        state.vm_name,
        messages.TargetClaim(epoch, owned),
        now_s + lease_s,
    )


def _plan(
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
    """Replaces this VM's own echo by its clock, in heartbeat steps."""
    interval_s = state.settings.heartbeat_interval_s
    sent_s = state.assignment.sent_echo_s.get(state.vm_name, -interval_s)
    own_s = now_s if now_s - sent_s >= interval_s else sent_s
    return tuple(
        routing_state.ZoneMember(state.vm_name, own_s)
        if member.name == state.vm_name
        else member
        for member in members
    )
