"""Tests of the quota entry points in virtual time."""

import pytest

from mulberrydeck.quota import bucket
from mulberrydeck.quota import division
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.quota.tests import fleet

ACCOUNT = "account/kilimani"


def make_fleet(rate_per_s=10.0, burst=20.0, **kwargs):
    bound = fleet.make_bound("kilimani", rate_per_s, burst)
    built = fleet.Fleet((bound,), **kwargs)
    built.run(fleet.WARM_UP_S + 1.2 * burst / rate_per_s)
    return built


def count(built, admitted=True):
    return sum(each.admitted == admitted for each in built.outcomes)


def send_steadily(built, name):
    for _ in range(24):
        built.request(name, ACCOUNT)
        built.run(built.now_s + 0.125)


def fleet_tokens(built):
    for vm in built.vms.values():
        bucket.advance(vm.quota.resources[ACCOUNT], built.clock(vm))
    return sum(vm.quota.resources[ACCOUNT].tokens for vm in built.vms.values())


@pytest.mark.parametrize("total", [1, 5, 1000])
def test_own_units_sum_to_total(total):
    shares = [
        division.own_units(total, fleet.ZONES, zone) for zone in fleet.ZONES
    ]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


def test_burst_from_idle_at_one_vm_is_admitted_whole():
    built = make_fleet()
    for _ in range(20):
        built.request("b1y", ACCOUNT)
    built.run(built.now_s + 1.0)
    assert count(built) == 20


def test_account_with_less_than_a_token_per_zone_is_served():
    built = make_fleet(rate_per_s=1.0, burst=1.0)
    built.request("c1x", ACCOUNT)
    built.run(built.now_s + 1.0)
    assert count(built) == 1


def test_exhausted_account_is_denied_before_the_wait_ends():
    built = make_fleet(rate_per_s=0.1, burst=10.0)
    for _ in range(30):
        built.request("a1x", ACCOUNT)
    built.run(built.now_s + 5.0)
    assert count(built) == 10
    denied = [each for each in built.outcomes if not each.admitted]
    wait_s = built.vms["a1x"].quota.settings.quota_wait_s
    assert all(each.decided_s - each.arrived_s < wait_s for each in denied)
    assert all(each.retry_after_s > 1.0 for each in denied)


def test_paused_borrower_uses_no_expired_loan():
    built = make_fleet()
    send_steadily(built, "b1y")
    vm = built.vms["b1y"]
    assert reducer.balances(vm.quota)[0].borrowed_units > 0
    answer, _ = reducer.admit(vm.quota, built.clock(vm) + 60.0, ACCOUNT, "r")
    assert not isinstance(answer, state.Admitted)
    assert reducer.balances(vm.quota)[0].borrowed_units == 0


def test_forgotten_request_spends_no_token():
    built = make_fleet()
    vm = built.vms["b1y"]
    answer, done = reducer.admit(vm.quota, built.clock(vm), ACCOUNT, "r")
    assert answer == state.Waiting()
    reducer.cancel(vm.quota, "r")
    built.carry_out(vm, done)
    built.run(built.now_s + 0.2)
    assert fleet_tokens(built) >= 19.9


def test_planned_stop_gives_all_loans_back():
    built = make_fleet()
    send_steadily(built, "b1y")
    vm = built.vms["b1y"]
    assert reducer.balances(vm.quota)[0].borrowed_units > 0
    built.carry_out(vm, reducer.return_all_loans(vm.quota, built.clock(vm)))
    built.run(built.now_s + 0.2)
    assert reducer.balances(vm.quota)[0].borrowed_units == 0
    assert all(
        reducer.balances(each.quota)[0].lent_units == 0
        for each in built.vms.values()
    )


def test_waiting_request_is_admitted_when_the_bound_is_removed():
    built = make_fleet(rate_per_s=0.1, burst=1.0)
    vm = built.vms["b1y"]
    built.request("b1y", ACCOUNT)
    reducer.configure(vm.quota, built.clock(vm), (), {})
    built.run(built.now_s + 0.2)
    assert count(built) == 1


def test_take_paces_to_the_rate():
    built = make_fleet(rate_per_s=1e6, burst=1e5)
    vm = built.vms["b1y"]
    taken = 0
    start_s = built.now_s
    while built.now_s < start_s + 20.0:
        wait_s = reducer.take(vm.quota, built.clock(vm), ACCOUNT, 1e4)
        taken += 1e4 if wait_s == 0 else 0
        built.run(built.now_s + wait_s)
    assert 1.6e7 <= taken <= 2.01e7


def test_idle_accounts_are_not_touched_by_tick():
    built = make_fleet()
    assert not any(vm.quota.active for vm in built.vms.values())
    assert all(vm.sent == 0 for vm in built.vms.values())


def test_retry_after_is_truthful():
    built = make_fleet(rate_per_s=2.0, burst=4.0)
    for _ in range(6):
        built.request("c2x", ACCOUNT)
    built.run(built.now_s + 0.5)
    denied = [each for each in built.outcomes if not each.admitted]
    assert denied
    late_s = max(each.decided_s + each.retry_after_s for each in denied)
    before = count(built)
    built.run(late_s)
    built.request("c2x", ACCOUNT)
    built.run(late_s + 0.5)
    assert count(built) == before + 1


def test_rate_change_under_way_stays_within_the_larger_rate():
    built = make_fleet(rate_per_s=10.0, burst=10.0)
    smaller = fleet.make_bound("kilimani", 5.0, 5.0)
    for number, name in enumerate(built.vms):
        at_s = built.now_s + 2.0 + number * 0.3
        built.at(at_s, lambda name=name: built.configure(name, (smaller,)))
        for step in range(200):
            at_s = built.now_s + 0.05 * step
            built.at(at_s, lambda name=name: built.request(name, ACCOUNT))
    start_s = built.now_s
    built.run(start_s + 12.0)
    assert fleet.largest_excess(built.outcomes, 10.0, 10.0) <= 1e-6
    settled = [o for o in built.outcomes if o.arrived_s > start_s + 5.0]
    assert fleet.largest_excess(settled, 5.0, 5.0) <= 1e-6
