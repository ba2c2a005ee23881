"""Load, messages between VMs, and requests without a response."""

import math

import pytest

from mulberrydeck.emulator import baselines
from mulberrydeck.emulator import emulation
from mulberrydeck.emulator import scenario
from mulberrydeck.emulator.tests import samples
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import placement

NOISY = {
    "noise_share": 0.3,
    "noise_factor": 2.5,
    "tail": scenario.Tail(0.1, 3.0),
}


def emulate(choose=placement.choose, report_age_s=0.0, **changes):
    baselines.seed(1)
    scenario_ = samples.make_scenario(**changes)
    return emulation.Emulation(scenario_, 3, choose, report_age_s).run()


class Messenger:
    """Makes a VM send its decisions to another VM and wait for them.

    Attributes:
        on_tick: Whether decisions that come back are carried out at the next
            tick instead of at once.
    """

    def __init__(self, monkeypatch, on_tick=False):
        self.on_tick = on_tick
        self.held = {}
        self.reduce = emulation.reducer.reduce
        monkeypatch.setattr(emulation.reducer, "reduce", self._reduce)

    def _reduce(self, state, event):
        name = state.settings.name
        match event:
            case events.PeerReceived(_, sender, ("ask", decision)):
                answer = ("grant", decision)
                return [quota_effects.SendMessage(sender, answer)]
            case events.PeerReceived(_, _, ("grant", decision)):
                if not self.on_tick:
                    return [decision]
                self.held.setdefault(name, []).append(decision)
                return []
        produced = self.reduce(state, event)
        match event:
            case events.Ticked():
                return [*produced, *self.held.pop(name, [])]
            case events.RequestArrived():
                peer = next(n for n in state.settings.region_by_zone)
                return [self._asked(f"{peer}-1", each) for each in produced]
        return produced

    def _asked(self, peer, effect):
        if not isinstance(effect, effects.Forward):
            return effect
        return quota_effects.SendMessage(peer, ("ask", effect))


@pytest.mark.parametrize("on_tick", [False, True])
def test_decisions_may_follow_messages_of_other_vms(on_tick, monkeypatch):
    """Only decisions made on arrival were once possible."""
    at_once = emulate()
    Messenger(monkeypatch, on_tick)
    results = emulate()
    assert results.started == at_once.started
    assert results.overall().served == 1.0
    fastest_s = min(each.latency_s for each in results.completed)
    usual_s = min(each.latency_s for each in at_once.completed)
    assert fastest_s > usual_s


def test_requests_without_a_decision_are_reported(monkeypatch):
    """A request that a VM forgets must not vanish from the results."""
    messenger = Messenger(monkeypatch, on_tick=True)
    messenger.held = type("Lossy", (dict,), {"pop": lambda *_: []})()
    results = emulate()
    # Requests in flight fill the targets, so that the VMs refuse later ones.
    refused = sum(each.status == 503 for each in results.completed)
    assert results.unanswered > refused
    assert results.unanswered + refused == results.started


def load_of(results):
    return sorted(
        (each.arrived_s, each.kind, each.region, each.account)
        for each in results.completed
    )


def test_the_load_is_the_same_for_each_policy_and_number_of_vms():
    """Otherwise, differences of results might come from the load."""
    own = emulate(**NOISY)
    vms = {"coast-a": 5, "lake-a": 1}
    others = [
        emulate(baselines.BY_NAME["free-slots"], 1.0, **NOISY),
        emulate(baselines.BY_NAME["uniform"], vms_by_zone=vms, **NOISY),
    ]
    assert all(load_of(other) == load_of(own) for other in others)


def test_machines_are_slow_at_the_same_times_for_each_policy():
    def noise(choose):
        run = emulation.Emulation(samples.make_scenario(**NOISY), 3, choose)
        factors = []

        def observe():
            factors.append([t.noise_factor for t in run.targets.values()])
            run.clock.after(0.3, observe)

        run.clock.after(0.1, observe)
        run.run()
        return factors[:30]

    own = noise(placement.choose)
    assert own == noise(baselines.BY_NAME["uniform"])
    assert all(each.count(2.5) == 3 for each in own)
    assert len({tuple(each) for each in own}) > 5


def test_runs_of_a_baseline_can_be_repeated():
    choose = baselines.BY_NAME["two-choices"]
    assert emulate(choose, **NOISY).overall() == (
        emulate(choose, **NOISY).overall()
    )


def test_old_reports_make_vms_choose_the_same_target():
    """The measurement must show herding where it is known to occur."""
    choose = baselines.BY_NAME["least-loaded"]
    vms = {"coast-a": 12, "lake-a": 12}
    fresh = emulate(choose, vms_by_zone=vms)
    old = emulate(choose, 1.0, vms_by_zone=vms)
    assert old.overall().waited_beside_free > (
        1.2 * fresh.overall().waited_beside_free
    )
    assert fresh.mean_unevenness() > 0.0


def test_reported_speeds_reach_vms(monkeypatch):
    speeds = set()
    reduce = emulation.reducer.reduce

    def observe(state, event):
        if isinstance(event, events.AttemptEnded):
            speeds.add(event.reported_speed)
        return reduce(state, event)

    monkeypatch.setattr(emulation.reducer, "reduce", observe)
    emulate(**NOISY)
    assert speeds == {None}
    reporting = scenario.TargetGroup("status", "coast-a", 9, reports_speed=True)
    emulate(targets=(reporting,), **NOISY)
    assert speeds == {None, 1.0, 2.5}


def test_surges_multiply_the_load_of_their_kind_and_account_only():
    surge = scenario.Surge(0.0, 5.0, 4.0, account="b", kind="check")
    run = emulation.Emulation(samples.make_scenario(surges=(surge,)), 1)
    run.clock.run(emulation.WARMUP_S + 1.0)
    usual = run.load_factor("coast", "a", "check")
    assert run.load_factor("coast", "b", "other") == usual
    assert math.isclose(run.load_factor("coast", "b", "check"), 4 * usual)


def test_small_accounts_have_bursts_too():
    """Intervals drawn before a burst must not outlast it."""
    plan = scenario.AccountPlan("small", count=200)
    surge = scenario.Surge(2.0, 2.0, 10.0)
    results = emulate(accounts=(plan,), surges=(surge,), wave=0.0)
    starts = [e.arrived_s - emulation.WARMUP_S for e in results.completed]
    burst = sum(2.0 <= each < 4.0 for each in starts)
    before = sum(each < 2.0 for each in starts)
    # The rate of the burst applies half a second late at most.
    assert burst > 7 * before
    assert len({each.account for each in results.completed}) > 150


def test_vms_are_spread_as_in_the_scenario():
    vms = {"a": 11, "b": 10, "c": 11, "d": 10, "e": 11, "f": 10}
    scenario_ = samples.make_scenario(vms_by_zone=vms)
    for count in (10, 63, 124, 195):
        spread = scenario.with_vms(scenario_, count).vms_by_zone
        assert sum(spread.values()) == count
        assert max(spread.values()) - min(spread.values()) <= 0.02 * count + 1


def test_vms_know_priorities_and_have_the_given_settings():
    classes = (scenario.RequestClass("check", "status", 1.0, 0.3, priority=2),)
    run = emulation.Emulation(
        samples.make_scenario(classes=classes), 1, settings={"retry_ratio": 0.3}
    )
    for vm in run.vms.values():
        assert vm.state.settings.retry_ratio == 0.3
        route = vm.state.table.route_of(emulation.HOST, "/check/1")
        assert route.priority == 2


def test_exact_loads_leave_fewer_waits_beside_free_slots():
    """The reference must know more than VMs that learn from responses."""
    load = {"vms_by_zone": {"coast-a": 12, "lake-a": 12}}
    run = emulation.Emulation(samples.make_scenario(**load), 3)
    for vm in run.vms.values():
        vm.state.choose = baselines.with_exact_loads(run.targets)
    exact = run.run().overall()
    own = emulate(**load).overall()
    assert exact.asked == own.asked
    assert exact.waited_beside_free < 0.7 * own.waited_beside_free


def test_a_multiple_of_the_load_keeps_the_shares_of_kinds():
    classes = (
        scenario.RequestClass("a", "status", 40.0, 0.3),
        scenario.RequestClass("b", "status", 10.0, 0.3),
    )
    heavier = scenario.with_load(samples.make_scenario(classes=classes), 1.5)
    assert [kind.rate_per_s for kind in heavier.classes] == [60.0, 15.0]
