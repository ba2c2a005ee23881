"""Selects the source of a VM's updates: the store itself or another VM.

In large fleets, a watch on each VM would turn every change of a target into as
many priced calls as there are VMs. Therefore the VMs of a zone form groups, and
one VM of each group leads: it watches the store and sends updates to the
others. Leaders of a region in turn get their updates from the first of them, so
that calls to the store grow with regions rather than with VMs. VMs agree on the
leader without additional messages, by the order of names and the state that
heartbeats carry.

Each VM bounds the staleness of its data by its own clock. Once staleness
exceeds `MAX_STALENESS_S`, for whatever reason, the VM watches the store itself
for `DIRECT_PERIOD_S` or longer, until the updates of a leader are fresh again.
VMs that watch the store check that they still reach it, and turn to other VMs
when they do not, since the store may reject some VMs and serve the rest.
"""

import math

import attrs

from mulberrydeck.steering import members
from mulberrydeck.steering import sync_plans

# A leader checks the store every `store_sync.CHECK_INTERVAL_S` and then
# responds to its followers, so that they lag by up to about 0.5 s. The rest of
# the shortest propagation bounds, 2 s, remains for reading the store and
# applying the update.
MAX_STALENESS_S = 1.2
# A VM that leads others reads the store itself before they have to.
MAX_LEADER_STALENESS_S = 0.8
# After a source became too stale, a VM watches the store itself for at least
# this long, since frequent restarts of watches cost more than keeping them.
DIRECT_PERIOD_S = 2.0
# A VM that did not respond in time is not used as a source for this long; by
# then, it either responds again or is considered dead for lack of heartbeats.
EXCLUSION_S = 3.0
# Shorter after a response that the VM does not lead: it may have read the store
# by then.
DECLINED_EXCLUSION_S = 0.5
# A VM leads while others send requests to it and for this long after: VMs that
# do not reach the store may know earlier than this one that no other VM is
# left to lead.
LEAD_AFTER_REQUEST_S = 3.0
# Includes the leader, which responds to each of the others several times a
# second.
VMS_PER_GROUP = 16


@attrs.define
class SourceSelection:
    """State that determines the plan.

    Attributes:
        plan: The plan in force.
        excluded_until_s: Until when a VM is not used as a source, in seconds,
            by name.
        source_checked_s: Time up to which the source has passed on all changes,
            in seconds.
        store_checked_s: When the last check that reached the store was sent by
            this VM, in seconds.
        direct_until_s: Until when this VM watches the store itself, in seconds.
        requested_s: When another VM last requested updates from this one, in
            seconds.
    """

    plan: sync_plans.SyncPlan = sync_plans.UNDECIDED
    excluded_until_s: dict[str, float] = attrs.field(factory=dict)
    source_checked_s: float = -math.inf
    store_checked_s: float = -math.inf
    direct_until_s: float = -math.inf
    requested_s: float = -math.inf


def choose_plan(
    selection: SourceSelection, fleet: members.Fleet, now_s: float, lost: bool
) -> sync_plans.SyncPlan:
    """Returns the plan that is due now.

    The first VM of a group that reaches the store leads the group, and follows
    the first VM of its region; a VM that received a request recently leads,
    too. In a small fleet, each VM watches
    the store itself. In any fleet, a VM that cannot reach the store keeps
    retrying, and meanwhile gets updates from any other VM.

    Args:
        selection: State of the selection, changed in place.
        fleet: Known VMs.
        now_s: Current time, in seconds.
        lost: Whether this VM watches the store and cannot reach it.
    """
    own = fleet.settings.name
    if own not in fleet.names:
        return sync_plans.UNDECIDED
    max_staleness_s = MAX_STALENESS_S
    if selection.plan.leads:
        max_staleness_s = MAX_LEADER_STALENESS_S
    is_stale = now_s > selection.source_checked_s + max_staleness_s
    if is_stale and not selection.plan.direct:
        selection.direct_until_s = now_s + DIRECT_PERIOD_S
    if lost:
        return _plan_without_store(selection, fleet, now_s)
    was_requested = now_s < selection.requested_s + LEAD_AFTER_REQUEST_S
    if fleet.is_mesh:
        return sync_plans.SyncPlan(shared=was_requested, leads=was_requested)
    leader = _group_leader(fleet, now_s)
    leads = leader == own
    if leads:
        leader = _region_leader(fleet, now_s)
    elif was_requested:
        return sync_plans.SyncPlan(shared=True, leads=True)
    if leader == own:
        return sync_plans.SyncPlan(shared=True, leads=True)
    is_eligible = _is_eligible(selection, now_s, leader)
    prefers_direct = is_stale or now_s < selection.direct_until_s
    return sync_plans.SyncPlan(
        leader if is_eligible else "",
        prefers_direct or not is_eligible,
        shared=True,
        leads=leads,
    )


def _group_leader(fleet: members.Fleet, now_s: float) -> str:
    """Returns the leader of this VM's group, which may be this VM."""
    own = fleet.settings.name
    index = fleet.zone_names.index(own)
    earlier = fleet.zone_names[index // VMS_PER_GROUP * VMS_PER_GROUP : index]
    return _first_that_may_lead(fleet, now_s, earlier) or own


def _region_leader(fleet: members.Fleet, now_s: float) -> str:
    """Returns the leader of this VM's region, which may be this VM.

    It also leads a group, as the first VM of its zone.
    """
    own = fleet.settings.name
    earlier = fleet.region_names[: fleet.region_names.index(own)]
    return _first_that_may_lead(fleet, now_s, earlier) or own


def _first_that_may_lead(
    fleet: members.Fleet, now_s: float, names: tuple[str, ...]
) -> str:
    """Returns the first of some VMs that may lead, or an empty string."""
    leaders = (name for name in names if _may_lead(fleet, now_s, name))
    return next(leaders, "")


def _plan_without_store(
    selection: SourceSelection, fleet: members.Fleet, now_s: float
) -> sync_plans.SyncPlan:
    """Returns the plan of a VM that cannot reach the store.

    VMs of a zone often lose the store together, so that VMs of other zones are
    tried, too, but last.
    """
    candidates = (
        name
        for name in sorted(
            fleet.peers, key=lambda name: _proximity(fleet, name)
        )
        if _is_eligible(selection, now_s, name)
        and _may_lead(fleet, now_s, name)
    )
    return sync_plans.SyncPlan(next(candidates, ""), shared=True)


def _proximity(fleet: members.Fleet, name: str) -> tuple[bool, bool, str, str]:
    """Returns the sort key of other VMs, nearest first."""
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
    """Records that a source has passed on all changes up to a time.

    Args:
        selection: State of the selection, changed in place.
        name: Name of the source.
        checked_s: That time, in seconds.
    """
    if name == selection.plan.source:
        selection.source_checked_s = max(selection.source_checked_s, checked_s)


def staleness_s(selection: SourceSelection, now_s: float) -> float:
    """Returns for how long this VM may have missed changes, in seconds."""
    return now_s - max(selection.source_checked_s, selection.store_checked_s)


def source_failed(
    selection: SourceSelection, now_s: float, name: str, declined: bool
) -> None:
    """Records that a VM timed out, or responded that it does not lead."""
    pause_s = DECLINED_EXCLUSION_S if declined else EXCLUSION_S
    selection.excluded_until_s[name] = now_s + pause_s


def _is_eligible(selection: SourceSelection, now_s: float, name: str) -> bool:
    """Returns whether a VM may be a source, as it did not fail recently."""
    return now_s >= selection.excluded_until_s.get(name, -math.inf)


def _may_lead(fleet: members.Fleet, now_s: float, name: str) -> bool:
    peer = fleet.peers[name]
    is_working = fleet.is_alive(peer, now_s) and not peer.leaving
    return is_working and peer.reaches_store
