"""Slots of targets that one steering VM grants to others, with processes."""

import re

import gevent
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = ("coast-a-1", "coast-a-2", "coast-a-3")
REQUESTS = 30


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """Three VMs of a region, which schedule the slots of two targets."""
    with steering_fleet.SteeringFleet(
        tmp_path, slot_scheduling_min_vms=2
    ) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2")
        for name in VMS:
            fleet.start_vm(name)
        waiting.until(
            lambda: all(granted_on(fleet, name) for name in VMS),
            "each VM was granted a slot",
        )
        yield fleet


def metric(fleet, vm, pattern):
    """Returns the value of a metric of a VM, 0 if it has none."""
    address = fleet.vm_addresses[vm]["metrics_address"]
    response = http_client.call(address, "GET", "/metrics")
    found = re.search(rf"^{pattern} (\S+)$", response.body.decode(), re.M)
    return float(found.group(1)) if found else 0.0


def granted_count(fleet, vm):
    return metric(fleet, vm, r'mulberrydeck_placements_total\{by="granted"\}')


def granted_on(fleet, vm):
    """Sends a request to a VM; returns whether any slot was granted to it."""
    fleet.request(fleet.client(vm), "/read/0")
    return granted_count(fleet, vm) > 0


def schedules(fleet, vm):
    """Returns whether a VM schedules the slots of the service."""
    pattern = r'mulberrydeck_scheduler_slots\{service="[^"]*"\}'
    return metric(fleet, vm, pattern) > 0


def send_all(fleet, vms):
    """Sends at-most-once requests to VMs at once; returns their statuses."""
    statuses = []

    def send(vm, number):
        _, response = fleet.request(fleet.client(vm), f"/once/{number}")
        statuses.append(response.status)

    gevent.joinall(
        [
            gevent.spawn(send, vms[number % len(vms)], number)
            for number in range(REQUESTS)
        ]
    )
    return statuses


def runs_by_path(fleet):
    paths = [
        run.path for target in fleet.targets.values() for run in target.runs
    ]
    return {path: paths.count(path) for path in paths if "/once/" in path}


# Guards against callers that wait for, or are refused because of, a scheduler
# that died, and against requests that run twice meanwhile.
def test_the_scheduler_dies_and_another_vm_takes_over(fleet):
    scheduler = next(name for name in VMS if schedules(fleet, name))
    assert send_all(fleet, VMS) == [200] * REQUESTS
    left = [name for name in VMS if name != scheduler]
    fleet.vms[scheduler].kill()
    statuses = send_all(fleet, left)
    assert statuses == [200] * REQUESTS
    assert set(runs_by_path(fleet).values()) == {2}  # Once in each round.
    before = granted_count(fleet, left[0])
    waiting.until(
        lambda: (
            granted_on(fleet, left[0])
            and granted_count(fleet, left[0]) > before
        ),
        "another VM grants slots",
    )
    assert any(schedules(fleet, name) for name in left)
