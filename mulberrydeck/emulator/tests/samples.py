"""Emulated targets and scenarios for tests."""

import random

from mulberrydeck.emulator import balance
from mulberrydeck.emulator import clock
from mulberrydeck.emulator import scenario
from mulberrydeck.emulator import targets
from mulberrydeck.steering import registry

KIND = scenario.RequestClass("read", "status", 1.0, 1.0)


def make_pool():
    return balance.TargetPool("status", "coast")


def make_target(clock_, pool=None, report_age_s=0.0, **changes):
    values = {"slots": 1, "queue": 3, "reports_speed": True, **changes}
    group = scenario.TargetGroup("status", "coast-a", 1, **values)
    entry = registry.TargetEntry(
        "t1", "status", "10.0.0.1:80", "coast-a", group.slots
    )
    return targets.EmulatedTarget(
        entry,
        group,
        clock_,
        random.Random(1),
        pool or make_pool(),
        report_age_s,
    )


def make_targets(count, pool, **changes):
    shared = clock.Clock()
    return shared, [make_target(shared, pool, **changes) for _ in range(count)]


def make_job(key="a", on_done=lambda: None, **changes):
    return targets.Job(KIND, key, on_done, **changes)


def make_scenario(**changes):
    """Returns a small scenario with room for all requests."""
    values = {
        "duration_s": 5.0,
        "region_by_zone": {"coast-a": "coast", "lake-a": "lake"},
        "vms_by_zone": {"coast-a": 2, "lake-a": 2},
        "targets": tuple(
            scenario.TargetGroup("status", zone, 5)
            for zone in ("coast-a", "lake-a")
        ),
        "classes": (
            scenario.RequestClass("check", "status", 60.0, 0.36, goal_s=0.25),
        ),
    }
    return scenario.Scenario(**{**values, **changes})
