"""Which VM follows the store for others."""

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import source_selection
from mulberrydeck.steering import sync_plans
from mulberrydeck.steering.tests import samples

NAMES = ("coast-a-1", "coast-a-2", "coast-a-3")
TICK_S = 0.1
REACHES = messages.SteeringBeat("process", True, False, reaches_store=True)
LOST = messages.SteeringBeat("process", True, False, reaches_store=False)


def make_vm(name, heard=NAMES, beat=REACHES):
    vm = samples.Vm(name=name, mesh_vms=2)
    records = tuple(samples.make_record(one) for one in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, *(one for one in heard if one != name), beat=beat)
    return vm


def hear(vm, *names, beat=REACHES):
    for name in names:
        vm.reduce(events.PeerReceived(vm.now_s, name, beat))


def plan(vm):
    vm.now_s += TICK_S
    vm.reduce(events.Ticked(vm.now_s))
    return vm.state.feed.plan


def check(vm, source, age_s=0.1):
    """Lets a VM hear that its source reached the store a while ago."""
    checked_s = vm.now_s - age_s
    vm.reduce(events.SourceChecked(vm.now_s, source, checked_s))


def rely(vm, source):
    """Lets a VM hear its source for as long as it doubts."""
    plan(vm)
    ends_s = (
        vm.now_s
        + source_selection.DIRECT_PERIOD_S
        + source_selection.MAX_STALENESS_S
    )
    while vm.now_s < ends_s:
        hear(vm, *(n for n in NAMES if n != vm.state.settings.name))
        check(vm, source)
        plan(vm)
    assert vm.state.feed.plan == followed(source)


def followed(source):
    return sync_plans.SyncPlan(source, direct=False, shared=True)


LEADS = sync_plans.SyncPlan(shared=True, leads=True)


def lose(vm, kind="servers"):
    vm.reduce(events.StoreLost(vm.now_s, kind, "cut"))


def test_the_first_vm_of_a_zone_follows_the_store_for_the_others():
    assert plan(make_vm("coast-a-1")) == LEADS
    for name in NAMES[1:]:
        vm = make_vm(name)
        rely(vm, "coast-a-1")
        assert plan(vm) == followed("coast-a-1")


def test_a_vm_that_starts_relies_on_the_first_fresh_answer():
    vm = make_vm("coast-a-2")
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    check(vm, "coast-a-1", age_s=source_selection.MAX_STALENESS_S)
    assert plan(vm).direct
    check(vm, "coast-a-1")
    assert plan(vm) == followed("coast-a-1")


def test_a_vm_relies_on_its_source_only_a_while_after_it_failed():
    vm = make_vm("coast-a-2")
    rely(vm, "coast-a-1")
    vm.now_s += source_selection.MAX_STALENESS_S
    assert plan(vm).direct
    begun_s = vm.now_s
    while vm.now_s + TICK_S < begun_s + source_selection.DIRECT_PERIOD_S:
        check(vm, "coast-a-1")
        hear(vm, "coast-a-1", "coast-a-3")
        assert plan(vm).direct
    check(vm, "coast-a-1")
    assert plan(vm) == followed("coast-a-1")


@pytest.mark.parametrize("answers", ["none", "old"])
def test_a_vm_follows_the_store_before_what_it_knows_is_too_old(answers):
    vm = make_vm("coast-a-2")
    rely(vm, "coast-a-1")
    checked_s = vm.state.feed.source_checked_s
    while vm.now_s + TICK_S < checked_s + source_selection.MAX_STALENESS_S:
        assert not plan(vm).direct
        if answers == "old":
            check(vm, "coast-a-1", age_s=vm.now_s - checked_s)
    vm.now_s += TICK_S
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )


def test_a_vm_that_stood_still_follows_the_store_at_once():
    vm = make_vm("coast-a-2")
    rely(vm, "coast-a-1")
    vm.now_s += 3.0
    assert plan(vm).direct


def test_a_change_of_the_leader_does_not_wake_the_watches_of_the_others():
    vm = make_vm("coast-a-3")
    hear(vm, "coast-a-1", beat=LOST)
    plan(vm)
    for _ in range(40):
        check(vm, "coast-a-2")
        hear(vm, "coast-a-2")
        plan(vm)
    assert vm.state.feed.plan == followed("coast-a-2")
    hear(vm, "coast-a-1")
    assert plan(vm) == followed("coast-a-1")
    check(vm, "coast-a-1")
    assert plan(vm) == followed("coast-a-1")


def test_a_vm_of_another_group_does_not_lead():
    names = [f"coast-a-{number:02}" for number in range(40)]
    records = tuple(samples.make_record(one) for one in names)
    sources = {}
    for own in names:
        vm = samples.Vm(name=own, mesh_vms=2)
        vm.reduce(events.VmsListed(vm.now_s, records, 4))
        hear(vm, *(one for one in names if one != own))
        sources[own] = plan(vm).source
    assert [name for name in names if not sources[name]] == [
        names[0],
        names[source_selection.VMS_PER_GROUP],
        names[2 * source_selection.VMS_PER_GROUP],
    ]
    assert sources[names[-1]] == names[2 * source_selection.VMS_PER_GROUP]


def test_all_vms_of_a_small_fleet_follow_the_store():
    vm = samples.Vm(name="coast-a-2")
    records = tuple(samples.make_record(one) for one in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, "coast-a-1")
    assert plan(vm) == sync_plans.SyncPlan()


def make_small_fleet(own="coast-a-2"):
    vm = samples.Vm(name=own)
    records = tuple(samples.make_record(one) for one in NAMES)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, *(one for one in NAMES if one != own))
    return vm


def test_a_vm_of_a_small_fleet_that_loses_the_store_learns_from_another():
    vm = make_small_fleet()
    lose(vm, "check")
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    hear(vm, "coast-a-1", beat=LOST)
    assert plan(vm).source == "coast-a-3"
    vm.reduce(events.StoreRegained(vm.now_s, "check", 0.1))
    assert plan(vm) == sync_plans.SyncPlan()


def test_a_vm_of_a_small_fleet_leads_for_as_long_as_it_is_asked():
    vm = make_small_fleet()
    vm.reduce(events.NewsAsked(vm.now_s))
    assert plan(vm) == LEADS
    vm.now_s += source_selection.LEAD_AFTER_REQUEST_S
    assert plan(vm) == sync_plans.SyncPlan()


@pytest.mark.parametrize("mesh_vms", [2, 16])
def test_a_vm_that_loses_the_store_asks_the_nearest_that_reaches_it(mesh_vms):
    zones = {"coast-a-2": "coast-a", "coast-b-1": "coast-b"} | {
        "lake-a-1": "lake-a"
    }
    vm = samples.Vm(mesh_vms=mesh_vms)
    records = tuple(
        samples.make_record(name, zone)
        for name, zone in {"coast-a-1": "coast-a", **zones}.items()
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, *zones)
    lose(vm)
    for name in zones:
        assert plan(vm).source == name
        hear(vm, name, beat=LOST)
    assert plan(vm) == sync_plans.SyncPlan("", direct=True, shared=True)


def test_a_vm_that_hears_no_other_follows_the_store():
    assert plan(make_vm("coast-a-3", heard=())) == LEADS


def test_a_vm_of_another_zone_is_not_followed():
    vm = samples.Vm(name="lake-a-1", zone="lake-a", region="lake", mesh_vms=2)
    records = (
        *(samples.make_record(one) for one in NAMES),
        samples.make_record("lake-a-1", "lake-a"),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, *NAMES)
    assert plan(vm) == LEADS


@pytest.mark.parametrize("how", ["silent", "leaving", "lost"])
def test_the_next_vm_takes_over(how):
    second, third = make_vm("coast-a-2"), make_vm("coast-a-3")
    for vm in (second, third):
        assert plan(vm).source == "coast-a-1"
        match how:
            case "silent":
                vm.now_s += 4.0
                hear(vm, *(n for n in NAMES[1:] if n != vm.state.settings.name))
            case "leaving":
                beat = messages.SteeringBeat(
                    "process", True, True, reaches_store=True
                )
                hear(vm, "coast-a-1", beat=beat)
            case "lost":
                hear(vm, "coast-a-1", beat=LOST)
    assert plan(second) == LEADS
    assert plan(third).source == "coast-a-2"


def test_a_source_that_fails_is_asked_again_later():
    vm = make_vm("coast-a-3")
    rely(vm, "coast-a-1")
    vm.reduce(events.SourceFailed(vm.now_s, "coast-a-1", declined=False))
    # No other VM leads while heartbeats of the first one arrive.
    assert plan(vm) == sync_plans.SyncPlan(direct=True, shared=True)
    vm.now_s += source_selection.EXCLUSION_S
    hear(vm, *NAMES[:2])
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )
    rely(vm, "coast-a-1")


def test_a_vm_that_is_asked_leads_for_a_while():
    vm = make_vm("coast-a-3")
    rely(vm, "coast-a-1")
    produced = vm.reduce(events.NewsAsked(vm.now_s))
    assert any(isinstance(one, effects.FollowStore) for one in produced)
    assert plan(vm) == LEADS
    vm.now_s += source_selection.LEAD_AFTER_REQUEST_S
    hear(vm, *NAMES[:2])
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-1", direct=True, shared=True
    )


def test_a_vm_that_lost_the_store_and_is_asked_does_not_lead():
    vm = make_vm("coast-a-3")
    lose(vm)
    vm.reduce(events.NewsAsked(vm.now_s))
    assert not plan(vm).leads


def test_a_vm_that_did_not_lead_yet_is_soon_asked_again():
    vm = make_vm("coast-a-3")
    vm.reduce(events.SourceFailed(vm.now_s, "coast-a-1", declined=True))
    assert plan(vm).source == ""
    vm.now_s += source_selection.DECLINED_EXCLUSION_S
    assert plan(vm).source == "coast-a-1"


def test_a_vm_that_loses_the_store_tries_on_and_follows_another():
    vm = make_vm("coast-a-1")
    lose(vm)
    assert plan(vm) == sync_plans.SyncPlan(
        "coast-a-2", direct=True, shared=True
    )
    vm.reduce(events.StoreRegained(vm.now_s, "servers", 0.1))
    assert plan(vm) == LEADS


def test_a_vm_that_loses_the_store_asks_other_groups_of_its_zone_too():
    names = [f"coast-a-{number:02}" for number in range(20)]
    records = tuple(samples.make_record(one) for one in names)
    vm = samples.Vm(name=names[-1], mesh_vms=2)
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    hear(vm, names[3])
    hear(vm, *names[source_selection.VMS_PER_GROUP : -1], beat=LOST)
    lose(vm)
    assert plan(vm).source == names[3]


def test_when_none_reaches_the_store_none_is_asked():
    for name in NAMES:
        vm = make_vm(name, beat=LOST)
        lose(vm)
        assert plan(vm) == sync_plans.SyncPlan("", direct=True, shared=True)


def test_a_change_of_plan_is_an_effect_and_the_others_hear_of_a_loss():
    vm = make_vm("coast-a-1")
    plan(vm)
    lose(vm)
    produced = vm.reduce(events.Ticked(vm.now_s))
    assert any(isinstance(one, effects.FollowStore) for one in produced)
    beats = [
        one.message
        for one in produced
        if isinstance(getattr(one, "message", None), messages.SteeringBeat)
    ]
    assert beats
    assert not any(beat.reaches_store for beat in beats)
