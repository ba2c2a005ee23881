"""Regions that are cut off, evacuated, cold, or without a VM."""

import pytest

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import samples

SCHEDULER = "coast-a-1"
ROUTE = samples.make_route(timeout_s=4.0, target_latency_s=1.0)
TWO_REGIONS = {
    "coast-a-1": 2.0,
    "coast-a-2": 1.0,
    "coast-b-1": 1.5,
    "lake-a-1": 1.0,
}


def make_network(count, slots, route=ROUTE, **changes):
    entries = [
        samples.make_entry(f"t{number}", slots=slots, **changes)
        for number in range(count)
    ]
    net = network.Network(entries, TWO_REGIONS, samples.make_table(route))
    net.learn(0.5)
    return net


def assert_all_forwarded_once(net):
    assert all(
        [type(decision) for decision in net.decisions[request_id]]
        == [effects.Forward]
        for request_id in net.owners
    )


def test_vms_that_are_cut_off_schedule_among_themselves():
    """Guards against callers that wait for a scheduler in the other part."""
    net = make_network(4, 8)
    cut_off = {"coast-a-2", "coast-b-1"}
    net.loses = lambda sender, to, _: (sender in cut_off) != (to in cut_off)
    for number in range(10):
        net.ask("coast-a-2", object_key=f"a{number}")
        net.ask(SCHEDULER, object_key=f"b{number}")
        net.run(0.1)
    net.run(0.3)
    assert_all_forwarded_once(net)
    granted = [
        net.decision(request_id).inputs.get("scheduler")
        for request_id, name in net.owners.items()
        if name == "coast-a-2"
    ]
    assert granted[-1] == "coast-b-1"
    net.loses = lambda *_: False
    net.run(3.0)
    assert net.decide("coast-a-2")[1].inputs["scheduler"] == SCHEDULER


def test_a_region_without_a_live_vm_serves_requests():
    """Guards against targets that no VM uses, and callers without a reply."""
    net = make_network(2, 2, zone="lake-a")
    net.run(0.1)
    _, decision = net.decide(SCHEDULER, object_key="a")
    net.run(0.1)
    net.kill("lake-a-1")
    asked = net.ask(SCHEDULER, object_key="a")
    net.run(0.4)
    assert network.forwarded(net.decision(asked)) in ("t0", "t1")
    net.run(4.0)
    _, decision = net.decide(SCHEDULER, object_key="a")
    assert network.forwarded(decision) in ("t0", "t1")


@pytest.mark.parametrize("with_other", [False, True])
def test_a_region_of_cold_targets_is_paced(with_other):
    """Guards against cold targets that get more than they tolerate."""
    entries = [samples.make_entry("t0", slots=9, cold_s=60.0)]
    if with_other:
        entries.append(samples.make_entry("t1", zone="lake-a", slots=2))
    net = network.Network(entries, TWO_REGIONS, samples.make_table(ROUTE))
    for _ in range(20):
        net.ask(SCHEDULER, object_key="")
    net.run(2.2)
    decided = [net.decision(request_id) for request_id in net.owners]
    assert None not in decided
    targets = [network.forwarded(decision) for decision in decided]
    assert targets.count("t0") <= 1
    assert targets.count("t1") >= 2 * with_other


def test_a_region_in_evacuation_uses_the_other_one():
    """Guards against requests to an evacuated zone."""
    entries = [
        samples.make_entry("t0"),
        samples.make_entry("t1", zone="lake-a", slots=4),
    ]
    net = network.Network(entries, TWO_REGIONS, samples.make_table(ROUTE))
    for name in net.vms:
        zones = ("coast-a", "coast-b")
        net.apply(name, events.ZonesEvacuated(net.now_s, zones, 5))
    net.run(1.1)
    for _ in range(4):
        net.ask(SCHEDULER)
    net.run(0.2)
    targets = [network.forwarded(net.decision(r)) for r in net.owners]
    assert targets == ["t1"] * 4


def test_an_excluded_region_is_not_asked():
    """Guards against requests outside of their home regions."""
    route = samples.make_route(timeout_s=4.0, home_regions=frozenset(("lake",)))
    net = make_network(4, 2, route)
    request_id = net.ask(SCHEDULER)
    net.run(0.5)
    assert net.decision(request_id).status == 503
    assert not [
        message
        for _, to, message in net.sent
        if isinstance(message, slot_messages.SlotRequest) and to != "lake-a-1"
    ]
