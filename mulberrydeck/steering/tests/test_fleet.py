"""Entry VMs: lookups, heartbeats and ownership of account limits."""

import random

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import lookup
from mulberrydeck.steering import members
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

READY_HEARTBEAT = messages.SteeringHeartbeat(
    "process", ready=True, leaving=False
)
LEAVING_HEARTBEAT = messages.SteeringHeartbeat(
    "process", ready=False, leaving=True
)


def make_fleet():
    vm = samples.Vm()
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=2),
        samples.make_record("lake-a-1", "lake-a", port=3),
    )
    produced = vm.reduce(events.VmsListed(vm.now_s, records, 4))
    return vm, produced


def receive_heartbeats(vm, *names, heartbeat=READY_HEARTBEAT):
    for name in names:
        vm.reduce(events.PeerReceived(vm.now_s, name, heartbeat))


def addresses(vm, region="coast", zone=""):
    rng = random.Random(1)
    return lookup.addresses(vm.state, vm.now_s, region, zone, rng)


def test_registered_vms_are_connected_and_sent_heartbeats():
    vm, produced = make_fleet()
    connected = [e.record.name for e in produced if _is_connect(e)]
    assert connected == ["coast-b-1", "lake-a-1"]
    sent = [
        effect
        for effect in vm.reduce(events.Ticked(vm.now_s))
        if isinstance(effect, quota_effects.SendMessage)
    ]
    assert {effect.to for effect in sent} == {"coast-b-1", "lake-a-1"}


def _is_connect(effect):
    return isinstance(effect, effects.ConnectPeer)


def test_lookups_name_live_vms_of_the_callers_region():
    vm, _ = make_fleet()
    assert addresses(vm) == ("127.0.0.1:1",)
    receive_heartbeats(vm, "coast-b-1", "lake-a-1")
    assert len(addresses(vm)) == 2
    assert addresses(vm, zone="lake-a") == ("127.0.0.3:80",)


def test_callers_of_a_region_without_a_live_vm_get_other_vms():
    vm, _ = make_fleet()
    receive_heartbeats(vm, "coast-b-1")
    assert len(addresses(vm, region="lake")) == 2


def test_lookups_omit_a_vm_after_the_peer_timeout():
    vm, _ = make_fleet()
    receive_heartbeats(vm, "coast-b-1")
    vm.now_s += vm.state.settings.peer_timeout_s + 0.1
    assert addresses(vm) == ("127.0.0.1:1",)


def test_lookups_omit_a_leaving_vm_at_once():
    vm, _ = make_fleet()
    receive_heartbeats(vm, "coast-b-1")
    receive_heartbeats(vm, "coast-b-1", heartbeat=LEAVING_HEARTBEAT)
    assert addresses(vm) == ("127.0.0.1:1",)


def test_a_stopping_vm_lists_other_vms_and_is_not_ready():
    vm, _ = make_fleet()
    receive_heartbeats(vm, "coast-b-1")
    vm.reduce(events.StopRequested(vm.now_s))
    assert addresses(vm) == ("127.0.0.2:80",)
    assert not lookup.is_ready(vm.state)
    sent = [
        effect
        for effect in vm.reduce(events.Ticked(vm.now_s))
        if isinstance(effect, quota_effects.SendMessage)
    ]
    assert sent
    assert all(effect.message.leaving for effect in sent)


def test_lookups_omit_a_restarted_vm_until_its_next_heartbeat():
    vm, _ = make_fleet()
    receive_heartbeats(vm, "coast-b-1")
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=9),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 6))
    assert addresses(vm) == ("127.0.0.1:1",)


def own_units(vm):
    fleet = vm.state.fleet
    account = tables.Account("acme")
    owners = members.limit_owners(fleet, account)
    return members.own_units(fleet, account, owners)


def test_the_units_of_all_vms_add_up_to_the_limit():
    names = [f"vm-{n}" for n in range(7)]
    records = tuple(samples.make_record(name) for name in names)
    total = 0
    for name in names:
        vm = samples.Vm(name=name)
        vm.reduce(events.VmsListed(vm.now_s, records, 4))
        total += own_units(vm)
    assert total == members.UNITS_PER_LIMIT


def make_restarted_vm():
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


def test_a_restarted_vm_waits_until_its_earlier_loans_expire():
    vm = make_restarted_vm()
    receive_heartbeats(vm, "coast-b-1")
    heartbeat = messages.SteeringHeartbeat(
        "process", True, False, holds_loans=True
    )
    receive_heartbeats(vm, "lake-a-1", heartbeat=heartbeat)
    assert usable_units(vm) == 0
    vm.now_s += 4.6
    assert usable_units(vm) == 334


def test_a_restarted_vm_uses_its_units_if_no_vm_holds_its_loans():
    vm = make_restarted_vm()
    receive_heartbeats(vm, "coast-b-1")
    assert usable_units(vm) == 0
    receive_heartbeats(vm, "lake-a-1")
    assert usable_units(vm) == 334


def test_heartbeats_are_more_frequent_until_all_vms_respond():
    vm = make_restarted_vm()
    sent = 0
    for _ in range(10):
        vm.now_s += 0.1
        produced = vm.reduce(events.Ticked(vm.now_s))
        sent += any(
            isinstance(effect, quota_effects.SendMessage) for effect in produced
        )
    assert sent >= 4


def test_the_first_heartbeat_of_a_process_gets_a_response_at_once():
    vm, _ = make_fleet()
    heartbeat = events.PeerReceived(vm.now_s, "coast-b-1", READY_HEARTBEAT)
    responses = [
        effect
        for effect in vm.reduce(heartbeat)
        if isinstance(effect, quota_effects.SendMessage)
    ]
    assert [response.to for response in responses] == ["coast-b-1"]
    assert not any(
        isinstance(effect, quota_effects.SendMessage)
        for effect in vm.reduce(heartbeat)
    )


def test_an_unregistered_vm_owns_no_units():
    vm = samples.Vm(name="unknown")
    assert own_units(vm) == 0


def test_accounts_without_a_rate_limit_have_no_bound():
    accounts = (
        (tables.Account("free"), ("k1",)),
        (tables.Account("paid", rate_per_s=5.0, burst=5.0), ("k2",)),
    )
    table = samples.make_table(accounts=accounts)
    limit_bounds = members.bounds(table)
    assert [bound.resource for bound in limit_bounds] == ["account/paid"]


def test_units_are_usable_at_a_first_start_whatever_is_read_first():
    account = tables.Account("acme", rate_per_s=100.0, burst=50.0)
    vm = samples.Vm(first_start=True)
    vm.state.fleet.names = ()
    vm.state.fleet.units_usable = False
    vm.state.quota.units_held = True
    table = samples.make_table(accounts=((account, ("secret",)),), version=2)
    vm.reduce(events.TableLoaded(vm.now_s, table, 5))
    records = (
        samples.make_record("coast-a-1", port=1),
        samples.make_record("coast-b-1", "coast-b", port=2),
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 6))
    resource = vm.state.quota.resources["account/acme"]
    quota.tick(vm.state.quota, vm.now_s)
    assert resource.usable_units == members.UNITS_PER_LIMIT // 2
