"""Entry VMs: look-ups, heartbeats, parts of account limits."""

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import lookup
from mulberrydeck.steering import members
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

READY = messages.SteeringBeat("process", ready=True, leaving=False)
LEAVING = messages.SteeringBeat("process", ready=False, leaving=True)


def make_fleet():
    vm = samples.Vm()
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=2),
        samples.make_record("lake-a-1", "lake-a", port=3),
    )
    produced = vm.reduce(events.VmsListed(vm.now_s, records, 4))
    return vm, produced


def hear(vm, *names, beat=READY):
    for name in names:
        vm.reduce(events.PeerReceived(vm.now_s, name, beat))


def addresses(vm, region="coast", zone=""):
    return lookup.addresses(vm.state, vm.now_s, region, zone)


def test_registered_vms_are_connected_and_heard():
    vm, produced = make_fleet()
    connected = [e.record.name for e in produced if _is_connect(e)]
    assert connected == ["coast-b-1", "lake-a-1"]
    beats = [
        effect
        for effect in vm.reduce(events.Ticked(vm.now_s))
        if isinstance(effect, quota_effects.SendMessage)
    ]
    assert {beat.to for beat in beats} == {"coast-b-1", "lake-a-1"}


def _is_connect(effect):
    return isinstance(effect, effects.ConnectPeer)


def test_look_ups_name_live_vms_of_the_callers_region():
    vm, _ = make_fleet()
    assert addresses(vm) == ("127.0.0.1:1",)
    hear(vm, "coast-b-1", "lake-a-1")
    assert len(addresses(vm)) == 2
    assert addresses(vm, zone="lake-a") == ("127.0.0.3:80",)


def test_a_region_without_a_live_vm_is_served_by_the_others():
    vm, _ = make_fleet()
    hear(vm, "coast-b-1")
    assert len(addresses(vm, region="lake")) == 2


def test_a_silent_vm_is_left_out_before_callers_could_be_misled():
    vm, _ = make_fleet()
    hear(vm, "coast-b-1")
    vm.now_s += vm.state.settings.peer_timeout_s + 0.1
    assert addresses(vm) == ("127.0.0.1:1",)


def test_a_leaving_vm_is_left_out_at_once():
    vm, _ = make_fleet()
    hear(vm, "coast-b-1")
    hear(vm, "coast-b-1", beat=LEAVING)
    assert addresses(vm) == ("127.0.0.1:1",)


def test_a_stopping_vm_names_the_others_and_is_not_ready():
    vm, _ = make_fleet()
    hear(vm, "coast-b-1")
    vm.reduce(events.StopRequested(vm.now_s))
    assert addresses(vm) == ("127.0.0.2:80",)
    assert not lookup.is_ready(vm.state)
    beats = vm.reduce(events.Ticked(vm.now_s))
    assert all(b.message.leaving for b in beats)


def test_a_restarted_vm_has_to_be_heard_again():
    vm, _ = make_fleet()
    hear(vm, "coast-b-1")
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=9),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 6))
    assert addresses(vm) == ("127.0.0.1:1",)


def own_units(vm):
    fleet = vm.state.fleet
    owners = members.limit_owners(fleet, tables.Account("acme"))
    return members.own_units(fleet, owners)


def test_the_parts_of_all_vms_add_up_to_the_whole_limit():
    names = [f"vm-{n}" for n in range(7)]
    records = tuple(samples.make_record(name) for name in names)
    total = 0
    for name in names:
        vm = samples.Vm(name=name)
        vm.reduce(events.VmsListed(vm.now_s, records, 4))
        total += own_units(vm)
    assert total == members.UNITS_PER_LIMIT


def restarted():
    accounts = (
        (tables.Account("acme", rate_per_s=100.0, burst=100.0), ("k",)),
    )
    vm = samples.Vm(samples.make_table(accounts=accounts), first_start=False)
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=2),
        samples.make_record("lake-a-1", "lake-a", port=3),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    return vm


def usable_units(vm):
    vm.now_s += 0.1
    vm.reduce(events.Ticked(vm.now_s))
    quota.advance_all(vm.state.quota, vm.now_s)
    return vm.state.quota.resources["account/acme"].usable_units


def test_a_restarted_vm_waits_for_loans_of_its_earlier_process():
    vm = restarted()
    hear(vm, "coast-b-1")
    holds = messages.SteeringBeat("process", True, False, holds_loans=True)
    hear(vm, "lake-a-1", beat=holds)
    assert usable_units(vm) == 0
    vm.now_s += 4.6
    assert usable_units(vm) == 334


def test_a_restarted_vm_serves_at_once_when_no_vm_holds_its_loans():
    vm = restarted()
    hear(vm, "coast-b-1")
    assert usable_units(vm) == 0
    hear(vm, "lake-a-1")
    assert usable_units(vm) == 334


def test_a_vm_that_waits_for_the_others_beats_more_often():
    vm = restarted()
    beats = 0
    for _ in range(10):
        vm.now_s += 0.1
        produced = vm.reduce(events.Ticked(vm.now_s))
        beats += any(
            isinstance(effect, quota_effects.SendMessage) for effect in produced
        )
    assert beats >= 4


def test_a_process_that_was_not_heard_before_is_answered_at_once():
    vm, _ = make_fleet()
    beat = events.PeerReceived(vm.now_s, "coast-b-1", READY)
    answered = [
        effect
        for effect in vm.reduce(beat)
        if isinstance(effect, quota_effects.SendMessage)
    ]
    assert [each.to for each in answered] == ["coast-b-1"]
    assert not any(
        isinstance(effect, quota_effects.SendMessage)
        for effect in vm.reduce(beat)
    )


def test_a_vm_that_is_not_registered_owns_nothing():
    vm = samples.Vm(name="unknown")
    assert own_units(vm) == 0


def test_accounts_without_a_rate_have_no_bound():
    accounts = (
        (tables.Account("free"), ("k1",)),
        (tables.Account("paid", rate_per_s=5.0, burst=5.0), ("k2",)),
    )
    table = samples.make_table(accounts=accounts)
    found = members.bounds(table)
    assert [bound.resource for bound in found] == ["account/paid"]
