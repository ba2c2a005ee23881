"""Compares slot scheduling with the choice of each VM on its own.

The load exceeds the slots at times, so that the baseline rejects requests.
"""

import pytest

from mulberrydeck.emulator import emulation
from mulberrydeck.emulator import scenario

REGION_BY_ZONE = {"coast-a": "coast", "lake-a": "lake"}


def _scenario():
    return scenario.Scenario(
        duration_s=10.0,
        region_by_zone=REGION_BY_ZONE,
        vms_by_zone={"coast-a": 4, "lake-a": 4},
        targets=(
            scenario.TargetGroup(
                "status", "coast-a", 12, 3, 6, 16, reports_speed=True
            ),
            scenario.TargetGroup(
                "status", "lake-a", 16, 3, 6, 16, reports_speed=True
            ),
        ),
        classes=(
            scenario.RequestClass(
                "read",
                "status",
                60.0,
                0.9,
                objects=160,
                goal_s=0.7,
                deadline_s=4.5,
                timeout_s=4.5,
                late_value=0.2,
            ),
            scenario.RequestClass(
                "post",
                "status",
                20.0,
                1.1,
                objects=80,
                goal_s=0.9,
                deadline_s=6.0,
                timeout_s=6.0,
                repeatable=False,
                value=2.0,
                late_value=0.4,
            ),
        ),
        surges=(scenario.Surge(3.0, 3.0, 3.0, kind="read"),),
        wave=0.4,
        wave_period_s=10.0,
        noise_share=0.15,
        noise_factor=2.5,
    )


def _emulate(seed, **changes):
    return emulation.Emulation(_scenario(), seed, settings=changes).run()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_requests_are_on_time_than_without_a_scheduler(seed):
    """Guards against a scheduler that is no better than VMs on their own."""
    scheduled = _emulate(seed, slot_scheduling_min_vms=1).overall()
    alone = _emulate(seed, slot_scheduling_min_vms=0).overall()
    assert alone.refused > 0.03
    assert scheduled.on_time > alone.on_time + 0.15
    assert scheduled.value > alone.value
    assert scheduled.waited_beside_free < 0.2 * alone.waited_beside_free
