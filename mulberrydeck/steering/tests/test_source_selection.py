"""Which VM leads a group, and which source the other VMs get updates from."""

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import source_selection
from mulberrydeck.steering import sync_plans
from mulberrydeck.steering.tests import samples

NAMES = ("coast-a-1", "coast-a-2", "coast-a-3")
TICK_S = 0.1
REACHES_STORE = messages.SteeringHeartbeat(
    "process", True, False, reaches_store=True
)
LOST_STORE = messages.SteeringHeartbeat(
    "process", True, False, reaches_store=False
)


def make_vm(name, alive=NAMES, heartbeat=REACHES_STORE):
    vm = samples.Vm(name=name, mesh_vms=2)
    records = tuple(samples.make_record(vm_name) for vm_name in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(
        vm,
        *(vm_name for vm_name in alive if vm_name != name),
        heartbeat=heartbeat,
    )
    return vm


def receive_heartbeats(vm, *names, heartbeat=REACHES_STORE):
    for name in names:
        vm.reduce(events.PeerReceived(vm.now_s, name, heartbeat))


def tick(vm):
    vm.now_s += TICK_S
    vm.reduce(events.Ticked(vm.now_s))
    return vm.state.store_source.plan


def report_check(vm, source, age_s=0.1):
    """Reports that the source of a VM reached the store `age_s` ago."""
    checked_s = vm.now_s - age_s
    vm.reduce(events.SourceChecked(vm.now_s, source, checked_s))


def rely_on(vm, source):
    """Reports fresh checks until the VM relies on its source alone."""
    tick(vm)
    ends_s = (
        vm.now_s
        + source_selection.DIRECT_PERIOD_S
        + source_selection.MAX_STALENESS_S
    )
    while vm.now_s < ends_s:
        receive_heartbeats(
            vm, *(n for n in NAMES if n != vm.state.settings.name)
        )
        report_check(vm, source)
        tick(vm)
    assert vm.state.store_source.plan == follows(source)


def follows(source):
    return sync_plans.SyncPlan(source, direct=False, shared=True)


LEADS = sync_plans.SyncPlan(shared=True, leads=True)


def lose_store(vm, kind="servers"):
    vm.reduce(events.StoreLost(vm.now_s, kind, "cut"))


def test_first_vm_of_a_zone_leads():
    assert tick(make_vm("coast-a-1")) == LEADS
    for name in NAMES[1:]:
        vm = make_vm(name)
        rely_on(vm, "coast-a-1")
        assert tick(vm) == follows("coast-a-1")


def test_starting_vm_relies_on_first_fresh_response():
    vm = make_vm("coast-a-2")
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    report_check(vm, "coast-a-1", age_s=source_selection.MAX_STALENESS_S)
    assert tick(vm).direct
    report_check(vm, "coast-a-1")
    assert tick(vm) == follows("coast-a-1")


def test_vm_watches_store_for_direct_period_after_source_was_stale():
    vm = make_vm("coast-a-2")
    rely_on(vm, "coast-a-1")
    vm.now_s += source_selection.MAX_STALENESS_S
    assert tick(vm).direct
    started_s = vm.now_s
    while vm.now_s + TICK_S < started_s + source_selection.DIRECT_PERIOD_S:
        report_check(vm, "coast-a-1")
        receive_heartbeats(vm, "coast-a-1", "coast-a-3")
        assert tick(vm).direct
    report_check(vm, "coast-a-1")
    assert tick(vm) == follows("coast-a-1")


@pytest.mark.parametrize("responses", ["none", "old"])
def test_vm_watches_store_once_source_is_too_stale(responses):
    vm = make_vm("coast-a-2")
    rely_on(vm, "coast-a-1")
    checked_s = vm.state.store_source.source_checked_s
    while vm.now_s + TICK_S < checked_s + source_selection.MAX_STALENESS_S:
        assert not tick(vm).direct
        if responses == "old":
            report_check(vm, "coast-a-1", age_s=vm.now_s - checked_s)
    vm.now_s += TICK_S
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )


def test_vm_watches_store_at_once_after_a_stall():
    vm = make_vm("coast-a-2")
    rely_on(vm, "coast-a-1")
    vm.now_s += 3.0
    assert tick(vm).direct


def test_leader_change_does_not_start_watches_of_followers():
    vm = make_vm("coast-a-3")
    receive_heartbeats(vm, "coast-a-1", heartbeat=LOST_STORE)
    tick(vm)
    for _ in range(40):
        report_check(vm, "coast-a-2")
        receive_heartbeats(vm, "coast-a-2")
        tick(vm)
    assert vm.state.store_source.plan == follows("coast-a-2")
    receive_heartbeats(vm, "coast-a-1")
    assert tick(vm) == follows("coast-a-1")
    report_check(vm, "coast-a-1")
    assert tick(vm) == follows("coast-a-1")


def test_each_group_has_its_own_leader():
    names = [f"coast-a-{number:02}" for number in range(40)]
    records = tuple(samples.make_record(vm_name) for vm_name in names)
    plans = first_plans(names, records)
    leaders = [
        names[0],
        names[source_selection.VMS_PER_GROUP],
        names[2 * source_selection.VMS_PER_GROUP],
    ]
    assert [name for name in names if plans[name].leads] == leaders
    assert plans[names[-1]].source == leaders[-1]
    # The first of them follows the store for the others.
    assert [plans[name].source for name in leaders] == ["", names[0], names[0]]


def first_plans(names, records):
    """Returns the plan of each VM after heartbeats from all others."""
    plans = {}
    for own in names:
        zone = own.rpartition("-")[0]
        region = samples.REGION_BY_ZONE[zone]
        vm = samples.Vm(name=own, zone=zone, region=region, mesh_vms=2)
        vm.reduce(events.VmsListed(vm.now_s, records, 4))
        receive_heartbeats(
            vm, *(vm_name for vm_name in names if vm_name != own)
        )
        plans[own] = tick(vm)
    return plans


def test_one_vm_of_a_region_follows_the_store_for_all_its_zones():
    names = [
        f"{zone}-{number}"
        for zone in samples.REGION_BY_ZONE
        for number in (1, 2, 3)
    ]
    records = tuple(
        samples.make_record(name, name.rpartition("-")[0]) for name in names
    )
    plans = first_plans(names, records)
    assert plans["coast-a-1"] == LEADS
    assert plans["lake-a-1"] == LEADS
    assert plans["coast-b-1"].source == "coast-a-1"
    assert plans["coast-b-1"].leads
    assert plans["coast-b-2"].source == "coast-b-1"
    for name, plan in plans.items():
        assert plan.source != name


def test_a_zone_follows_the_store_itself_once_its_regions_leader_is_stale():
    vm = samples.Vm(name="coast-b-1", zone="coast-b", mesh_vms=2)
    records = (
        samples.make_record("coast-a-1"),
        samples.make_record("coast-b-1", "coast-b"),
        samples.make_record("coast-b-2", "coast-b"),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, "coast-a-1", "coast-b-2")
    tick(vm)
    report_check(vm, "coast-a-1")
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=False, shared=True, leads=True
    )
    vm.now_s += source_selection.MAX_LEADER_STALENESS_S
    plan = tick(vm)
    assert plan.direct
    assert plan.leads
    # Its followers still rely on it then.
    follower = samples.Vm(name="coast-b-2", zone="coast-b", mesh_vms=2)
    follower.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(follower, "coast-a-1", "coast-b-1")
    tick(follower)
    report_check(follower, "coast-b-1")
    follower.now_s += source_selection.MAX_LEADER_STALENESS_S
    assert tick(follower) == follows("coast-b-1")


def test_all_vms_of_a_small_fleet_watch_store():
    vm = samples.Vm(name="coast-a-2")
    records = tuple(samples.make_record(vm_name) for vm_name in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, "coast-a-1")
    assert tick(vm) == sync_plans.SyncPlan()


def make_small_fleet(own="coast-a-2"):
    vm = samples.Vm(name=own)
    records = tuple(samples.make_record(vm_name) for vm_name in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, *(vm_name for vm_name in NAMES if vm_name != own))
    return vm


def test_vm_of_small_fleet_that_loses_store_gets_updates_from_another():
    vm = make_small_fleet()
    lose_store(vm, "check")
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    receive_heartbeats(vm, "coast-a-1", heartbeat=LOST_STORE)
    assert tick(vm).source == "coast-a-3"
    vm.reduce(events.StoreRegained(vm.now_s, "check", 0.1))
    assert tick(vm) == sync_plans.SyncPlan()


def test_vm_of_small_fleet_leads_while_it_receives_requests():
    vm = make_small_fleet()
    vm.reduce(events.UpdatesRequested(vm.now_s))
    assert tick(vm) == LEADS
    vm.now_s += source_selection.LEAD_AFTER_REQUEST_S
    assert tick(vm) == sync_plans.SyncPlan()


@pytest.mark.parametrize("mesh_vms", [2, 16])
def test_vm_that_loses_store_uses_nearest_vm_that_reaches_it(mesh_vms):
    zones = {"coast-a-2": "coast-a", "coast-b-1": "coast-b"} | {
        "lake-a-1": "lake-a"
    }
    vm = samples.Vm(mesh_vms=mesh_vms)
    records = tuple(
        samples.make_record(name, zone)
        for name, zone in {"coast-a-1": "coast-a", **zones}.items()
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, *zones)
    lose_store(vm)
    for name in zones:
        assert tick(vm).source == name
        receive_heartbeats(vm, name, heartbeat=LOST_STORE)
    assert tick(vm) == sync_plans.SyncPlan("", direct=True, shared=True)


def test_vm_that_receives_no_heartbeats_leads():
    assert tick(make_vm("coast-a-3", alive=())) == LEADS


def test_vm_of_another_zone_is_no_source():
    vm = samples.Vm(name="lake-a-1", zone="lake-a", region="lake", mesh_vms=2)
    records = (
        *(samples.make_record(vm_name) for vm_name in NAMES),
        samples.make_record("lake-a-1", "lake-a"),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, *NAMES)
    assert tick(vm) == LEADS


@pytest.mark.parametrize("failure", ["silent", "leaving", "lost"])
def test_next_vm_takes_over(failure):
    second, third = make_vm("coast-a-2"), make_vm("coast-a-3")
    for vm in (second, third):
        assert tick(vm).source == "coast-a-1"
        match failure:
            case "silent":
                vm.now_s += 4.0
                receive_heartbeats(
                    vm, *(n for n in NAMES[1:] if n != vm.state.settings.name)
                )
            case "leaving":
                heartbeat = messages.SteeringHeartbeat(
                    "process", True, True, reaches_store=True
                )
                receive_heartbeats(vm, "coast-a-1", heartbeat=heartbeat)
            case "lost":
                receive_heartbeats(vm, "coast-a-1", heartbeat=LOST_STORE)
    assert tick(second) == LEADS
    assert tick(third).source == "coast-a-2"


def test_failed_source_is_used_again_after_exclusion():
    vm = make_vm("coast-a-3")
    rely_on(vm, "coast-a-1")
    vm.reduce(events.SourceFailed(vm.now_s, "coast-a-1", declined=False))
    # No other VM leads while heartbeats of the first VM arrive.
    assert tick(vm) == sync_plans.SyncPlan(direct=True, shared=True)
    vm.now_s += source_selection.EXCLUSION_S
    receive_heartbeats(vm, *NAMES[:2])
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    rely_on(vm, "coast-a-1")


def test_vm_leads_for_a_while_after_a_request():
    vm = make_vm("coast-a-3")
    rely_on(vm, "coast-a-1")
    produced = vm.reduce(events.UpdatesRequested(vm.now_s))
    assert any(isinstance(effect, effects.FollowStore) for effect in produced)
    assert tick(vm) == LEADS
    vm.now_s += source_selection.LEAD_AFTER_REQUEST_S
    receive_heartbeats(vm, *NAMES[:2])
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )


def test_vm_without_store_does_not_lead_after_a_request():
    vm = make_vm("coast-a-3")
    lose_store(vm)
    vm.reduce(events.UpdatesRequested(vm.now_s))
    assert not tick(vm).leads


def test_vm_that_declined_is_used_again_soon():
    vm = make_vm("coast-a-3")
    vm.reduce(events.SourceFailed(vm.now_s, "coast-a-1", declined=True))
    assert tick(vm).source == ""
    vm.now_s += source_selection.DECLINED_EXCLUSION_S
    assert tick(vm).source == "coast-a-1"


def test_vm_that_loses_store_retries_and_gets_updates_from_another():
    vm = make_vm("coast-a-1")
    lose_store(vm)
    assert tick(vm) == sync_plans.SyncPlan(
        "coast-a-2", direct=True, shared=True
    )
    vm.reduce(events.StoreRegained(vm.now_s, "servers", 0.1))
    assert tick(vm) == LEADS


def test_vm_that_loses_store_tries_other_groups_of_its_zone():
    names = [f"coast-a-{number:02}" for number in range(20)]
    records = tuple(samples.make_record(vm_name) for vm_name in names)
    vm = samples.Vm(name=names[-1], mesh_vms=2)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    receive_heartbeats(vm, names[3])
    receive_heartbeats(
        vm, *names[source_selection.VMS_PER_GROUP : -1], heartbeat=LOST_STORE
    )
    lose_store(vm)
    assert tick(vm).source == names[3]


def test_no_source_is_used_if_no_vm_reaches_store():
    for name in NAMES:
        vm = make_vm(name, heartbeat=LOST_STORE)
        lose_store(vm)
        assert tick(vm) == sync_plans.SyncPlan("", direct=True, shared=True)


def test_store_loss_changes_plan_and_is_announced_in_heartbeats():
    vm = make_vm("coast-a-1")
    tick(vm)
    lose_store(vm)
    produced = vm.reduce(events.Ticked(vm.now_s))
    assert any(isinstance(effect, effects.FollowStore) for effect in produced)
    heartbeats = [
        effect.message
        for effect in produced
        if isinstance(
            getattr(effect, "message", None), messages.SteeringHeartbeat
        )
    ]
    assert heartbeats
    assert not any(heartbeat.reaches_store for heartbeat in heartbeats)
