"""VMs of a small fleet that lost the store apply changes in time."""

import time

import gevent
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = {"coast-a-1": "coast-a", "coast-b-1": "coast-b", "lake-a-1": "lake-a"}
VM_WITHOUT_STORE = "coast-a-1"
# By then, a VM that lost the store must have switched to another VM.
FAILOVER_S = 3.0
# Bounds of the users' platform: the shortest one of any deployment for versions
# and drains, and those for withdrawn keys and evacuations.
MAX_APPLY_S = 2.0
MAX_REVOKE_S = 5.0
MAX_EVACUATION_S = 5.0


@pytest.fixture(name="fleet", params=["refuse", "silence"])
def fixture_fleet(tmp_path, request):
    """A VM in each zone, of which one has lost the store, and two targets."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2", zone="lake-a")
        for name, zone in VMS.items():
            fleet.start_vm(name, zone)
        ip = fleet.vm_addresses[VM_WITHOUT_STORE]["caller_address"].partition(
            ":"
        )[0]
        getattr(fleet.store, request.param)(ip)
        gevent.sleep(FAILOVER_S)
        yield fleet


def _status(fleet, path, **headers):
    _, response = fleet.request(fleet.client(VM_WITHOUT_STORE, **headers), path)
    return getattr(response, "status", None)


def _elapsed_s(condition, what):
    """Returns the time until a condition holds, in seconds."""
    start_s = time.monotonic()
    waiting.until(condition, what)
    return time.monotonic() - start_s


def _avoids(fleet, name):
    """Returns whether requests for many objects all avoid a target."""
    fleet.targets[name].runs.clear()
    client = fleet.client(VM_WITHOUT_STORE)
    for number in range(20):
        _, response = fleet.request(
            client, "/read/1", **{"X-Affinity-Key": f"o{number}"}
        )
        assert isinstance(response, http_client.Response)
    return not fleet.targets[name].runs


def test_a_version_is_in_force_in_time(fleet):
    added = steering_fleet.route(Name="new", PathPrefix="/new/")
    fleet.configure(2, Routes=[steering_fleet.route(), added])
    is_in_force = lambda: _status(fleet, "/new/") == 200  # noqa: E731
    assert _elapsed_s(is_in_force, "the version is known") < MAX_APPLY_S


def test_a_withdrawn_key_stops_in_time(fleet):
    key = {"Authorization": "Bearer key-1"}
    assert _status(fleet, "/keyed/1", **key) == 200
    fleet.configure(2, Tenants=[{"Name": "acme", "ApiKeys": ["key-2"]}])
    refused = lambda: _status(fleet, "/keyed/1", **key) == 401  # noqa: E731
    assert _elapsed_s(refused, "the key is withdrawn") < MAX_REVOKE_S


def test_a_drained_target_is_avoided_in_time(fleet):
    entry = fleet.targets["t1"].entry(
        steering_fleet.SERVICE, "coast-a", State="draining"
    )
    fleet.store.put("servers", "t1", entry)
    assert (
        _elapsed_s(lambda: _avoids(fleet, "t1"), "t1 is avoided") < MAX_APPLY_S
    )


def test_an_evacuated_zone_is_avoided_in_time(fleet):
    fleet.store.put("evacuations", "coast-a", {})
    elapsed_s = _elapsed_s(lambda: _avoids(fleet, "t1"), "the zone is avoided")
    assert elapsed_s < MAX_EVACUATION_S
