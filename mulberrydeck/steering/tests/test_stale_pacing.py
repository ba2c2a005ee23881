"""What a VM sends that may not hear that targets turn cold."""

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import pacing
from mulberrydeck.steering import stale_pacing
from mulberrydeck.steering.tests import samples

ZONES = ("coast-a", "coast-b", "lake-a")
# ColdPerS x ColdOverage + ColdSlack of the samples.
ALLOWED_PER_S = 6.9 * 1.5 + 5.0
STEP_S = 0.02
PEER_TIMEOUT_S = 3.5
LOST = messages.SteeringBeat("process", True, False, reaches_store=False)
REACHES = messages.SteeringBeat("process", True, False, reaches_store=True)


def names(count):
    return [f"{ZONES[number % 3]}-{number}" for number in range(count)]


def make_vm(count, own="coast-a-0"):
    """A VM of a fleet that has heard all others, with one target."""
    vm = samples.Vm(entries=[samples.make_entry("t1", slots=100)], name=own)
    records = tuple(
        samples.make_record(name, name.rpartition("-")[0])
        for name in names(count)
    )
    vm.reduce(events.VmsListed(vm.now_s, records, 4))
    vm.reduce(events.StoreChecked(vm.now_s, vm.now_s))
    hear(vm, *(name for name in names(count) if name != own), beat=REACHES)
    return vm


def hear(vm, *others, beat):
    for name in others:
        vm.reduce(events.PeerReceived(vm.now_s, name, beat))


def lose(vm):
    vm.reduce(events.StoreLost(vm.now_s, "check", "silent"))


def pass_time(vm, seconds, heard=(), beat=LOST):
    """Lets time pass in which a VM hears only some others."""
    ends_s = vm.now_s + seconds
    while vm.now_s < ends_s:
        vm.now_s += 0.5
        hear(vm, *heard, beat=beat)
        vm.reduce(events.Ticked(vm.now_s))


def send_for(vm, seconds):
    """Lets requests arrive all the time; returns when they were sent."""
    sent = []
    for _ in range(int(seconds / STEP_S)):
        vm.now_s += STEP_S
        chosen = vm.arrive()
        if isinstance(chosen, effects.Forward):
            sent.append(vm.now_s)
            vm.end(chosen.request_id, events.Outcome.ANSWERED, status=200)
        vm.close(f"r{vm.requests}")
    return sent


def most_in_a_second(sent):
    return max(
        sum(begun_s <= at_s < begun_s + 1.0 for at_s in sent)
        for begun_s in sent
    )


def cut_off(count, together):
    """A VM that hears only those that share its loss of the store."""
    vm = make_vm(count)
    lose(vm)
    pass_time(vm, PEER_TIMEOUT_S + 1.0, names(count)[1:together])
    return vm


@pytest.mark.parametrize(
    ("count", "together"), [(3, 1), (10, 1), (10, 2), (10, 4), (16, 1)]
)
def test_vms_cut_off_together_spare_targets_that_may_have_turned_cold(
    count, together
):
    worst = most_in_a_second(send_for(cut_off(count, together), 6.0))
    # Each VM that knows sends one in that second, where the bound allows it.
    senders = int(ALLOWED_PER_S * pacing.USED_PART)
    others = min(count - together, senders)
    assert worst * together + others <= ALLOWED_PER_S


def test_many_vms_cut_off_together_spare_targets_on_the_average():
    count, together, seconds = 83, 14, 20.0
    sent = send_for(cut_off(count, together), seconds)
    assert len(sent) > 1
    senders = int(ALLOWED_PER_S * pacing.USED_PART)
    mean_per_s = (len(sent) - 1) / seconds
    assert mean_per_s * together + senders <= ALLOWED_PER_S


def test_a_vm_that_others_feed_sends_as_usual():
    vm = make_vm(10)
    lose(vm)
    vm.reduce(events.Ticked(vm.now_s))
    source = vm.state.store_source.plan.source
    for _ in range(10):
        vm.now_s += 0.5
        hear(vm, *names(10)[1:], beat=REACHES)
        vm.reduce(events.SourceChecked(vm.now_s, source, vm.now_s - 0.1))
        vm.reduce(events.Ticked(vm.now_s))
    assert most_in_a_second(send_for(vm, 0.9)) > ALLOWED_PER_S


@pytest.mark.parametrize("heard", [9, 6])
def test_vms_that_most_others_know_no_more_than_send_as_usual(heard):
    vm = make_vm(10)
    lose(vm)
    pass_time(vm, PEER_TIMEOUT_S + 1.0, names(10)[1 : 1 + heard])
    assert most_in_a_second(send_for(vm, 0.9)) > ALLOWED_PER_S


def test_a_short_loss_of_the_store_changes_nothing():
    vm = make_vm(10)
    lose(vm)
    vm.now_s += 0.9 * stale_pacing.STALE_AFTER_S
    vm.reduce(events.Ticked(vm.now_s))
    assert most_in_a_second(send_for(vm, 0.3)) > 10


def test_a_vm_says_when_it_begins_and_ends_to_spare_targets():
    vm = make_vm(10)
    lose(vm)
    vm.now_s += PEER_TIMEOUT_S + 1.0
    produced = vm.reduce(events.Ticked(vm.now_s))
    (begun,) = (log for log in produced if _is_about_sparing(log))
    assert begun.fields["informed"] == 9
    assert begun.fields["uninformed"] == 1
    vm.reduce(events.StoreRegained(vm.now_s, "check", 4.0))
    vm.reduce(events.StoreChecked(vm.now_s, vm.now_s))
    produced = vm.reduce(events.Ticked(vm.now_s + 0.1))
    (ended,) = (log for log in produced if _is_about_sparing(log))
    assert ended.fields["uninformed"] == 0


def _is_about_sparing(effect):
    return isinstance(effect, effects.Log) and "may be cold" in effect.text
