"""Which VM follows the store for others, and which ones follow it themselves.

Load answered: large fleets, in which a watch on each VM turns every change of
a target into as many priced calls as there are VMs. One VM of a group of a zone
leads: it follows the store, and the others learn from it. They agree on it
without a message of its own, by the order of names and what heartbeats say.

Each VM bounds the age of what it knows by its own clock. Once that exceeds
`MAX_STALENESS_S`, for whatever reason, it follows the store itself until what
it learns from a leader has been fresh for a while. VMs that follow the store
check that they still reach it, and turn to others when they do not: the store
may turn some VMs away and serve the rest.
"""

import math

import attrs

from mulberrydeck.steering import members
from mulberrydeck.steering import sync_plans

# A leader checks the store every `store_sync.CHECK_INTERVAL_S` and then answers
# its followers, so that they are up to about half a second behind. The rest of
# the shortest bounds, 2 s, is left to read the store and to apply the news.
MAX_STALENESS_S = 1.2
# After it relied on answers that became too old, a VM follows the store itself
# for this long: starting watches more often costs more than keeping them.
DIRECT_PERIOD_S = 2.0
# A VM that did not answer in time is passed over for this long, in which it
# either answers again or is found dead by its missing heartbeats.
EXCLUSION_S = 3.0
# One that answered that it does not lead may have read the store by then.
DECLINED_EXCLUSION_S = 0.5
# A VM leads while others ask it and for this long after: those that do not
# reach the store may know sooner than it does that no other VM is left.
LEAD_AFTER_REQUEST_S = 3.0
# Followers that a leader answers several times a second, itself included.
VMS_PER_GROUP = 16


@attrs.define
class SourceSelection:
    """What decides the plan.

    Attributes:
        plan: The plan in force.
        excluded_until_s: Until when a VM is not followed, in seconds, by name.
        source_checked_s: Time up to which the source is known to have told
            all, in seconds.
        store_checked_s: When the last check was sent that reached the store
            itself, in seconds.
        direct_until_s: Until when this VM follows the store itself, in
            seconds.
        requested_s: When another VM last asked this one, in seconds.
    """

    plan: sync_plans.SyncPlan = sync_plans.SyncPlan()
    excluded_until_s: dict[str, float] = attrs.field(factory=dict)
    source_checked_s: float = -math.inf
    store_checked_s: float = -math.inf
    direct_until_s: float = -math.inf
    requested_s: float = -math.inf


def choose_plan(
    selection: SourceSelection, fleet: members.Fleet, now_s: float, lost: bool
) -> sync_plans.SyncPlan:
    """Returns the plan that is due now.

    The first VM of a group that reaches the store leads it, and so does a VM
    that is asked. In a small fleet, each VM follows the store. In any fleet, a
    VM that has lost the store goes on trying, and learns from any other VM
    meanwhile.

    Args:
        selection: State of the decision, changed in place.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        lost: Whether this VM follows the store and cannot reach it.
    """
    own = fleet.settings.name
    if own not in fleet.names:
        return sync_plans.SyncPlan()
    is_stale = now_s > selection.source_checked_s + MAX_STALENESS_S
    if is_stale and not selection.plan.direct:
        selection.direct_until_s = now_s + DIRECT_PERIOD_S
    if lost:
        return _plan_without_store(selection, fleet, now_s)
    if now_s < selection.requested_s + LEAD_AFTER_REQUEST_S:
        return sync_plans.SyncPlan(shared=True, leads=True)
    if fleet.is_mesh:
        return sync_plans.SyncPlan()
    zone = _zone_vms(fleet)
    first = zone.index(own) // VMS_PER_GROUP * VMS_PER_GROUP
    for leader in zone[first : zone.index(own)]:
        if _may_lead(fleet, now_s, leader):
            is_eligible = _is_eligible(selection, now_s, leader)
            prefers_direct = is_stale or now_s < selection.direct_until_s
            direct = prefers_direct or not is_eligible
            return sync_plans.SyncPlan(
                leader if is_eligible else "", direct, shared=True
            )
    return sync_plans.SyncPlan(shared=True, leads=True)


def _plan_without_store(
    selection: SourceSelection, fleet: members.Fleet, now_s: float
) -> sync_plans.SyncPlan:
    """Returns the plan of a VM that has lost the store.

    VMs of a place often lose it together; those of other zones are asked last.
    """
    others = (
        name
        for name in sorted(
            fleet.peers, key=lambda name: _proximity(fleet, name)
        )
        if _is_eligible(selection, now_s, name)
        and _may_lead(fleet, now_s, name)
    )
    return sync_plans.SyncPlan(next(others, ""), shared=True)


def _proximity(fleet: members.Fleet, name: str) -> tuple[bool, bool, str, str]:
    """Returns by what other VMs are sorted, near ones first."""
    own = fleet.settings
    record = fleet.peers[name].record
    return (
        record.zone != own.zone,
        record.region != own.region,
        record.zone,
        name,
    )


def source_checked(
    selection: SourceSelection, name: str, checked_s: float
) -> None:
    """Notes up to when a source has told all.

    Args:
        selection: State of the decision, changed in place.
        name: Name of the source.
        checked_s: That time, in seconds.
    """
    if name == selection.plan.source:
        selection.source_checked_s = max(selection.source_checked_s, checked_s)


def staleness_s(selection: SourceSelection, now_s: float) -> float:
    """Returns for how long changes in the store may be unknown here."""
    return now_s - max(selection.source_checked_s, selection.store_checked_s)


def source_failed(
    selection: SourceSelection, now_s: float, name: str, declined: bool
) -> None:
    """Notes that a VM does not answer, or answers that it does not lead."""
    pause_s = DECLINED_EXCLUSION_S if declined else EXCLUSION_S
    selection.excluded_until_s[name] = now_s + pause_s


def _zone_vms(fleet: members.Fleet) -> list[str]:
    """Returns the names of the VMs of the own zone, sorted."""
    own = fleet.settings
    return [
        name
        for name in fleet.names
        if name == own.name or fleet.peers[name].record.zone == own.zone
    ]


def _is_eligible(selection: SourceSelection, now_s: float, name: str) -> bool:
    """Returns whether a VM may be asked, since it did not fail lately."""
    return now_s >= selection.excluded_until_s.get(name, -math.inf)


def _may_lead(fleet: members.Fleet, now_s: float, name: str) -> bool:
    peer = fleet.peers[name]
    is_working = fleet.is_alive(peer, now_s) and not peer.leaving
    return is_working and peer.reaches_store
