"""Property tests of the fleet-wide bound under faults.

Messages are reordered, lost, duplicated and delayed; VMs pause, restart, stop
and are partitioned; zones change their holders.
"""

import random

import attrs
import hypothesis
from hypothesis import strategies

from mulberrydeck.quota.tests import fleet

RATE_PER_S = 20.0
BURST = 12.0
BOUND = fleet.make_bound("kilimani", RATE_PER_S, BURST)
END_S = 30.0
NAMES = [name for names in fleet.VMS_BY_ZONE.values() for name in names]


@attrs.frozen
class Step:
    at_s: float
    kind: str
    vm: str


def send_burst(built, name):
    for _ in range(8):
        built.request(name, BOUND.resource)


def send_stream(built, name):
    for number in range(60):
        at_s = built.now_s + number * 0.05
        built.at(at_s, lambda: built.request(name, BOUND.resource))


def toggle_partition(built, name):
    built.partitioned ^= {name[:2]}


KINDS = {
    "burst": send_burst,
    "stream": send_stream,
    "pause": lambda built, name: built.pause(name),
    "resume": lambda built, name: built.resume(name),
    "restart": lambda built, name: built.restart(name),
    "stop": lambda built, name: built.stop(name),
    "cut": toggle_partition,
    "hand over": lambda built, name: built.move_ownership(name[:2], name),
}


def schedule(built, plan):
    for step in plan:
        action = KINDS[step.kind]
        built.at(
            step.at_s, lambda action=action, step=step: action(built, step.vm)
        )


steps = strategies.builds(
    Step,
    at_s=strategies.floats(5.0, END_S),
    kind=strategies.sampled_from(sorted(KINDS)),
    vm=strategies.sampled_from(NAMES),
)


def usable_units(resource, now_s):
    """Computes usable units independently of the code under test."""
    own = resource.own_units + sum(
        entry.units for entry in resource.pending if entry.usable_s <= now_s
    )
    lent = sum(
        loan.units for loan in resource.lent.values() if loan.ends_s > now_s
    )
    borrowed = sum(
        loan.units
        for loan in resource.borrowed.values()
        if loan.expires_s > now_s
    )
    return max(0, own - lent) + borrowed


@attrs.define
class CentralBucket:
    """Reference bucket; the VMs together must never hold more tokens."""

    tokens: float = 0.0
    updated_s: float = 0.0
    checked_count: int = 0

    def check(self, built):
        elapsed_s = built.now_s - self.updated_s
        self.tokens = min(BURST, self.tokens + elapsed_s * RATE_PER_S)
        self.updated_s = built.now_s
        recent = built.outcomes[self.checked_count :]
        self.checked_count = len(built.outcomes)
        self.tokens -= sum(each.admitted for each in recent)
        held_tokens = sum(
            vm.quota.resources[BOUND.resource].tokens
            for vm in built.vms.values()
        )
        assert held_tokens <= self.tokens + 1e-6


def check_units(built):
    total = 0
    for vm in built.vms.values():
        resource = vm.quota.resources[BOUND.resource]
        total += usable_units(resource, built.clock(vm))
        assert resource.tokens <= resource.depth + 1e-6
        assert resource.lent_units >= 0
        assert resource.borrowed_units >= 0
    assert total <= BOUND.units


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(
    plan=strategies.lists(steps, min_size=4, max_size=25),
    seed=strategies.integers(0, 1000),
    loss=strategies.sampled_from([0.0, 0.2]),
    duplication=strategies.sampled_from([0.0, 0.3]),
    extra_delay_s=strategies.sampled_from([0.0, 0.3, 7.0]),
)
def test_bound_holds(plan, seed, loss, duplication, extra_delay_s):
    built = fleet.Fleet(
        (BOUND,),
        draw=random.Random(seed),
        loss=loss,
        duplication=duplication,
        extra_delay_s=extra_delay_s,
    )
    central = CentralBucket()

    def observe():
        check_units(built)
        central.check(built)

    built.observe = observe
    schedule(built, plan)
    built.run(END_S + 10.0)
    excess = fleet.largest_excess(built.outcomes, RATE_PER_S, BURST)
    assert excess <= 1e-6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
@hypothesis.given(
    plan=strategies.lists(steps, max_size=10),
    seed=strategies.integers(0, 1000),
)
def test_all_units_are_usable_again_after_callers_stop(plan, seed):
    built = fleet.Fleet((BOUND,), draw=random.Random(seed), loss=0.1)
    permanent = ("pause", "stop", "cut")
    schedule(built, [step for step in plan if step.kind not in permanent])
    built.run(END_S + 15.0)
    total = 0
    for vm in built.vms.values():
        resource = vm.quota.resources[BOUND.resource]
        assert not resource.queue
        total += usable_units(resource, built.clock(vm))
    assert total == BOUND.units
    assert not built.pending
