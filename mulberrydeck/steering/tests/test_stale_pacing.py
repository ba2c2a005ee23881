"""Limits on requests of a VM that may not know that targets turned cold."""

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.steering import admission
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import pacing
from mulberrydeck.steering import stale_pacing
from mulberrydeck.steering.tests import samples

ZONES = ("coast-a", "coast-b", "lake-a")
# Cold rate of the sample service x cold_overage + cold_extra, their defaults.
ALLOWED_PER_S = 6.9 * 1.5 + 5.0
STEP_S = 0.02
PEER_TIMEOUT_S = 3.5
LOST_STORE = messages.SteeringHeartbeat(
    "process", True, False, reaches_store=False
)
REACHES_STORE = messages.SteeringHeartbeat(
    "process", True, False, reaches_store=True
)


def names(count):
    return [f"{ZONES[number % 3]}-{number}" for number in range(count)]


def make_vm(count, own="coast-a-0"):
    """Returns a VM with one target, which has heartbeats of all other VMs."""
    vm = samples.Vm(entries=[samples.make_entry("t1", slots=100)], name=own)
    records = tuple(
        samples.make_record(name, name.rpartition("-")[0])
        for name in names(count)
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    vm.reduce(events.StoreChecked(vm.now_s, vm.now_s))
    receive_heartbeats(
        vm,
        *(name for name in names(count) if name != own),
        heartbeat=REACHES_STORE,
    )
    return vm


def receive_heartbeats(vm, *others, heartbeat):
    for name in others:
        vm.reduce(events.PeerReceived(vm.now_s, name, heartbeat))


def lose_store(vm):
    vm.reduce(events.StoreLost(vm.now_s, "check", "silent"))


def pass_time(vm, seconds, senders=(), heartbeat=LOST_STORE):
    """Advances the clock with heartbeats from some other VMs only."""
    ends_s = vm.now_s + seconds
    while vm.now_s < ends_s:
        vm.now_s += 0.5
        receive_heartbeats(vm, *senders, heartbeat=heartbeat)
        vm.reduce(events.Ticked(vm.now_s))


def send_for(vm, seconds):
    """Lets a request arrive in every step; returns when each was sent."""
    sent = []
    for _ in range(int(seconds / STEP_S)):
        vm.now_s += STEP_S
        decision = vm.arrive()
        if isinstance(decision, effects.Forward):
            sent.append(vm.now_s)
            vm.end(decision.request_id, events.Outcome.ANSWERED, status=200)
        vm.close(f"r{vm.requests}")
    return sent


def max_in_a_second(sent):
    """Returns the most requests in a second, written as late as allowed.

    The first of them is written `SEND_WITHIN_S` after its decision, the last
    at once.
    """
    window_s = 1.0 + admission.SEND_WITHIN_S
    return max(
        sum(start_s <= at_s < start_s + window_s for at_s in sent)
        for start_s in sent
    )


def cut_off(count, together):
    """Returns a VM that reaches only VMs that lost the store as well.

    Args:
        count: Number of VMs in the fleet.
        together: Number of VMs that are cut off together, this one included.
    """
    vm = make_vm(count)
    lose_store(vm)
    pass_time(vm, PEER_TIMEOUT_S + 1.0, names(count)[1:together])
    return vm


@pytest.mark.parametrize(
    ("count", "together"), [(3, 1), (10, 1), (10, 2), (10, 4), (16, 1)]
)
def test_vms_cut_off_together_limit_requests_to_targets_that_may_be_cold(
    count, together
):
    worst = max_in_a_second(send_for(cut_off(count, together), 6.0))
    # Each informed VM sends one request in that second, up to the limit.
    senders = int(ALLOWED_PER_S * pacing.USED_FRACTION)
    others = min(count - together, senders)
    assert worst * together + others <= ALLOWED_PER_S


def test_many_vms_cut_off_together_keep_the_limit_on_average():
    count, together, seconds = 83, 14, 20.0
    sent = send_for(cut_off(count, together), seconds)
    assert len(sent) > 1
    senders = int(ALLOWED_PER_S * pacing.USED_FRACTION)
    mean_per_s = (len(sent) - 1) / seconds
    assert mean_per_s * together + senders <= ALLOWED_PER_S


def test_a_vm_with_updates_from_another_vm_is_not_limited():
    vm = make_vm(10)
    lose_store(vm)
    vm.reduce(events.Ticked(vm.now_s))
    source = vm.state.store_source.plan.source
    for _ in range(10):
        vm.now_s += 0.5
        receive_heartbeats(vm, *names(10)[1:], heartbeat=REACHES_STORE)
        vm.reduce(events.SourceChecked(vm.now_s, source, vm.now_s - 0.1))
        vm.reduce(events.Ticked(vm.now_s))
    assert max_in_a_second(send_for(vm, 0.9)) > ALLOWED_PER_S


@pytest.mark.parametrize("uninformed", [9, 6])
def test_vms_are_not_limited_if_most_vms_lost_the_store(uninformed):
    vm = make_vm(10)
    lose_store(vm)
    pass_time(vm, PEER_TIMEOUT_S + 1.0, names(10)[1 : 1 + uninformed])
    assert max_in_a_second(send_for(vm, 0.9)) > ALLOWED_PER_S


def test_a_short_loss_of_the_store_does_not_limit_requests():
    vm = make_vm(10)
    lose_store(vm)
    vm.now_s += 0.9 * stale_pacing.STALE_AFTER_S
    vm.reduce(events.Ticked(vm.now_s))
    assert max_in_a_second(send_for(vm, 0.3)) > 10


def test_the_start_and_the_end_of_the_limit_are_logged():
    vm = make_vm(10)
    lose_store(vm)
    vm.now_s += PEER_TIMEOUT_S + 1.0
    produced = vm.reduce(events.Ticked(vm.now_s))
    (started,) = (log for log in produced if _is_about_cold_targets(log))
    assert started.fields["informed"] == 9
    assert started.fields["uninformed"] == 1
    vm.reduce(events.StoreRegained(vm.now_s, "check", 4.0))
    vm.reduce(events.StoreChecked(vm.now_s, vm.now_s))
    produced = vm.reduce(events.Ticked(vm.now_s + 0.1))
    (ended,) = (log for log in produced if _is_about_cold_targets(log))
    assert ended.fields["uninformed"] == 0


def _is_about_cold_targets(effect):
    return isinstance(effect, effects.Log) and "may be cold" in effect.text
