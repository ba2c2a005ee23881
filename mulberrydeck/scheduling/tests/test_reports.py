"""What targets report, and what their responses show, changes the choice."""

from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome
SCHEDULER = "coast-a-1"


def make_network(count=3, slots=2):
    entries = [
        samples.make_entry(f"t{number}", slots=slots) for number in range(count)
    ]
    route = samples.make_route(timeout_s=8.0, target_latency_s=1.0)
    net = network.Network(entries, table=samples.make_table(route))
    net.learn(0.5)
    return net


def targets(net):
    return net.state().scheduler.services[network.SERVICE].targets


def in_use(net):
    return [
        grant.target.name for grant in net.state().scheduler.grants.values()
    ]


def test_load_beyond_the_grants_keeps_slots_free():
    """Guards against queues at a target that others use as well."""
    net = make_network(2, 2)
    request_id, first = net.decide(object_key="")
    net.serve(request_id, reported_load=3, reported_speed=1.0)
    assert targets(net)[first.target].free_slots(net.now_s) == 0
    net.fill(object_key="", count=2)
    assert first.target not in in_use(net)
    # A report says little about the load a second later.
    net.run(1.0)
    assert targets(net)[first.target].free_slots(net.now_s) == 2


def test_reported_load_of_granted_requests_counts_once():
    """Guards against slots that are taken to be in use twice."""
    net = make_network(1, 3)
    first, *_ = net.fill(object_key="", count=3)
    net.serve(first, reported_load=2, reported_speed=1.0)
    assert targets(net)["t0"].free_slots(net.now_s) == 1


def test_a_target_that_reports_to_be_slow_gets_fewer_requests():
    """Guards against work at a machine that others slow down."""
    net = make_network(2, 4)
    request_id, first = net.decide(object_key="")
    net.serve(request_id, reported_load=0, reported_speed=2.5)
    net.fill(object_key="", count=3)
    assert first.target not in in_use(net)


def test_a_target_that_is_slow_without_a_report_gets_fewer_requests():
    """Guards against work at a target whose reports do not show its speed."""
    net = make_network(2, 4)
    slow = None
    for _ in range(12):
        request_id, decision = net.decide(object_key="")
        slow = slow or decision.target
        net.run(2.5 if decision.target == slow else 0.5)
        net.serve(request_id, reported_load=0, reported_speed=1.0)
    net.fill(object_key="", count=3)
    assert slow not in in_use(net)


def test_a_stuck_target_gets_no_more_requests():
    """Guards against a target that accepts requests and ends none."""
    net = make_network(2, 4)
    first, _ = net.fill(object_key="a", count=2)
    stuck = net.decision(first).target
    net.run(2.0)
    net.fill("coast-a-3", object_key="a", count=2)
    assert in_use(net).count(stuck) == 2


def test_a_queue_at_a_stuck_target_moves_to_free_slots():
    """Guards against a refusal beside a free slot after a wait.

    The wait at the target with the object was expected to be short.
    """
    net = make_network(12, 1)
    net.fill(object_key="a")
    net.run(0.3)
    waiting = net.ask("coast-a-3", object_key="a", timeout_s=2.0)
    net.run(1.5)
    assert network.forwarded(net.decision(waiting))


def test_a_rejection_with_a_free_slot_leaves_the_target_in_use():
    """Guards against targets without requests after a random rejection."""
    net = make_network(1, 2)
    request_id, _ = net.decide()
    net.end(request_id, Outcome.REJECTED, reported_load=0, reported_speed=1.0)
    net.run(0.01)
    assert network.forwarded(net.decision(request_id)) == "t0"
    net.serve(request_id)
    assert targets(net)["t0"].free_slots(net.now_s) == 2
    assert network.forwarded(net.decide()[1]) == "t0"


def test_a_report_that_counts_its_own_request_keeps_no_slot_free():
    """Guards against refusals although targets have free slots.

    With targets of three slots that count the request of the response, 40% of
    the requests of one kind were refused.
    """
    net = make_network(1, 3)
    request_id, first = net.decide(object_key="")
    net.serve(request_id, reported_load=1, reported_speed=1.0)
    assert targets(net)[first.target].free_slots(net.now_s) == 3


def test_a_rejection_without_a_report_counts_as_full():
    """Guards against further requests to a target that rejects them."""
    net = make_network(2, 2)
    request_id, first = net.decide(object_key="")
    net.end(request_id, Outcome.REJECTED)
    net.run(0.01)
    assert network.forwarded(net.decision(request_id)) != first.target
    assert targets(net)[first.target].free_slots(net.now_s) == 0


def test_a_rejected_object_is_not_taken_to_be_cached():
    """Guards against requests that go to a target without their object."""
    net = make_network(2, 2)
    request_id, first = net.decide()
    net.end(request_id, Outcome.REJECTED, reported_load=0, reported_speed=1.0)
    net.run(0.01)
    retried = targets(net)[network.forwarded(net.decision(request_id))]
    assert retried.name == first.target
    assert [grant.cache_rank for grant in retried.grants.values()] == [None]


def test_a_new_process_of_a_target_has_an_empty_cache():
    """Guards against uncached work that is expected to be short."""
    net = make_network(1, 2)
    request_id, _ = net.decide()
    net.serve(request_id)
    entry = samples.make_entry("t0", slots=2, started_ms=2)
    for name in net.vms:
        net.apply(name, events.TargetChanged(net.now_s, entry, 7))
    net.run(0.2)
    assert net.decide()[1].inputs["why"] == "not cached"


def test_work_times_are_learned_per_route_and_cache():
    net = make_network(1, 1)
    del net.state().scheduler.expected.mean_s["read", False]
    for seconds in (0.9, 0.3):
        request_id, _ = net.decide()
        net.run(seconds - 0.01)
        net.serve(request_id, reported_speed=1.0)
    learned = net.state().scheduler.expected
    assert 0.85 < learned.expected_s("read", False) < 0.95
    assert 0.25 < learned.expected_s("read", True) < 0.35
