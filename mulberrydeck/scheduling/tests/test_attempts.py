"""Each attempt gets one decision, whatever messages cross or come late."""

import pytest

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome
SCHEDULER = "coast-a-1"


def make_network(count=3, slots=1, routes=(), accounts=(), **changes):
    entries = [
        samples.make_entry(f"t{number}", slots=slots) for number in range(count)
    ]
    routes = routes or (samples.make_route(timeout_s=8.0),)
    table = samples.make_table(*routes, accounts=accounts)
    return network.Network(entries, table=table, **changes)


def grants(net):
    """Returns the slots that the scheduler believes to be in use."""
    return {
        key[1]: grant.target.name
        for key, grant in net.state().scheduler.grants.items()
    }


def forwards(net, request_id):
    return [
        decision
        for decision in net.decisions[request_id]
        if isinstance(decision, effects.Forward)
    ]


def test_a_grant_after_a_local_choice_is_returned_and_sends_nothing():
    """Guards against a second run of a request whose grant came late."""
    net = make_network()
    net.stall(SCHEDULER, 0.5)
    request_id = net.ask(timeout_s=8.0)
    net.run(0.3)
    assert len(net.decisions[request_id]) == 1
    net.run(1.0)
    assert len(net.decisions[request_id]) == 1
    assert not grants(net)


def test_a_grant_of_an_earlier_attempt_does_not_serve_a_later_one():
    """Guards against slots in use that the scheduler takes for free.

    The scheduler stalls until the VM asks it again for the same request, so
    that it grants a slot to both attempts.
    """
    net = make_network()
    net.stall(SCHEDULER, 3.0)
    # Other VMs of the region are left out, so that the same one is asked again.
    for name in ("coast-a-2", "coast-a-3"):
        net.state("coast-a-2").slot_client.avoided_until_s[name] = 2000.0
    request_id = net.ask(timeout_s=8.0)
    net.run(0.3)
    assert len(forwards(net, request_id)) == 1
    net.run(2.65)
    net.end(request_id, Outcome.REJECTED)
    net.run(1.0)
    first, second = forwards(net, request_id)
    assert second.target != first.target
    assert grants(net) == {request_id: second.target}


def test_a_request_in_progress_keeps_its_slot_after_a_late_return():
    """Guards against a return of an earlier attempt that frees a later slot."""
    net = make_network()
    request_id, decision = net.decide()
    late = slot_messages.SlotReturn(request_id, network.SERVICE, attempt=1)
    net.end(request_id, Outcome.REJECTED)
    net.run(0.01)
    _, second = forwards(net, request_id)
    net.apply(SCHEDULER, events.PeerReceived(net.now_s, "coast-a-2", late))
    assert grants(net) == {request_id: second.target}


def test_a_low_priority_waits_without_giving_up_the_scheduler():
    """Guards against a VM that avoids a scheduler which works.

    Requests with a higher priority come first, so that the wait exceeds what
    the scheduler had expected.
    """
    routes = (
        samples.make_route(timeout_s=12.0, target_latency_s=6.0, priority=1),
        samples.make_route(
            name="urgent",
            prefix="/urgent/",
            timeout_s=12.0,
            target_latency_s=6.0,
            priority=0,
        ),
    )
    net = make_network(1, 1, routes)
    net.learn(0.3)
    net.learn(0.3, route="urgent")
    [running] = net.fill(timeout_s=12.0)
    low = net.ask(timeout_s=12.0)
    net.run(0.05)
    for _ in range(6):
        urgent = net.ask("coast-a-3", path="/urgent/1", timeout_s=12.0)
        net.run(0.3)
        net.serve(running)
        running = urgent
    assert not net.state("coast-a-2").slot_client.avoided_until_s
    assert not net.decisions[low]
    net.serve(running)
    assert net.decision(low).inputs["scheduler"] == SCHEDULER


def test_a_decision_on_another_request_survives_a_retry():
    """Guards against a caller that waits forever.

    The scheduler's own request is retried after a server error. Its slot is
    unusable and goes to another request of the VM, which is refused, while the
    first one still has a response to deliver.
    """
    low = samples.make_route(
        name="low", prefix="/low/", timeout_s=8.0, priority=1
    )
    net = make_network(2, 1, (samples.make_route(timeout_s=8.0), low))
    net.learn(0.4)
    net.learn(0.4, route="low")
    retried, other = net.fill(SCHEDULER, 2, object_key="", timeout_s=8.0)
    waiting = net.ask(SCHEDULER, path="/low/1", timeout_s=8.0)
    queued = net.state().scheduler.queued[SCHEDULER, waiting]
    if queued.target.name == net.decision(retried).target:
        retried, other = other, retried
    # The target of the other one reports a load that decays by the next tick.
    net.run(0.06 - net.now_s % 0.1)
    net.end(other, reported_load=2, reported_speed=1.0)
    queued.target.load_reported_s -= 0.5
    for target in net.state().target_directory.by_name.values():
        target.ejected_until_s = 2000.0
    net.state().scheduler.services[network.SERVICE].refreshed_s = net.now_s
    net.end(retried, status=500)
    assert isinstance(net.decision(retried), effects.Deliver)
    net.run(0.2)
    assert isinstance(net.decision(waiting), effects.Refuse)


@pytest.mark.parametrize("stops", [False, True])
def test_a_local_choice_after_a_wait_checks_the_time(stops):
    """Guards against a request that the end of the VM or its caller cuts off.

    The scheduler died while the request waited in its queue.
    """
    net = make_network(1, 1, stop_timeout_s=10.0)
    net.learn(0.2)
    net.fill(timeout_s=8.0)
    request_id = net.ask(timeout_s=6.0 if stops else 1.2)
    net.run(0.05)
    assert request_id in net.state("coast-a-2").slot_client.asked
    net.kill(SCHEDULER)
    asked = net.state("coast-a-2").slot_client.asked[request_id]
    asked.decide_by_s = net.now_s + (5.0 if stops else 1.3)
    if stops:
        net.run(0.2)
        net.apply("coast-a-2", events.StopRequested(net.now_s - 1.0))
        net.state("coast-a-2").finish_by_s = net.now_s + 2.0
    net.run(6.0 if stops else 2.0)
    assert not forwards(net, request_id)
    assert isinstance(net.decision(request_id), effects.Refuse)


def test_a_response_is_delivered_if_the_deadline_passes_in_the_queue():
    """Guards against a 504 instead of a response that is ready."""
    net = make_network(2, 1)
    net.learn(0.1)
    request_id, _ = net.decide("coast-a-2", timeout_s=1.0)
    net.fill("coast-a-3", 1, timeout_s=8.0, object_key="b")
    net.end(request_id, status=500)
    net.run(0.05)
    assert request_id in net.state("coast-a-2").slot_client.asked
    asked = net.state("coast-a-2").slot_client.asked[request_id]
    asked.decide_by_s = 2000.0
    net.kill(SCHEDULER)
    net.run(0.93)
    assert not isinstance(net.decision(request_id), effects.Deliver)
    grant = slot_messages.SlotGrant(
        request_id, network.SERVICE, "t0", attempt=asked.attempt
    )
    received = events.PeerReceived(net.now_s, SCHEDULER, grant)
    net.apply("coast-a-2", received)
    assert isinstance(net.decision(request_id), effects.Deliver)
