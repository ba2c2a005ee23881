"""VMs of a small fleet that lost the store keep the bounds of operators."""

import time

import gevent
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = {"coast-a-1": "coast-a", "coast-b-1": "coast-b", "lake-a-1": "lake-a"}
LOST = "coast-a-1"
# After so long without the store, a VM must have turned to another one.
TOUCH_S = 3.0
# Of the users' platform: the shortest bound for versions and drains, and those
# for keys and evacuations.
APPLY_S = 2.0
REVOKE_S = 5.0
EVACUATION_S = 5.0


@pytest.fixture(name="fleet", params=["refuse", "silence"])
def fixture_fleet(tmp_path, request):
    """A VM in each zone, of which one has lost the store, and two targets."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2", zone="lake-a")
        for name, zone in VMS.items():
            fleet.start_vm(name, zone)
        ip = fleet.vm_addresses[LOST]["caller_address"].partition(":")[0]
        getattr(fleet.store, request.param)(ip)
        gevent.sleep(TOUCH_S)
        yield fleet


def _status(fleet, path, **headers):
    _, answer = fleet.request(fleet.client(LOST, **headers), path)
    return getattr(answer, "status", None)


def _taken_s(condition, what):
    """Returns how long a condition takes to come true, in seconds."""
    begun_s = time.monotonic()
    waiting.until(condition, what)
    return time.monotonic() - begun_s


def _avoids(fleet, name):
    """Returns whether requests for many objects pass a target by."""
    fleet.targets[name].runs.clear()
    client = fleet.client(LOST)
    for number in range(20):
        _, answer = fleet.request(
            client, "/read/1", **{"X-Affinity-Key": f"o{number}"}
        )
        assert isinstance(answer, http_client.Response)
    return not fleet.targets[name].runs


def test_a_version_is_in_force_in_time(fleet):
    added = steering_fleet.route(Name="new", PathPrefix="/new/")
    fleet.configure(2, Routes=[steering_fleet.route(), added])
    known = lambda: _status(fleet, "/new/") == 200  # noqa: E731
    assert _taken_s(known, "the version is known") < APPLY_S


def test_a_withdrawn_key_stops_in_time(fleet):
    key = {"Authorization": "Bearer key-1"}
    assert _status(fleet, "/keyed/1", **key) == 200
    fleet.configure(2, Tenants=[{"Name": "acme", "ApiKeys": ["key-2"]}])
    refused = lambda: _status(fleet, "/keyed/1", **key) == 401  # noqa: E731
    assert _taken_s(refused, "the key is withdrawn") < REVOKE_S


def test_a_drained_target_is_left_in_time(fleet):
    entry = fleet.targets["t1"].entry(
        steering_fleet.SERVICE, "coast-a", State="draining"
    )
    fleet.store.put("servers", "t1", entry)
    assert _taken_s(lambda: _avoids(fleet, "t1"), "t1 is left") < APPLY_S


def test_an_evacuated_zone_is_left_in_time(fleet):
    fleet.store.put("evacuations", "coast-a", {})
    taken_s = _taken_s(lambda: _avoids(fleet, "t1"), "the zone is left")
    assert taken_s < EVACUATION_S
