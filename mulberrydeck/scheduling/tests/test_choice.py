"""Which slot a request gets, and which request gets a slot."""

import attrs

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import estimates
from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome
SCHEDULER = "coast-a-1"

ROUTE = samples.make_route(timeout_s=8.0, target_latency_s=1.0)
URGENT = samples.make_route(
    name="urgent", prefix="/urgent/", timeout_s=8.0, target_latency_s=1.0
)
ACCOUNTS = tuple(
    (tables.Account(name, rate_per_s=rate_per_s, burst=1000.0), (name,))
    for name, rate_per_s in (("calm", 20.0), ("hot", 20.0))
)


def make_network(count=3, slots=1, routes=(ROUTE,), accounts=(), **changes):
    entries = [
        samples.make_entry(f"t{number}", slots=slots) for number in range(count)
    ]
    table = samples.make_table(*routes, accounts=accounts)
    net = network.Network(entries, table=table, **changes)
    for route in routes:
        net.learn(0.5, route=route.name)
    return net


def queued(net):
    return [key[1] for key in net.state().scheduler.queued]


def test_free_slots_are_used_before_any_request_waits():
    """Guards against requests that wait beside a free slot.

    Eight targets are compared for an object; the others are considered at the
    next tick.
    """
    net = make_network(20, 2)
    for number in range(40):
        request_id = net.ask(
            f"coast-a-{number % 3 + 1}", object_key=f"o{number}"
        )
        net.run(0.11)
        assert network.forwarded(net.decision(request_id))
        assert not queued(net)


def test_requests_without_an_object_use_all_slots():
    net = make_network(20, 2)
    for number in range(40):
        net.fill(f"coast-a-{number % 3 + 1}", object_key="")
    assert not queued(net)


def test_a_request_is_not_refused_beside_a_free_slot():
    """Guards against a refusal because the target with the object is busy.

    The wait there exceeds the limit, although it would still end earlier, by
    the scheduler's weights, than work on an uncached object.
    """
    net = make_network(12, 1)
    net.learn(2.0)
    net.fill(object_key="a")
    decided = [net.decide("coast-a-3", object_key="a")[1] for _ in range(6)]
    assert not [each for each in decided if isinstance(each, effects.Refuse)]
    in_use = {grant.target.name for grant in _grants(net)}
    assert len(in_use) > 1


def _grants(net):
    return net.state().scheduler.grants.values()


def test_a_cached_object_is_served_by_its_target():
    """Guards against work that takes three times as long as elsewhere."""
    net = make_network(20, 2)
    request_id, first = net.decide(object_key="a")
    net.serve(request_id)
    for name in net.cores:
        request_id, decision = net.decide(name, object_key="a")
        assert decision.target == first.target
        assert decision.inputs["why"] == "cached"
        net.serve(request_id)


def test_a_short_queue_for_a_cached_object_beats_other_targets():
    """Guards against uncached work that ends later than the wait would."""
    net = make_network(8, 1)
    [running] = net.fill(object_key="a")
    net.run(0.45)
    waiting = net.ask("coast-a-3", object_key="a")
    net.run(0.02)
    assert queued(net) == [waiting]
    target = net.decision(running).target
    net.serve(running)
    assert net.decision(waiting).target == target
    assert net.decision(waiting).inputs["slot_wait_s"] > 0


def _grant_order(net, running, count):
    """Ends requests one by one; returns the order in which others start."""
    order = []
    for _ in range(count):
        before = {key[1] for key in net.state().scheduler.grants}
        net.serve(running)
        [running] = {key[1] for key in net.state().scheduler.grants} - before
        order.append(running)
    return order


def test_requests_that_can_be_on_time_come_first():
    """Guards against late requests that make others late as well."""
    net = make_network(1, 1)
    net.learn(0.2)
    [running] = net.fill()
    late = net.ask()
    net.run(0.01)
    net.state().scheduler.queued["coast-a-2", late].goal_s = net.now_s
    on_time = net.ask("coast-a-3")
    net.run(0.01)
    assert _grant_order(net, running, 2) == [on_time, late]


def test_a_higher_priority_comes_first():
    """Guards against valuable requests that wait behind others."""
    low = attrs.evolve(ROUTE, priority=1)
    net = make_network(1, 1, (low, URGENT))
    net.learn(0.1)
    net.learn(0.1, route="urgent")
    [running] = net.fill()
    first = net.ask()
    net.run(0.01)
    urgent = net.ask("coast-a-3", path="/urgent/1")
    net.run(0.01)
    assert _grant_order(net, running, 2) == [urgent, first]


def test_an_account_at_five_times_its_share_waits_behind_others():
    """Guards against one account that pushes out all others."""
    route = attrs.evolve(ROUTE, public=False, target_latency_s=4.0)
    net = make_network(1, 2, (route,), ACCOUNTS)
    net.learn(0.05)
    net.run(4.0)  # Then, each VM may use its part of the limits.
    usage = net.state().scheduler.services
    running = net.fill(count=2, key="hot", object_key="")
    usage[network.SERVICE].usage["hot"].add(net.now_s, 500.0)
    usage[network.SERVICE].usage["calm"].add(net.now_s, 60.0)
    hot = [net.ask(key="hot") for _ in range(5)]
    net.run(0.01)
    calm = [net.ask("coast-a-3", key="calm") for _ in range(2)]
    net.run(0.01)
    assert len(queued(net)) == 7
    started = _grant_order(net, running[0], 3)
    assert started[:2] == calm
    assert started[2] in hot


def test_refusals_come_at_once_and_grow_with_the_backlog():
    """Guards against callers that wait in vain, or that return too early."""
    advised = []
    for seconds in (0.5, 8.0):
        net = make_network(1, 1)
        net.learn(seconds)
        net.fill()
        for _ in range(40):
            net.ask("coast-a-3", object_key="b")
        net.run(0.02)
        refused = [
            each.retry_after_s
            for each in map(net.decision, net.owners)
            if isinstance(each, effects.Refuse)
        ]
        assert len(refused) > 30
        # Spread, so that they do not all return at the same moment.
        assert max(refused) > 1.4 * min(refused)
        assert len(set(refused)) > 20
        advised.append(min(refused))
    assert advised[1] > 1.5 * advised[0]


def test_no_request_waits_beyond_its_limit():
    """Guards against callers that wait until their deadline in vain."""
    net = make_network(1, 1)
    net.learn(0.3)
    net.fill()
    waiting = net.ask("coast-a-3", object_key="b")
    net.run(0.01)
    assert queued(net) == [waiting]
    limit_s = net.state().scheduler.queued["coast-a-3", waiting].give_up_s
    assert limit_s - net.now_s < 8.0 * 0.3
    net.run(limit_s - net.now_s + 0.2)
    refused = net.decision(waiting)
    assert refused.status == 503
    assert refused.retry_after_s > 0
    assert not queued(net)


def test_a_region_without_targets_uses_another_ones_slots():
    """Guards against refusals beside free slots in the other region."""
    cores = {"coast-a-1": 1.0, "lake-a-1": 1.0}
    net = make_network(1, 4, cores=cores)
    net.fill("coast-a-1", 3, object_key="")
    net.ask("lake-a-1", object_key="")
    net.run(0.2)
    last = list(net.owners)[-1]
    assert network.forwarded(net.decision(last)) == "t0"


def test_the_other_region_does_not_overrule_a_refusal():
    """Guards against a queue at a target that its scheduler had refused."""
    cores = {"coast-a-1": 1.0, "lake-a-1": 1.0}
    entries = [
        samples.make_entry("t0", slots=1),
        samples.make_entry("t1", slots=1, zone="lake-a", cold_s=60.0),
    ]
    net = network.Network(entries, cores, samples.make_table(ROUTE))
    net.learn(3.0)
    net.fill("coast-a-1", object_key="")
    net.state("coast-a-1").pacer.next_send_s["t1"] = net.now_s + 9.0
    request_id = net.ask("coast-a-1", object_key="")
    net.run(0.2)
    assert net.decision(request_id).status == 503


def test_retry_after_is_that_of_the_current_attempt():
    """Guards against advice of an earlier attempt with another backlog."""
    net = make_network(2, 1)
    request_id, _ = net.decide(timeout_s=8.0)
    net.learn(4.0)
    net.fill("coast-a-3", object_key="b")
    request = net.state("coast-a-2").requests[request_id]
    request.spilled = True
    request.retry_after_s = 99.0
    net.end(request_id, Outcome.REJECTED, reported_load=9)
    net.run(0.1)
    refused = net.decision(request_id)
    assert refused.status == 503
    assert refused.retry_after_s < 99.0


def test_a_grant_is_refused_for_what_only_the_sender_knows():
    """Guards against requests to targets that are not to get any."""
    for change in ("draining", "evacuated", "cold", "ejected", "tried"):
        net = make_network(2, 2)
        sender = net.state("coast-a-2")
        target = sender.target_directory.by_name["t0"]
        request_id = net.ask()
        match change:
            case "draining":
                target.entry = attrs.evolve(target.entry, draining=True)
            case "evacuated":
                sender.target_directory.evacuated = {"coast-a"}
            case "cold":
                target.cold_until_s = net.now_s + 9.0
                sender.pacer.next_send_s["t0"] = net.now_s + 9.0
            case "ejected":
                target.ejected_until_s = net.now_s + 9.0
            case "tried":
                sender.requests[request_id].tried.add("t0")
        grant = slot_messages.SlotGrant(
            request_id, network.SERVICE, "t0", attempt=1
        )
        net.loses = lambda _, to, message: (
            to == "coast-a-2" and type(message) is slot_messages.SlotGrant
        )
        received = events.PeerReceived(net.now_s, SCHEDULER, grant)
        net.apply("coast-a-2", received)
        assert network.forwarded(net.decision(request_id)) != "t0", change
        net.run(0.05)
        returned = net.slot_messages(slot_messages.SlotReturn)
        assert returned[0].result == slot_messages.UNUSABLE


def test_a_tick_compares_waits_once_for_all_targets(monkeypatch):
    """Guards against ticks that take longer than VMs wait for a reply.

    With 250 targets and 151 waiting requests, a tick took up to 115 ms.
    """
    net = make_network(100, 1)
    for number in range(20):
        for _ in range(3):
            net.ask("coast-a-2", object_key=f"o{number}")
    net.run(0.02)
    assert len(queued(net)) > 10
    # So late that no request gains by uncached work at another target.
    for grant in _grants(net):
        grant.granted_s -= 0.3
    calls = []
    start_delay_s = estimates.start_delay_s
    monkeypatch.setattr(
        estimates,
        "start_delay_s",
        lambda *args: calls.append(args) or start_delay_s(*args),
    )
    before = len(queued(net))
    net.apply(SCHEDULER, events.Ticked(net.now_s))
    assert len(queued(net)) == before
    assert len(calls) < 40
