"""Exclusive ownership of targets by time-limited grants.

The zone holder promises each target to one VM. It renews the promise with
every heartbeat and gives the target to another VM only after the promise has
surely expired or the owner has released the target.
"""

import math

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state


def owns(grants: routing_state.Grants, target: str, now_s: float) -> bool:
    """Returns whether this VM may send new work to a target.

    Args:
        grants: The owner's grants.
        target: Name of the target.
        now_s: Monotonic time, in seconds.
    """
    return grants.expires_s.get(target, -math.inf) > now_s


def owned_targets(
    state: routing_state.RoutingState, now_s: float, service: str
) -> list[target_state.TargetState]:
    """Returns the targets of a service that this VM may send work to.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
    """
    return [
        state.targets[name]
        for name in state.granted.get(service, ())
        if owns(state.grants, name, now_s)
    ]


def index_grants(state: routing_state.RoutingState) -> None:
    """Groups the granted targets by service, after a change of either."""
    granted: dict[str, tuple[str, ...]] = {}
    for service, names in state.by_service.items():
        mine = [name for name in names if name in state.grants.expires_s]
        if mine:
            granted[service] = tuple(mine)
    state.granted = granted


def begin_epoch(
    assignment: routing_state.Assignment,
    now_s: float,
    epoch: int,
    wait_s: float,
) -> None:
    """Forgets all promises and waits until those of others have expired.

    Args:
        assignment: The holder's side.
        now_s: Monotonic time, in seconds.
        epoch: Epoch in which this VM is the holder.
        wait_s: Longest time for which an earlier grant may be valid.
    """
    assignment.epoch = epoch
    assignment.quiet_until_s = now_s + wait_s
    assignment.promises.clear()
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
    """Returns the grants to send now and records what they promise.

    A VM gets a grant when a new heartbeat of it has arrived or its targets
    have changed; it names all its targets, so that one that is missing is to
    be released.

    Args:
        assignment: The holder's side, with its plan up to date.
        now_s: Monotonic time, in seconds.
        members: Live VMs of the zone.
        duration_s: Validity of a grant.
        margin_s: Extra time before a target goes to another VM.

    Returns:
        Pairs of VM and grant.
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
        until_s = now_s + duration_s + margin_s
        for name in names:
            assignment.promises[name] = routing_state.Promise(
                member.name, until_s, assignment.sequence
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
    """Takes in a grant and returns the targets that this VM gained.

    Grants of an earlier epoch, repeated and overtaken ones are dropped, and so
    is one that answers a heartbeat of an earlier process of this VM.

    Args:
        grants: The owner's side.
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
    """Ignores grants of earlier epochs and returns the targets still owned.

    Args:
        grants: The owner's side.
        now_s: Monotonic time, in seconds.
        epoch: Epoch of a new holder.
    """
    grants.epoch = epoch
    grants.sequence = 0
    return tuple(name for name in grants.expires_s if owns(grants, name, now_s))


def accept_claim(
    assignment: routing_state.Assignment,
    sender: str,
    claim: messages.TargetClaim,
    until_s: float,
) -> None:
    """Lets an owner keep its targets across a change of holder.

    While the sender's grants were valid nobody else held one, and from now on
    it takes grants from this holder alone, so they can be renewed without
    waiting.

    Args:
        assignment: The holder's side.
        sender: Name of the owner.
        claim: The message.
        until_s: When the claimed grants have surely expired, in seconds.
    """
    if claim.epoch != assignment.epoch:
        return
    for name in claim.targets:
        if name in assignment.promises:
            continue
        assignment.promises[name] = routing_state.Promise(sender, until_s, 0)
        assignment.owner_by_target[name] = sender
        assignment.grantable_stale = True


def accept_release(
    assignment: routing_state.Assignment,
    sender: str,
    release: messages.TargetRelease,
) -> None:
    """Frees targets that their owner has released.

    A release that is older than the owner's last grant of the target is
    ignored, since the owner may have the target again.

    Args:
        assignment: The holder's side.
        sender: Name of the owner.
        release: The message.
    """
    if release.epoch != assignment.epoch:
        return
    for name in release.targets:
        promise = assignment.promises.get(name)
        if promise is None or promise.owner != sender:
            continue
        if release.sequence >= promise.sequence:
            del assignment.promises[name]
            assignment.grantable_stale = True


def release_idle(
    grants: routing_state.Grants, now_s: float, busy: frozenset[str]
) -> list[quota_effects.SendMessage]:
    """Returns the release of withdrawn targets that this VM no longer uses.

    It is sent again after each grant until the withdrawn grants have expired,
    as the message may be lost.

    Args:
        grants: The owner's side.
        now_s: Monotonic time, in seconds.
        busy: Targets that this VM still uses.
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
    """Stops the use of all targets for good, for a planned stop."""
    grants.stopping = True
    grants.withdrawn.update(grants.expires_s)
    grants.expires_s.clear()


def _update_grantable(
    assignment: routing_state.Assignment, now_s: float
) -> None:
    """Works out what can be granted; stays stale while a target must wait."""
    grantable: dict[str, list[str]] = {}
    waiting = False
    for target, owner in assignment.owner_by_target.items():
        if _may_grant(assignment, now_s, target, owner):
            grantable.setdefault(owner, []).append(target)
        else:
            waiting = True
    assignment.grantable = {
        owner: tuple(names) for owner, names in grantable.items()
    }
    assignment.grantable_stale = waiting


def _may_grant(
    assignment: routing_state.Assignment, now_s: float, target: str, owner: str
) -> bool:
    promise = assignment.promises.get(target)
    if promise is not None and promise.owner == owner:
        return True
    if now_s < assignment.quiet_until_s:
        return False
    return promise is None or promise.until_s <= now_s


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
