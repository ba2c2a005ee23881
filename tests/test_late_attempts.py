"""Attempts for which a busy VM was too late, in virtual time."""

from bench import single_vm
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import requests
from mulberrydeck.forward import outcomes
from mulberrydeck.routing import reducer as routing

REQUEST_ID = "r1"
STALL_S = 0.3
HANDOVER_S = 10.0
MANY_REQUESTS = 10


def relaying_vm():
    """Returns a VM whose requests only one other VM can serve."""
    vm = single_vm.SingleVm(
        single_vm.Size(accounts=1, targets=2, vms=2, zones=2, services=1)
    )
    vm.now_s += HANDOVER_S
    vm.join_peers()
    return vm


def sole_vm():
    """Returns a VM that owns the only target."""
    vm = single_vm.SingleVm(
        single_vm.Size(accounts=1, targets=1, vms=1, zones=1, services=1)
    )
    vm.serve()
    vm.now_s += HANDOVER_S
    # A lease of its target that is renewed without the timer.
    vm.state.routing.grants.expires_s["t0"] = vm.now_s + HANDOVER_S
    return vm


def arrive(vm):
    """Returns the effects of a new request."""
    return vm.feed(
        events.RequestArrived(
            vm.now_s, REQUEST_ID, "s0", "GET", "/x", vm.secret
        )
    )


def relayed(vm):
    """Returns the effects of a request that another VM relays."""
    return vm.feed(
        events.RequestArrived(
            vm.now_s,
            REQUEST_ID,
            "s0",
            "GET",
            "/x",
            relayed_account=single_vm.ACCOUNT,
            relayed_attempt=1,
        )
    )


def end_late(vm, forward, **changes):
    """Ends an attempt that a stall kept from being sent."""
    vm.now_s += STALL_S
    values = {
        "outcome": outcomes.AttemptOutcome.NOT_SENT,
        "replayable": True,
    }
    return vm.feed(
        events.AttemptEnded(
            vm.now_s, REQUEST_ID, forward.attempt, **(values | changes)
        )
    )


def test_a_stall_before_a_relay_refuses_no_request_that_one_vm_can_serve():
    vm = relaying_vm()
    [forward] = arrive(vm)
    for _ in range(requests.MAX_UNSENT_ATTEMPTS):
        previous = forward
        [forward] = end_late(vm, previous)
        assert isinstance(forward, effects.ForwardToVm), forward
        assert forward.vm == previous.vm
        assert forward.start_by_s > vm.now_s


def test_a_stall_before_sending_to_the_only_target_refuses_no_request():
    vm = sole_vm()
    [forward] = arrive(vm)
    for _ in range(requests.MAX_UNSENT_ATTEMPTS):
        [forward] = end_late(vm, forward)
        assert isinstance(forward, effects.ForwardToTarget), forward
        assert forward.start_by_s > vm.now_s
    assert vm.state.routing.targets["t0"].used == 1


def test_a_stall_of_the_owner_refuses_no_relayed_request():
    vm = sole_vm()
    [forward] = relayed(vm)
    [forward] = end_late(vm, forward)
    assert isinstance(forward, effects.ForwardToTarget), forward


def test_a_stall_before_sending_ejects_no_target():
    vm = sole_vm()
    for _ in range(MANY_REQUESTS):
        [forward] = arrive(vm)
        end_late(vm, forward, replayable=False)
        vm.feed(events.RequestClosed(vm.now_s, REQUEST_ID))
    [status] = routing.target_statuses(vm.state.routing, vm.now_s)
    assert (status.state, status.used_slots) == ("ready", 0)


def test_a_late_request_is_not_sent_to_a_target_that_has_left_meanwhile():
    vm = sole_vm()
    [forward] = arrive(vm)
    leaving = events.TargetReport(True, True, 4, 0)
    vm.feed(events.TargetPolled(vm.now_s, "t0", leaving))
    [refusal] = end_late(vm, forward)
    assert isinstance(refusal, effects.Refuse)
    assert vm.state.routing.targets["t0"].used == 0


def test_a_hop_for_which_all_attempts_are_late_is_given_up():
    vm = relaying_vm()
    [forward] = arrive(vm)
    for _ in range(requests.MAX_UNSENT_ATTEMPTS):
        [forward] = end_late(vm, forward)
    [refusal] = end_late(vm, forward)
    assert refusal.problem.kind == "no-capacity"


def test_late_attempts_end_with_the_deadline():
    vm = relaying_vm()
    [forward] = arrive(vm)
    vm.now_s += forward.remaining_s
    [refusal] = end_late(vm, forward)
    assert refusal.problem.kind == "deadline-exceeded"
