"""Schedulers and VMs that fail, and messages that are lost."""

import pytest

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome
SCHEDULER = "coast-a-1"
ROUTE = samples.make_route(timeout_s=4.0, target_latency_s=1.0)


def make_network(count=4, slots=2, cores=None, route=ROUTE, **changes):
    entries = [
        samples.make_entry(f"t{number}", slots=slots, **changes)
        for number in range(count)
    ]
    net = network.Network(entries, cores, samples.make_table(route))
    net.learn(0.5)
    return net


def schedulers(net):
    """Returns the schedulers that granted the slots of requests."""
    return {
        decision.inputs.get("scheduler")
        for decisions in net.decisions.values()
        for decision in decisions
    }


def assert_all_forwarded_once(net):
    assert all(
        [type(decision) for decision in net.decisions[request_id]]
        == [effects.Forward]
        for request_id in net.owners
    )


def assert_empty(net):
    """Asserts that no VM keeps anything for requests that have ended."""
    for vm in net.vms.values():
        state = vm.state
        assert not state.requests
        assert not state.slot_client.asked
        assert not state.scheduler.grants
        assert not state.scheduler.queued
        for schedule in state.scheduler.services.values():
            assert not schedule.waits
            for target in schedule.targets.values():
                assert not target.grants
                assert not target.queue


def test_a_dead_scheduler_delays_the_requests_of_one_moment():
    """Guards against callers that wait for a VM that died."""
    net = make_network()
    net.kill(SCHEDULER)
    first = net.ask()
    net.run(0.21)
    assert network.forwarded(net.decision(first))
    second, decision = net.decide()
    assert decision.inputs["scheduler"] == "coast-a-2"
    assert net.decision(second).inputs["decided_s"] < net.now_s
    for request_id in (first, second):
        net.serve(request_id)
    assert not net.state("coast-a-2").slot_client.asked


def test_a_queue_of_a_dead_scheduler_is_left_soon():
    """Guards against requests that wait in the queue of a VM that died."""
    net = make_network(1, 1)
    net.fill("coast-a-3")
    waiting = net.ask()
    net.run(0.05)
    net.kill(SCHEDULER)
    net.ask()
    net.run(1.7)
    assert net.decision(waiting) is not None


def test_a_stalled_scheduler_leaves_no_slot_in_use():
    """Guards against two runs, and against slots that nobody returns."""
    net = make_network(slots=6)
    net.stall(SCHEDULER, 1.0)
    for number in range(8):
        net.ask(object_key=f"a{number}")
        net.ask("coast-a-3", object_key=f"b{number}")
        net.run(0.1)
    net.run(1.5)
    assert_all_forwarded_once(net)
    for request_id in net.owners:
        net.serve(request_id)
    assert_empty(net)


def test_a_stopping_scheduler_hands_its_queue_over():
    """Guards against callers lost in a planned stop."""
    net = make_network(1, 1)
    for name in net.vms:
        net.learn(0.1, vm=name)
    [running] = net.fill("coast-a-3")
    waiting = [net.ask("coast-a-2"), net.ask("coast-a-3")]
    net.run(0.02)
    assert len(net.state().scheduler.queued) == 2
    net.apply(SCHEDULER, events.StopRequested(net.now_s))
    net.run(0.05)
    assert not net.state().scheduler.queued
    net.serve(running)
    for request_id in waiting:
        net.run(0.05)
        assert network.forwarded(net.decision(request_id)) == "t0"
        assert net.decision(request_id).inputs["scheduler"] == "coast-a-2"
        net.serve(request_id)
    assert_empty(net)


def test_a_stopping_scheduler_hands_over_its_own_requests():
    net = make_network(1, 1)
    [running] = net.fill("coast-a-3")
    waiting = net.ask(SCHEDULER)
    net.run(0.02)
    net.apply(SCHEDULER, events.StopRequested(net.now_s))
    net.run(0.05)
    net.serve(running)
    assert network.forwarded(net.decision(waiting)) == "t0"


def test_the_next_scheduler_learns_the_slots_in_use():
    """Guards against a new scheduler that fills targets a second time."""
    net = make_network(4, 1)
    running = net.fill("coast-a-2", 2, object_key="")
    running += net.fill("coast-a-3", 1, object_key="")
    net.apply(SCHEDULER, events.StopRequested(net.now_s))
    net.run(0.3)
    # Each VM introduces itself with its first request.
    last, _ = net.decide("coast-a-3", object_key="")
    waiting, _ = net.decide("coast-a-2", object_key="")
    grants = net.state("coast-a-2").scheduler.grants
    in_use = [grant.target.name for grant in grants.values()]
    assert sorted(in_use) == ["t0", "t1", "t2", "t3"]
    for request_id in (*running, last, waiting):
        net.serve(request_id)
    assert not net.state("coast-a-2").scheduler.grants


def test_two_schedulers_at_once_run_each_request_once():
    """Guards against two grants of different schedulers for one request."""
    net = make_network(4, 2)
    net.state("coast-a-3").slot_client.avoided_until_s[SCHEDULER] = 2000.0
    for number in range(8):
        net.ask(f"coast-a-{2 + number % 2}", object_key=f"o{number}")
        net.run(0.15)
    assert schedulers(net) == {SCHEDULER, "coast-a-2"}
    assert_all_forwarded_once(net)
    for request_id in net.owners:
        net.serve(request_id)
    assert_empty(net)


@pytest.mark.parametrize(
    "lost",
    [
        slot_messages.SlotRequest,
        slot_messages.SlotGrant,
        slot_messages.SlotReturn,
        slot_messages.SlotQueued,
        slot_messages.SlotRefusal,
    ],
)
def test_lost_messages_leave_nothing_behind(lost):
    """Guards against callers without a decision and slots in use for ever."""
    net = make_network(1, 1)
    running = net.fill("coast-a-3")
    net.loses = lambda sender, to, message: type(message) is lost
    for number in range(6):
        running.append(net.ask(timeout_s=0.4 + 0.5 * number))
    net.run(5.0)
    for request_id in running:
        assert len(net.decisions[request_id]) == 1, request_id
        net.serve(request_id)
    net.run(5.0)
    assert_empty(net)


def test_a_request_that_its_caller_leaves_frees_its_slot():
    """Guards against slots and places in the queue of callers that left."""
    net = make_network(1, 1)
    [running] = net.fill()
    waiting = [net.ask(), net.ask("coast-a-3")]
    net.run(0.02)
    net.close(waiting[0])
    net.close(running)
    net.run(0.02)
    assert network.forwarded(net.decision(waiting[1])) == "t0"
    net.close(waiting[1])
    net.run(0.02)
    assert_empty(net)


@pytest.mark.parametrize("restarts", [False, True])
def test_slots_of_a_vm_that_died_are_free_again(restarts):
    """Guards against slots in use by a process that has ended."""
    net = make_network(1, 1)
    net.fill("coast-a-2")
    net.ask("coast-a-2")
    net.run(0.02)
    net.kill("coast-a-2")
    if restarts:
        net.start("coast-a-2", "2")
    net.run(1.6 if restarts else 4.2)
    assert not net.state().scheduler.grants
    assert not net.state().scheduler.queued
    assert network.forwarded(net.decide("coast-a-3")[1]) == "t0"


def test_a_new_process_of_a_target_takes_over_its_queue():
    """Guards against requests that wait for a process that has ended."""
    net = make_network(1, 1)
    [running] = net.fill()
    waiting = net.ask("coast-a-3")
    net.run(0.02)
    entry = samples.make_entry("t0", slots=1, started_ms=2)
    for name in net.vms:
        net.apply(name, events.TargetChanged(net.now_s, entry, 7))
    net.run(0.3)
    assert network.forwarded(net.decision(waiting)) == "t0"
    net.serve(running)
    net.serve(waiting)
    assert_empty(net)


def test_a_service_that_vanishes_refuses_its_queue():
    """Guards against callers that wait for targets that were removed."""
    net = make_network(1, 1)
    [running] = net.fill()
    waiting = net.ask("coast-a-3")
    net.run(0.02)
    for name in net.vms:
        net.apply(name, events.TargetRemoved(net.now_s, "t0", 7))
    net.run(0.3)
    assert net.decision(waiting).status == 503
    net.serve(running)
    net.close(waiting)
    net.run(0.1)
    assert_empty(net)


def test_at_most_once_requests_run_once_whatever_fails():
    """Guards against a second run, and a 503 after a possible first one."""
    route = samples.make_route(
        repeatability=tables.Repeatability.AT_MOST_ONCE, timeout_s=4.0
    )
    net = make_network(4, 2, route=route)
    rng = net.state().rng
    net.loses = lambda *_: rng.random() < 0.2
    net.stall(SCHEDULER, 0.7)
    asked = []
    for number in range(40):
        asked.append(net.ask(f"coast-a-{number % 3 + 1}", object_key="a"))
        net.run(0.05)
    net.run(3.0)
    for request_id in asked:
        decisions = net.decisions[request_id]
        assert len(decisions) == 1
        if isinstance(decisions[0], effects.Forward):
            net.end(request_id, Outcome.BROKEN)
    net.run(3.0)
    for request_id in asked:
        first, *rest = net.decisions[request_id]
        if isinstance(first, effects.Forward):
            assert [each.status for each in rest] == [502]
        else:
            assert not rest
        net.close(request_id)
    net.run(5.0)
    assert_empty(net)


def test_a_scheduler_that_returns_learns_the_slots_in_use():
    """Guards against targets that are filled twice after a stall.

    The VM's requests were placed without this scheduler meanwhile.
    """
    net = make_network(4, 1)
    net.ask(object_key="")
    net.run(0.05)
    net.stall(SCHEDULER, 1.0)
    for _ in range(3):
        net.ask(object_key="")
        net.run(0.3)
    net.run(2.0)
    assert_all_forwarded_once(net)
    waiting = net.ask(object_key="", timeout_s=4.0)
    net.run(0.02)
    asked = net.state("coast-a-2").slot_client.asked
    assert asked[waiting].scheduler == SCHEDULER
    assert len(net.state().scheduler.grants) == 4


def test_a_zone_that_cannot_reach_a_target_leaves_its_queue():
    """Guards against grants of a target that the VM cannot reach."""
    net = make_network(1, 1, cores={"coast-a-1": 2.0, "coast-b-1": 1.0})
    [running] = net.fill(SCHEDULER)
    waiting = [net.ask("coast-b-1") for _ in range(2)]
    net.run(0.02)
    assert len(net.state().scheduler.queued) == 2
    target = net.state("coast-b-1").target_directory.by_name["t0"]
    target.ejected_until_s = 2000.0
    net.serve(running)
    net.run(0.2)
    assert len(net.slot_messages(slot_messages.SlotGrant)) == 1
    assert None not in [net.decision(request_id) for request_id in waiting]


def test_a_target_that_asks_for_a_pause_is_not_ejected():
    """Guards against ejections for all VMs because of an announced pause."""
    net = make_network(1, 2)
    for _ in range(12):
        request_id, decision = net.decide(object_key="")
        assert network.forwarded(decision) == "t0"
        net.end(request_id, status=503, pause_s=0.2, replayable=False)
        net.close(request_id)
        net.run(0.3)
    target = net.state().target_directory.by_name["t0"]
    assert target.ejected_until_s < net.now_s


def test_a_vm_that_stalls_itself_gives_up_no_scheduler():
    """Guards against VMs with little processor time that lose all schedulers.

    The reply arrived during the stall, and is read after the next tick.
    """
    net = make_network()
    request_id = net.ask()
    net.stall("coast-a-2", 0.5)
    net.run(0.6)
    assert net.decision(request_id).inputs["scheduler"] == SCHEDULER
    assert not net.state("coast-a-2").slot_client.avoided_until_s
