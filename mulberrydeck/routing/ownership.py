"""Exclusive ownership of targets by time-limited grants.

The zone holder grants each target to one VM. It renews the grant on every
heartbeat of that VM, and grants the target to another VM only after the earlier
grant has certainly expired or the owner has released the target.
"""

import math

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state


def owns(grants: routing_state.Grants, target: str, now_s: float) -> bool:
    """Returns whether this VM may send new work to a target.

    Args:
        grants: Grants that this VM holds.
        target: Name of the target.
        now_s: Monotonic time, in seconds.
    """
    return grants.expires_s.get(target, -math.inf) > now_s


def owned_targets(
    state: routing_state.RoutingState, now_s: float, service: str
) -> list[target_state.TargetState]:
    """Returns the targets of a service that this VM owns at this time.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    return [
        state.targets[name]
        for name in state.granted_by_service.get(service, ())
        if owns(state.grants, name, now_s)
    ]


def index_grants(state: routing_state.RoutingState) -> None:
    """Rebuilds the index of granted targets by service.

    Must be called after each change of the grants or of the services' targets.
    """
    granted: dict[str, tuple[str, ...]] = {}
    for service, names in state.target_names_by_service.items():
        held = [name for name in names if name in state.grants.expires_s]
        if held:
            granted[service] = tuple(held)
    state.granted_by_service = granted


def begin_epoch(
    assignment: routing_state.Assignment,
    now_s: float,
    epoch: int,
    wait_s: float,
) -> None:
    """Clears the holder's records; delays new grants until old ones expire.

    Args:
        assignment: The holder's records.
        now_s: Monotonic time, in seconds.
        epoch: Epoch in which this VM is the holder.
        wait_s: Longest time for which an earlier grant may still be valid, in
            seconds.
    """
    assignment.epoch = epoch
    assignment.earliest_new_grant_s = now_s + wait_s
    assignment.outstanding_grants.clear()
    assignment.sent_echo_s.clear()
    assignment.sent_targets.clear()
    assignment.plan_stale = True
    assignment.grantable_stale = True


def grants_due(
    assignment: routing_state.Assignment,
    now_s: float,
    members: tuple[routing_state.ZoneMember, ...],
    duration_s: float,
    margin_s: float,
) -> list[tuple[str, messages.TargetGrant]]:
    """Returns the grants to send now and records them as outstanding.

    A VM gets a grant when a new heartbeat of it has arrived or its targets
    have changed. A grant lists all targets of the VM, so a target that is
    missing from it is withdrawn.

    Args:
        assignment: The holder's records, with an up-to-date plan.
        now_s: Monotonic time, in seconds.
        members: Live VMs of the zone.
        duration_s: Validity of a grant, in seconds.
        margin_s: Extra time before a target is granted to another VM, in
            seconds.

    Returns:
        Pairs of VM name and grant.
    """
    if assignment.grantable_stale:
        _update_grantable(assignment, now_s)
    due = []
    for member in members:
        names = assignment.grantable.get(member.name, ())
        if not _is_due(assignment, member, names):
            continue
        assignment.sequence += 1
        assignment.sent_echo_s[member.name] = member.echo_s
        assignment.sent_targets[member.name] = names
        expires_s = now_s + duration_s + margin_s
        for name in names:
            assignment.outstanding_grants[name] = (
                routing_state.OutstandingGrant(
                    member.name, expires_s, assignment.sequence
                )
            )
        grant = messages.TargetGrant(
            epoch=assignment.epoch,
            sequence=assignment.sequence,
            echo_s=member.echo_s,
            duration_s=duration_s,
            targets=names,
        )
        due.append((member.name, grant))
    return due


def accept_grant(
    grants: routing_state.Grants,
    now_s: float,
    started_s: float,
    sender: str,
    grant: messages.TargetGrant,
) -> tuple[str, ...]:
    """Applies a grant and returns the targets that this VM gained.

    Grants of an earlier epoch, duplicates and grants that arrive out of order
    are dropped, and so is the response to a heartbeat of an earlier process of
    this VM.

    Args:
        grants: Grants that this VM holds.
        now_s: Monotonic time, in seconds.
        started_s: When this process started, in seconds.
        sender: Name of the holder.
        grant: The grant.
    """
    if (grant.epoch, grant.sequence) <= (grants.epoch, grants.sequence):
        return ()
    if not started_s <= grant.echo_s <= now_s:
        return ()
    grants.epoch = grant.epoch
    grants.sequence = grant.sequence
    grants.holder = sender
    grants.released.clear()
    gained = tuple(
        name for name in grant.targets if not owns(grants, name, now_s)
    )
    renewed = dict.fromkeys(grant.targets, grant.echo_s + grant.duration_s)
    for name, expires_s in grants.expires_s.items():
        if name not in renewed and expires_s > now_s:
            grants.withdrawn[name] = expires_s
    for name in renewed:
        grants.withdrawn.pop(name, None)
    grants.expires_s = renewed
    if grants.stopping:
        withdraw_all(grants)
        return ()
    return gained


def adopt_epoch(
    grants: routing_state.Grants, now_s: float, epoch: int
) -> tuple[str, ...]:
    """Starts to reject grants of earlier epochs; returns the targets owned.

    Args:
        grants: Grants that this VM holds.
        now_s: Monotonic time, in seconds.
        epoch: Epoch of the new holder.
    """
    grants.epoch = epoch
    grants.sequence = 0
    return tuple(name for name in grants.expires_s if owns(grants, name, now_s))


def accept_claim(
    assignment: routing_state.Assignment,
    sender: str,
    claim: messages.TargetClaim,
    expires_s: float,
) -> None:
    """Lets an owner keep its targets across a change of holder.

    The sender's valid grants are exclusive, and the sender now accepts grants
    of this holder alone, so the grants can be renewed without waiting for them
    to expire.

    Args:
        assignment: The holder's records.
        sender: Name of the owner.
        claim: The message.
        expires_s: When the claimed grants have certainly expired, in seconds.
    """
    if claim.epoch != assignment.epoch:
        return
    for name in claim.targets:
        if name in assignment.outstanding_grants:
            continue
        assignment.outstanding_grants[name] = routing_state.OutstandingGrant(
            sender, expires_s, 0
        )
        assignment.owner_by_target[name] = sender
        assignment.grantable_stale = True


def accept_release(
    assignment: routing_state.Assignment,
    sender: str,
    release: messages.TargetRelease,
) -> None:
    """Frees targets that their owner has released.

    A release that precedes the owner's last grant of the target is ignored,
    since the owner may hold the target again.

    Args:
        assignment: The holder's records.
        sender: Name of the owner.
        release: The message.
    """
    if release.epoch != assignment.epoch:
        return
    for name in release.targets:
        outstanding = assignment.outstanding_grants.get(name)
        if outstanding is None or outstanding.owner != sender:
            continue
        if release.sequence >= outstanding.sequence:
            del assignment.outstanding_grants[name]
            assignment.grantable_stale = True


def release_idle(
    grants: routing_state.Grants, now_s: float, busy: frozenset[str]
) -> list[quota_effects.SendMessage]:
    """Returns the message that releases withdrawn targets not in use.

    The release is sent again after each grant until the withdrawn grants have
    expired, since messages may be lost.

    Args:
        grants: Grants that this VM holds.
        now_s: Monotonic time, in seconds.
        busy: Targets with requests of this VM in flight.
    """
    for name, expires_s in list(grants.withdrawn.items()):
        if expires_s <= now_s:
            del grants.withdrawn[name]
    idle = tuple(
        name
        for name in grants.withdrawn
        if name not in busy and name not in grants.released
    )
    if not idle:
        return []
    grants.released.update(idle)
    release = messages.TargetRelease(grants.epoch, grants.sequence, idle)
    return [quota_effects.SendMessage(grants.holder, release)]


def withdraw_all(grants: routing_state.Grants) -> None:
    """Withdraws all targets, now and in later grants, for a planned stop."""
    grants.stopping = True
    grants.withdrawn.update(grants.expires_s)
    grants.expires_s.clear()


def _update_grantable(
    assignment: routing_state.Assignment, now_s: float
) -> None:
    """Computes the targets that can be granted now.

    They are computed again at the next call while a target must wait.
    """
    grantable: dict[str, list[str]] = {}
    must_wait = False
    for target, owner in assignment.owner_by_target.items():
        if _may_grant(assignment, now_s, target, owner):
            grantable.setdefault(owner, []).append(target)
        else:
            must_wait = True
    assignment.grantable = {
        owner: tuple(names) for owner, names in grantable.items()
    }
    assignment.grantable_stale = must_wait


def _may_grant(
    assignment: routing_state.Assignment, now_s: float, target: str, owner: str
) -> bool:
    outstanding = assignment.outstanding_grants.get(target)
    if outstanding is not None and outstanding.owner == owner:
        return True
    if now_s < assignment.earliest_new_grant_s:
        return False
    return outstanding is None or outstanding.expires_s <= now_s


def _is_due(
    assignment: routing_state.Assignment,
    member: routing_state.ZoneMember,
    names: tuple[str, ...],
) -> bool:
    if assignment.sent_targets.get(member.name, ()) != names:
        return True
    if not names:
        return False
    return assignment.sent_echo_s.get(member.name) != member.echo_s
