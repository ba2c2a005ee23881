"""Plays the loads that the policies answer and checks what callers get."""

import math

import pytest

from mulberrydeck.emulator import baselines
from mulberrydeck.emulator import day
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


def play(choose=placement.choose, seed=5, **changes):
    return day.Day(make_scenario(**changes), seed, choose).play()


@pytest.mark.parametrize("name", ["uniform", "least-loaded"])
def test_waves_on_uneven_regions_are_served_where_others_fail(name):
    """Objects that stay at their owner keep the load below the room."""
    own = play().whole()
    other = play(baselines.BY_NAME[name]).whole()
    assert own.served > 0.99
    assert own.on_time > 0.75
    assert own.on_time > other.on_time + 0.5


def test_every_region_is_served_alike():
    regions = play().by("region")
    worst = min(region.on_time for region in regions.values())
    best = max(region.on_time for region in regions.values())
    assert worst > best - 0.15


def test_an_account_far_over_its_rate_takes_nothing_from_the_others():
    accounts = (
        scenario.AccountPlan("hot", 1.0, 80.0, 80.0),
        scenario.AccountPlan("calm", 1.0, 120.0, 120.0),
    )
    surge = scenario.Surge(4.0, 8.0, 6.0, "hot")
    played = play(accounts=accounts, surges=(surge,)).by("account")
    assert played["calm"].served > 0.97
    assert played["hot"].refused > 0.3
    allowed = 80.0 * (14.0 + 4.0) + 80.0
    assert played["hot"].served * played["hot"].asked <= allowed


def test_refusals_come_at_once_under_overload():
    surge = scenario.Surge(4.0, 6.0, 5.0)
    played = play(surges=(surge,))
    assert played.whole().refused > 0.05
    refused = [each for each in played.ended if each.status == 503]
    # A caller that is refused comes back once, after a third of its time.
    assert max(each.taken_s for each in refused) < 1.3


def test_service_returns_after_an_overload():
    surge = scenario.Surge(3.0, 4.0, 5.0)
    played = play(surges=(surge,))
    late = [e for e in played.ended if e.arrived_s > day.LEAD_S + 9.0]
    assert sum(each.status == 200 for each in late) > 0.98 * len(late)


@pytest.mark.parametrize("seed", [5, 6, 7])
def test_slow_targets_cost_fewer_requests_than_without_times(seed, monkeypatch):
    """A quarter of the targets works five times as long for half the day."""
    slowdowns = (scenario.Slowdown(4.0, 7.0, 0.25, 5.0),)
    own = play(seed=seed, slowdowns=slowdowns).whole()
    monkeypatch.setattr(outliers, "SLOW_RATIO", math.inf)
    blind = play(seed=seed, slowdowns=slowdowns).whole()
    assert 1 - own.served < 0.7 * (1 - blind.served)
    assert own.on_time > blind.on_time


def test_equal_seeds_give_equal_days():
    assert play().whole() == play().whole()
