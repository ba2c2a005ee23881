"""Random failures: each attempt gets one decision, and nothing is left."""

import collections
import random

import pytest

from mulberrydeck.scheduling.tests import network
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

Outcome = events.Outcome
CORES = {
    "coast-a-1": 2.0,
    "coast-a-2": 1.0,
    "coast-b-1": 1.0,
    "lake-a-1": 1.0,
}
ROUTES = tuple(
    samples.make_route(
        name=name,
        prefix=f"/{name}/",
        repeatability=repeatability,
        timeout_s=4.0,
        target_latency_s=0.6,
        priority=priority,
    )
    for name, repeatability, priority in (
        ("read", tables.Repeatability.SAFE, 1),
        ("post", tables.Repeatability.AT_MOST_ONCE, 0),
    )
)
# Outcomes after which the request may have run.
RAN = (Outcome.ANSWERED, Outcome.BROKEN, Outcome.UNCLEAR, Outcome.EXPIRED)

SLOTS = 2


class Callers:
    """Sends requests, ends their attempts, and checks all decisions."""

    def __init__(self, net, rng):
        self.net = net
        self.rng = rng
        self.open = {}
        self.ran = set()
        self.tried = collections.defaultdict(set)

    def step(self):
        net, rng = self.net, self.rng
        for _ in range(rng.randrange(4)):
            request_id = net.ask(
                rng.choice(list(net.vms)),
                path=f"/{rng.choice(('read', 'post'))}/1",
                object_key=rng.choice(("", "a", "b", "c", "d")),
                timeout_s=rng.choice((0.5, 2.0, 4.0)),
            )
            self.open[request_id] = 0
        for request_id in list(self.open):
            self._continue(request_id)

    def _continue(self, request_id):
        net, rng = self.net, self.rng
        decisions = net.decisions[request_id]
        handled = self.open[request_id]
        assert len(decisions) <= handled + 1, decisions
        if len(decisions) == handled:
            if rng.random() < 0.01:
                self._close(request_id)
            return
        decision = decisions[-1]
        if not isinstance(decision, effects.Forward):
            if request_id in self.ran and isinstance(decision, effects.Refuse):
                assert decision.status not in (408, 421, 429, 503)
            self._close(request_id)
        elif net.now_s >= decision.deadline_s:
            self._end(request_id, decision, Outcome.EXPIRED)
        elif rng.random() < 0.15:
            self._end(request_id, decision, rng.choice(list(Outcome)))

    def _end(self, request_id, decision, outcome):
        if request_id in self.ran:
            assert decision.repeatable
        assert decision.target not in self.tried[request_id]
        changes = {"reported_load": self.rng.randrange(3)}
        may_repeat = outcome is Outcome.DELAYED or (
            outcome is Outcome.REJECTED and changes["reported_load"] < SLOTS
        )
        if not may_repeat:
            self.tried[request_id].add(decision.target)
        if outcome in RAN:
            self.ran.add(request_id)
        self.open[request_id] += 1
        if outcome is Outcome.ANSWERED:
            changes["status"] = self.rng.choice((200, 200, 500))
        self.net.end(request_id, outcome, reported_speed=1.0, **changes)

    def _close(self, request_id):
        self.net.close(request_id)
        del self.open[request_id]


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_random_failures_lose_and_repeat_no_request(seed):
    """Guards against callers without a reply, second runs, and leaks.

    Messages are lost, VMs stall, targets change, and a scheduler stops.
    """
    rng = random.Random(seed)
    entries = [
        samples.make_entry(f"t{number}", zone=zone, slots=SLOTS)
        for number, zone in enumerate(
            ("coast-a", "coast-b", "coast-b", "lake-a")
        )
    ]
    net = network.Network(
        entries, CORES, samples.make_table(*ROUTES), stop_timeout_s=30.0
    )
    callers = Callers(net, rng)
    net.loses = lambda *_: rng.random() < 0.05
    for step in range(250):
        callers.step()
        net.run(0.02 + 0.04 * rng.random())
        _disturb(net, rng)
        if step == 150:
            net.apply("coast-a-1", events.StopRequested(net.now_s))
    net.loses = lambda *_: False
    for _ in range(250):
        for request_id in list(callers.open):
            callers._continue(request_id)
        net.run(0.05)
    assert not callers.open
    net.run(5.0)
    _assert_empty(net)


def _disturb(net, rng):
    """Stalls a VM or changes a target, now and then."""
    if rng.random() < 0.04:
        name = rng.choice(list(net.vms))
        if name not in net.stalled:
            net.stall(name, rng.choice((0.2, 1.0, 3.0)))
    if rng.random() < 0.04:
        entry = samples.make_entry(
            f"t{rng.randrange(4)}",
            slots=2,
            zone="coast-b",
            started_ms=rng.randrange(3),
            draining=rng.random() < 0.3,
        )
        for name in net.vms:
            net.apply(name, events.TargetChanged(net.now_s, entry, 9))


def _assert_empty(net):
    for vm in net.vms.values():
        assert not vm.state.requests
        assert not vm.state.slot_client.asked
        assert not vm.state.scheduler.grants
        assert not vm.state.scheduler.queued
        for schedule in vm.state.scheduler.services.values():
            assert not schedule.waits
        for target in vm.state.target_directory.by_name.values():
            assert target.in_flight == 0
