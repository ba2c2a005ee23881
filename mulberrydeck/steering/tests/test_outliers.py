"""Latency outlier detection: targets that respond, but slowly."""

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import outliers
from mulberrydeck.steering.tests import samples

MEAN_LATENCY_S = 0.2


def make_vm():
    """Returns a VM that knows the mean latency of its route."""
    vm = samples.Vm(entries=[samples.make_entry(f"t{n}") for n in range(3)])
    for number in range(30):
        run(vm, f"o{number}", MEAN_LATENCY_S)
    return vm


def run(vm, object_key, latency_s, outcome=events.Outcome.ANSWERED):
    decision = vm.arrive(object_key=object_key, timeout_s=9.0)
    assert isinstance(decision, effects.Forward)
    vm.now_s += latency_s
    vm.end(decision.request_id, outcome, status=200)
    vm.close(decision.request_id)
    return decision.target


def slow_down(vm, object_key, outcome=events.Outcome.ANSWERED):
    """Slows the owner of an object down until another target is chosen.

    Returns:
        Name of the owner, and the number of slow requests that it got.
    """
    owner = run(vm, object_key, MEAN_LATENCY_S)
    for requests in range(1, 20):
        if run(vm, object_key, 5 * MEAN_LATENCY_S, outcome) != owner:
            return owner, requests
    raise AssertionError("The owner still gets requests after 19 slow ones.")


def test_a_target_five_times_as_slow_is_avoided_within_four_requests():
    _, requests = slow_down(make_vm(), "o1")
    assert requests <= 4


def test_expired_requests_count_as_slow():
    _, requests = slow_down(make_vm(), "o1", events.Outcome.EXPIRED)
    assert requests <= 4


def test_unknown_objects_do_not_make_a_target_slow():
    vm = make_vm()
    owner = run(vm, "o1", MEAN_LATENCY_S)
    for _ in range(20):
        assert run(vm, "o1", 2.2 * MEAN_LATENCY_S) == owner


def test_a_slow_target_is_tried_again_and_used_again():
    vm = make_vm()
    owner, _ = slow_down(vm, "o1")
    vm.now_s += 2 * outliers.DECAY_S
    for _ in range(5):
        assert run(vm, "o1", MEAN_LATENCY_S) == owner


def test_a_slow_target_is_used_if_there_is_no_other():
    vm = samples.Vm(entries=[samples.make_entry("t1")])
    for latency_s in (MEAN_LATENCY_S, *[5 * MEAN_LATENCY_S] * 10):
        assert run(vm, "o1", latency_s) == "t1"


def test_slow_targets_do_not_raise_the_mean_until_they_look_normal():
    latencies = outliers.RouteLatencies()
    for _ in range(20):
        latencies.record("read", MEAN_LATENCY_S)
    for _ in range(5):
        assert (
            latencies.record("read", 5 * MEAN_LATENCY_S) > outliers.SLOW_RATIO
        )
