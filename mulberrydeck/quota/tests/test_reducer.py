"""Tests of the quota reducer on a simulated fleet in virtual time."""

import pytest

from mulberrydeck.quota import bucket
from mulberrydeck.quota import division
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.quota.tests import fleet

ACCOUNT = "account/kilimani"


def make_fleet(rate_per_s=10.0, burst=20.0, **kwargs):
    bound = fleet.make_bound("kilimani", rate_per_s, burst)
    simulated = fleet.Fleet((bound,), **kwargs)
    simulated.run(fleet.WARM_UP_S + 1.2 * burst / rate_per_s)
    return simulated


def count_outcomes(simulated, admitted=True):
    return sum(each.admitted == admitted for each in simulated.outcomes)


def send_steadily(simulated, name):
    for _ in range(24):
        simulated.request(name, ACCOUNT)
        simulated.run(simulated.now_s + 0.125)


def fleet_tokens(simulated):
    for vm in simulated.vms.values():
        bucket.advance(vm.quota.resources[ACCOUNT], simulated.clock(vm))
    return sum(
        vm.quota.resources[ACCOUNT].tokens for vm in simulated.vms.values()
    )


@pytest.mark.parametrize("total", [1, 5, 1000])
def test_own_units_sum_to_total(total):
    shares = [
        division.own_units(total, fleet.ZONES, zone) for zone in fleet.ZONES
    ]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


def test_full_burst_at_one_vm_is_admitted_after_idle():
    simulated = make_fleet()
    for _ in range(20):
        simulated.request("b1y", ACCOUNT)
    simulated.run(simulated.now_s + 1.0)
    assert count_outcomes(simulated) == 20


def test_account_with_less_than_a_token_per_zone_is_served():
    simulated = make_fleet(rate_per_s=1.0, burst=1.0)
    simulated.request("c1x", ACCOUNT)
    simulated.run(simulated.now_s + 1.0)
    assert count_outcomes(simulated) == 1


def test_exhausted_account_is_denied_before_the_wait_ends():
    simulated = make_fleet(rate_per_s=0.1, burst=10.0)
    for _ in range(30):
        simulated.request("a1x", ACCOUNT)
    simulated.run(simulated.now_s + 5.0)
    assert count_outcomes(simulated) == 10
    denied = [each for each in simulated.outcomes if not each.admitted]
    wait_s = simulated.vms["a1x"].quota.settings.quota_wait_s
    assert all(each.decided_s - each.arrived_s < wait_s for each in denied)
    assert all(each.retry_after_s > 1.0 for each in denied)


def test_paused_borrower_uses_no_expired_loan():
    simulated = make_fleet()
    send_steadily(simulated, "b1y")
    vm = simulated.vms["b1y"]
    assert reducer.balances(vm.quota)[0].borrowed_units > 0
    result, _ = reducer.admit(
        vm.quota, simulated.clock(vm) + 60.0, ACCOUNT, "r"
    )
    assert not isinstance(result, state.Admitted)
    assert reducer.balances(vm.quota)[0].borrowed_units == 0


def test_cancelled_request_spends_no_token():
    simulated = make_fleet()
    vm = simulated.vms["b1y"]
    result, produced = reducer.admit(
        vm.quota, simulated.clock(vm), ACCOUNT, "r"
    )
    assert result == state.Waiting()
    reducer.cancel(vm.quota, "r")
    simulated.apply_effects(vm, produced)
    simulated.run(simulated.now_s + 0.2)
    assert fleet_tokens(simulated) >= 19.9


def test_planned_stop_returns_all_loans():
    simulated = make_fleet()
    send_steadily(simulated, "b1y")
    vm = simulated.vms["b1y"]
    assert reducer.balances(vm.quota)[0].borrowed_units > 0
    simulated.apply_effects(
        vm, reducer.return_all_loans(vm.quota, simulated.clock(vm))
    )
    simulated.run(simulated.now_s + 0.2)
    assert reducer.balances(vm.quota)[0].borrowed_units == 0
    assert all(
        reducer.balances(each.quota)[0].lent_units == 0
        for each in simulated.vms.values()
    )


def test_waiting_request_is_admitted_when_the_bound_is_removed():
    simulated = make_fleet(rate_per_s=0.1, burst=1.0)
    vm = simulated.vms["b1y"]
    simulated.request("b1y", ACCOUNT)
    reducer.configure(vm.quota, simulated.clock(vm), (), {})
    simulated.run(simulated.now_s + 0.2)
    assert count_outcomes(simulated) == 1


def test_take_is_paced_to_the_rate():
    simulated = make_fleet(rate_per_s=1e6, burst=1e5)
    vm = simulated.vms["b1y"]
    taken = 0
    start_s = simulated.now_s
    while simulated.now_s < start_s + 20.0:
        wait_s = reducer.take(vm.quota, simulated.clock(vm), ACCOUNT, 1e4)
        taken += 1e4 if wait_s == 0 else 0
        simulated.run(simulated.now_s + wait_s)
    assert 1.6e7 <= taken <= 2.01e7


def test_tick_skips_idle_accounts():
    simulated = make_fleet()
    assert not any(vm.quota.active for vm in simulated.vms.values())
    assert all(vm.sent == 0 for vm in simulated.vms.values())


def test_request_is_admitted_after_retry_after():
    simulated = make_fleet(rate_per_s=2.0, burst=4.0)
    for _ in range(6):
        simulated.request("c2x", ACCOUNT)
    simulated.run(simulated.now_s + 0.5)
    denied = [each for each in simulated.outcomes if not each.admitted]
    assert denied
    late_s = max(each.decided_s + each.retry_after_s for each in denied)
    before = count_outcomes(simulated)
    simulated.run(late_s)
    simulated.request("c2x", ACCOUNT)
    simulated.run(late_s + 0.5)
    assert count_outcomes(simulated) == before + 1


def test_staggered_rate_change_stays_within_the_larger_rate():
    simulated = make_fleet(rate_per_s=10.0, burst=10.0)
    smaller = fleet.make_bound("kilimani", 5.0, 5.0)
    for number, name in enumerate(simulated.vms):
        at_s = simulated.now_s + 2.0 + number * 0.3
        simulated.at(
            at_s, lambda name=name: simulated.configure(name, (smaller,))
        )
        for step in range(200):
            at_s = simulated.now_s + 0.05 * step
            simulated.at(
                at_s, lambda name=name: simulated.request(name, ACCOUNT)
            )
    start_s = simulated.now_s
    simulated.run(start_s + 12.0)
    assert fleet.largest_excess(simulated.outcomes, 10.0, 10.0) <= 1e-6
    settled = [o for o in simulated.outcomes if o.arrived_s > start_s + 5.0]
    assert fleet.largest_excess(settled, 5.0, 5.0) <= 1e-6
