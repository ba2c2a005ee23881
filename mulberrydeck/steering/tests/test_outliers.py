"""Targets that work, but slowly."""

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import outliers
from mulberrydeck.steering.tests import samples

USUAL_S = 0.2


def make_vm():
    """A VM that knows the usual time of its route."""
    vm = samples.Vm(entries=[samples.make_entry(f"t{n}") for n in range(3)])
    for number in range(30):
        run(vm, f"o{number}", USUAL_S)
    return vm


def run(vm, object_key, taken_s, outcome=events.Outcome.ANSWERED):
    decision = vm.arrive(object_key=object_key, deadline_s=9.0)
    assert isinstance(decision, effects.Forward)
    vm.now_s += taken_s
    vm.end(decision.request_id, outcome, status=200)
    vm.close(decision.request_id)
    return decision.target


def slow_down(vm, object_key, outcome=events.Outcome.ANSWERED):
    """Makes the owner of an object slow; returns it and the tries it took."""
    owner = run(vm, object_key, USUAL_S)
    for tries in range(1, 20):
        if run(vm, object_key, 5 * USUAL_S, outcome) != owner:
            return owner, tries
    raise AssertionError("The owner was never left.")


def test_a_target_that_is_five_times_as_slow_is_left_within_four_requests():
    _, tries = slow_down(make_vm(), "o1")
    assert tries <= 4


def test_requests_that_run_out_of_time_tell_the_same():
    _, tries = slow_down(make_vm(), "o1", events.Outcome.EXPIRED)
    assert tries <= 4


def test_unknown_objects_do_not_make_a_target_slow():
    vm = make_vm()
    owner = run(vm, "o1", USUAL_S)
    for _ in range(20):
        assert run(vm, "o1", 2.2 * USUAL_S) == owner


def test_a_slow_target_is_tried_again_and_taken_back():
    vm = make_vm()
    owner, _ = slow_down(vm, "o1")
    vm.now_s += 2 * outliers.FADE_S
    for _ in range(5):
        assert run(vm, "o1", USUAL_S) == owner


def test_slow_targets_serve_when_there_are_no_others():
    vm = samples.Vm(entries=[samples.make_entry("t1")])
    for taken_s in (USUAL_S, *[5 * USUAL_S] * 10):
        assert run(vm, "o1", taken_s) == "t1"


def test_slow_targets_do_not_become_the_usual():
    times = outliers.RouteLatencies()
    for _ in range(20):
        times.relative("read", USUAL_S)
    for _ in range(5):
        assert times.relative("read", 5 * USUAL_S) > outliers.SLOW_RATIO
