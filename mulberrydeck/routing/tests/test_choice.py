"""Tests of the choice of VMs and of lookup responses."""

import collections

from mulberrydeck.core import gateway
from mulberrydeck.forward import outcomes
from mulberrydeck.peers import messages
from mulberrydeck.routing import choice
from mulberrydeck.routing import lookup
from mulberrydeck.routing import peer_index
from mulberrydeck.routing import ramp
from mulberrydeck.routing import reducer
from mulberrydeck.routing import target_state
from mulberrydeck.routing.tests import fakes

TWO_STEPS = (fakes.Step((("z1", 1),)), fakes.Step((("z2", 1), ("z3", 3))))

FAR_FIRST = (fakes.Step((("far1", 1),)), fakes.Step((("z2", 1),)))


def record_report(state, vm, zone, free, total=8, reported_s=0.0, **kwargs):
    load = messages.ServiceLoad("s", free, total)
    report = peer_index.PeerReport(vm, zone, (load,), reported_s, **kwargs)
    peer_index.record(state.peers, report)


def make_state(steps=TWO_STEPS, **kwargs):
    return fakes.make_state(fakes.FakeCompiled(steps=steps), **kwargs)


def test_the_first_step_with_free_slots_is_taken():
    state = make_state()
    record_report(state, "b", "z1", 0)
    record_report(state, "c", "z2", 4)
    assert choice.preview(state, 1.0, "s").vm == "c"
    assert choice.choose(state, 1.0, "s") == choice.Remote("c")
    without_c = frozenset({"c"})
    assert choice.choose(state, 1.0, "s", without_c) == choice.Remote("b")
    assert choice.choose(state, 1.0, "s", frozenset({"b", "c"})) is None


def test_unreachable_and_leaving_vms_are_not_chosen():
    state = make_state()
    record_report(state, "b", "z1", 4)
    assert choice.choose(state, 4.1, "s") is None
    assert state.peers.by_vm == {}
    assert state.peers.capacity[("s", "z1")].usable_slots == 0
    record_report(state, "b", "z1", 4, reported_s=5.0)
    peer_index.record(state.peers, peer_index.PeerReport("b", "z1", (), 5.1))
    assert choice.choose(state, 5.2, "s") is None


def test_own_free_targets_come_before_those_of_the_zone():
    targets = (fakes.target("t", 1),)
    state = fakes.warm_owner(fakes.FakeCompiled(targets))
    record_report(state, "b", "z1", 4, reported_s=100.0)
    assert choice.choose(state, 100.0, "s") == choice.Local()
    reducer.acquire(state, 100.0, "s", "x", "r")
    assert choice.choose(state, 100.0, "s") == choice.Remote("b")


def test_an_unreachable_target_is_used_only_while_no_vm_can_serve():
    state = fakes.warm_owner(fakes.FakeCompiled((fakes.target("t"),)))
    state.targets["t"].failed_polls = target_state.FAILED_POLLS_LIMIT
    assert choice.choose(state, 100.0, "s") == choice.Local()
    record_report(state, "b", "z1", 0, reported_s=100.0)
    assert choice.choose(state, 100.0, "s", frozenset({"b"})) is None


def test_zones_of_a_step_share_traffic_by_weight_and_capacity():
    state = make_state()
    record_report(state, "b", "z2", 4)
    record_report(state, "c", "z3", 4)
    picked = collections.Counter(
        choice.choose(state, 1.0, "s").vm for _ in range(2000)
    )
    assert 0.7 < picked["c"] / 2000 < 0.8


def test_relayed_requests_count_until_they_end_or_are_reported():
    state = make_state()
    record_report(state, "b", "z1", 1, reported_s=1.0)
    record_report(state, "c", "z2", 9, reported_s=1.0)
    assert choice.choose(state, 1.0, "s") == choice.Remote("b")
    choice.record_relay(state, 1.1, "s", "b", "r")
    assert choice.choose(state, 1.2, "s") == choice.Remote("c")
    answered = outcomes.AttemptOutcome.ANSWERED
    reducer.release(state, 1.3, "r", answered, 200, 0.0)
    assert choice.choose(state, 1.4, "s") == choice.Remote("b")
    choice.record_relay(state, 1.5, "s", "b", "r2")
    record_report(state, "b", "z1", 1, reported_s=2.0)
    assert choice.choose(state, 2.0, "s") == choice.Remote("b")


def test_a_vm_that_refused_is_full_until_its_next_report():
    state = make_state()
    record_report(state, "b", "z1", 4, reported_s=1.0)
    record_report(state, "c", "z2", 9, reported_s=1.0)
    choice.record_relay(state, 1.1, "s", "b", "r")
    not_run = outcomes.AttemptOutcome.NOT_RUN
    reducer.release(state, 1.2, "r", not_run, 503, 0.0)
    assert choice.choose(state, 1.3, "s") == choice.Remote("c")


def test_nearly_full_links_are_used_last():
    state = make_state(steps=FAR_FIRST)
    record_report(state, "b", "far1", 4)
    record_report(state, "c", "z2", 1)
    assert choice.choose(state, 1.0, "s") == choice.Remote("b")
    full = frozenset({"near/far"})
    assert choice.choose(state, 1.0, "s", full_links=full) == choice.Remote("c")
    record_report(state, "b", "far1", 4, full_links=("far/near",))
    assert choice.choose(state, 1.0, "s") == choice.Remote("c")
    without_c = frozenset({"c"})
    assert choice.choose(state, 1.0, "s", without_c) == choice.Remote("b")


def test_the_share_of_a_cold_zone_ramps_up_in_steps():
    state = make_state(steps=TWO_STEPS)
    record_report(state, "c", "z2", 100, 100)
    choice.choose(state, 0.0, "s")

    def share(now_s):
        record_report(state, "b", "z1", 100, 100, reported_s=now_s)
        record_report(state, "c", "z2", 100, 100, reported_s=now_s)
        picked = [choice.choose(state, now_s, "s") for _ in range(400)]
        return picked.count(choice.Remote("b")) / 400

    shares = [share(now_s) for now_s in (10.0, 11.5, 12.5, 15.0)]
    assert shares == sorted(shares)
    assert shares[0] < 0.2
    assert shares[-1] == 1.0


def test_zones_in_use_from_the_start_are_not_ramped():
    ramps = {}
    assert ramp.share(ramps, "z1", 0.0) == 1.0
    ramp.record(ramps, "z1", 0.0)
    ramp.record(ramps, "z2", 0.5)
    assert ramp.share(ramps, "z2", 0.6) == 1.0


def members(count, zone="z1", **kwargs):
    return tuple(
        lookup.EntryMember(f"{zone}-{number}", zone, f"h{number}:1", **kwargs)
        for number in range(count)
    )


def first_vm(directory, block, place=""):
    address = f"10.{block // 256}.{block % 256}.1"
    query = gateway.LookupQuery("s", place, address)
    response = lookup.respond(fakes.FakeCompiled(), directory, query)
    return response.vms[0].name


def test_nearest_zones_come_first_and_leaving_vms_are_omitted():
    listed = members(5) + members(2, "z2") + members(1, "far1")
    listed += (lookup.EntryMember("gone", "z1", "h:1", leaving=True),)
    query = gateway.LookupQuery("s", "", "10.0.0.1")
    response = lookup.respond(
        fakes.FakeCompiled(), lookup.directory(listed), query, 7.0
    )
    assert [vm.zone for vm in response.vms] == [
        *(["z1"] * 3 + ["z2"] * 2),
        "far1",
    ]
    assert "gone" not in [vm.name for vm in response.vms]
    assert (response.lifetime_s, response.config_version) == (7.0, 1)


def test_blocks_spread_evenly_and_move_only_from_a_lost_vm():
    listed = members(4)
    full = lookup.directory(listed)
    before = [first_vm(full, block) for block in range(2000)]
    counts = collections.Counter(before)
    assert all(400 < count < 600 for count in counts.values())
    fewer = lookup.directory(listed[1:])
    after = [first_vm(fewer, block) for block in range(2000)]
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {"z1-0"}


def test_blocks_of_unknown_places_and_lost_regions_spread_over_all_zones():
    far = lookup.directory(members(1, "far1") + members(1, "far2"))
    lost = [first_vm(far, block) for block in range(400)]
    assert 140 < lost.count("far1-0") < 260
    everywhere = lookup.directory(members(1) + members(1, "far2"))
    unknown = [first_vm(everywhere, block, "unknown") for block in range(400)]
    assert 140 < unknown.count("z1-0") < 260


def test_loaded_vms_get_fewer_blocks():
    listed = members(3) + (
        lookup.EntryMember("busy", "z1", "h:1", weight=0.25),
    )
    directory = lookup.directory(listed)
    picked = [first_vm(directory, block) for block in range(2000)]
    assert 100 < picked.count("busy") < 220
