"""Emulates loads that the policies must handle; checks the callers' results."""

import math
import pathlib

import pytest

from mulberrydeck.emulator import baselines
from mulberrydeck.emulator import emulation
from mulberrydeck.emulator import scenario
from mulberrydeck.steering import outliers
from mulberrydeck.steering import placement

REGION_BY_ZONE = {"coast-a": "coast", "lake-a": "lake", "hills-a": "hills"}


def make_scenario(**changes):
    values = {
        "duration_s": 14.0,
        "region_by_zone": REGION_BY_ZONE,
        "vms_by_zone": {"coast-a": 2, "lake-a": 2, "hills-a": 2},
        "targets": tuple(
            scenario.TargetGroup("status", zone, count)
            for zone, count in (("coast-a", 1), ("lake-a", 3), ("hills-a", 4))
        ),
        "classes": (
            scenario.RequestClass("check", "status", 150.0, 0.36, goal_s=0.25),
        ),
        "wave_period_s": 14.0,
    }
    return scenario.Scenario(**{**values, **changes})


def emulate(choose=placement.choose, seed=5, **changes):
    return emulation.Emulation(make_scenario(**changes), seed, choose).run()


@pytest.mark.parametrize("name", ["uniform", "least-loaded"])
def test_waves_in_uneven_regions_are_served_where_baselines_fail(name):
    """Sending an object's requests to its owner keeps load below capacity."""
    own = emulate().overall()
    baseline = emulate(baselines.BY_NAME[name]).overall()
    assert own.served > 0.99
    assert own.on_time > 0.75
    assert own.on_time > baseline.on_time + 0.5


@pytest.mark.parametrize("seed", [5, 6, 7])
def test_own_region_first_crosses_fewer_links_and_serves_no_fewer(seed):
    """Regions of very unequal size, which cannot share the peaks of waves."""
    own = emulate(seed=seed)
    one_owner = emulate(baselines.BY_NAME["one-owner"], seed=seed)
    assert own.remote_fraction < 0.6 * one_owner.remote_fraction
    assert own.overall().served > one_owner.overall().served - 0.01
    assert own.overall().on_time > one_owner.overall().on_time - 0.05


def test_own_region_first_serves_more_in_time_on_a_heavy_day():
    """An account far over its rate, and a surge of all callers."""
    path = pathlib.Path(__file__).parents[3] / "examples" / "heavy.toml"
    heavy = scenario.load(path)
    own = emulation.Emulation(heavy, 1, placement.choose).run()
    one_owner = emulation.Emulation(
        heavy, 1, baselines.BY_NAME["one-owner"]
    ).run()
    assert own.remote_fraction < one_owner.remote_fraction
    assert own.overall().served > one_owner.overall().served - 0.01
    assert own.overall().on_time > one_owner.overall().on_time


def test_all_regions_are_served_equally():
    regions = emulate().by_attribute("region")
    worst = min(region.on_time for region in regions.values())
    best = max(region.on_time for region in regions.values())
    assert worst > best - 0.15


def test_an_account_far_over_its_rate_does_not_affect_the_others():
    accounts = (
        scenario.AccountPlan("hot", 1.0, 80.0, 80.0),
        scenario.AccountPlan("calm", 1.0, 120.0, 120.0),
    )
    surge = scenario.Surge(4.0, 8.0, 6.0, "hot")
    by_account = emulate(accounts=accounts, surges=(surge,)).by_attribute(
        "account"
    )
    assert by_account["calm"].served > 0.97
    assert by_account["hot"].refused > 0.3
    allowed = 80.0 * (14.0 + 4.0) + 80.0
    assert by_account["hot"].served * by_account["hot"].asked <= allowed


def test_refusals_are_immediate_under_overload():
    surge = scenario.Surge(4.0, 6.0, 5.0)
    results = emulate(surges=(surge,))
    assert results.overall().refused > 0.05
    refused = [each for each in results.completed if each.status == 503]
    # A refused caller retries once, after a third of its time at most.
    assert max(each.latency_s for each in refused) < 1.3


def test_service_recovers_after_an_overload():
    surge = scenario.Surge(3.0, 4.0, 5.0)
    results = emulate(surges=(surge,))
    late = [
        e for e in results.completed if e.arrived_s > emulation.WARMUP_S + 9.0
    ]
    assert sum(each.status == 200 for each in late) > 0.98 * len(late)


@pytest.mark.parametrize("seed", [5, 6, 7])
def test_slow_targets_cost_fewer_requests_than_without_latency_ratios(
    seed, monkeypatch
):
    """A quarter of the targets takes five times as long for half of the run."""
    slowdowns = (scenario.Slowdown(4.0, 7.0, 0.25, 5.0),)
    own = emulate(seed=seed, slowdowns=slowdowns).overall()
    monkeypatch.setattr(outliers, "SLOW_RATIO", math.inf)
    without_ratios = emulate(seed=seed, slowdowns=slowdowns).overall()
    assert 1 - own.served < 0.7 * (1 - without_ratios.served)
    assert own.on_time > without_ratios.on_time


def test_equal_seeds_give_equal_results():
    assert emulate().overall() == emulate().overall()
