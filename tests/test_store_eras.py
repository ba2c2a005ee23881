"""A store that comes back from a copy that is some seconds old."""

import time

import gevent
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = {"coast-a-1": "coast-a", "coast-b-1": "coast-b", "lake-a-1": "lake-a"}
APPLY_S = 2.5  # Bound of changes of targets and configurations.


@pytest.fixture(name="fleet", params=[16, 2], ids=["mesh", "zones"])
def fixture_fleet(request, tmp_path):
    """Three VMs and two targets, ready to serve."""
    with steering_fleet.SteeringFleet(
        tmp_path, mesh_vms=request.param
    ) as fleet:
        fleet.store.era = 0
        fleet.configure()
        fleet.add_target("t1", slots=50)
        fleet.add_target("t2", slots=50)
        for name, zone in VMS.items():
            fleet.start_vm(name, zone)
        for name in VMS:
            waiting.until(
                lambda name=name: status(fleet, name) == 200, f"{name} serves"
            )
        yield fleet


def status(fleet, name, path="/read/1"):
    client = fleet.client(name)
    _, response = fleet.request(
        client, path, **{"X-Affinity-Key": str(time.monotonic())}
    )
    client.close()
    return getattr(response, "status", 0)


def restore_older_copy(fleet, changes=30):
    """Lets the store lose its latest changes.

    Their number exceeds what is written before the checks, so that revisions
    stay below those that VMs knew before.
    """
    copied = fleet.store.copy()
    for number in range(changes):
        fleet.store.put("servers", "t1", entry(fleet, "t1", Seq=number))
    gevent.sleep(1.0)
    fleet.store.set_mode("refusing")
    gevent.sleep(0.5)
    fleet.store.restore(copied)
    fleet.store.set_mode("on")


def entry(fleet, name, **changes):
    return fleet.targets[name].entry(
        steering_fleet.SERVICE, "coast-a", **changes
    )


# Guards against VMs that ignore the store until its revisions exceed those that
# it gave out before it came back.
def test_changes_after_the_return_of_an_older_copy_are_in_force_in_time(fleet):
    restore_older_copy(fleet)
    gevent.sleep(1.5)
    fleet.store.put("servers", "t1", entry(fleet, "t1", State="draining"))
    route = steering_fleet.route(Name="new", PathPrefix="/new/")
    routes = [*steering_fleet.configuration()["Routes"], route]
    fleet.configure(2, Routes=routes)
    gevent.sleep(APPLY_S)
    fleet.targets["t1"].runs.clear()
    for name in VMS:
        assert status(fleet, name, "/new/1") == 200
        assert {status(fleet, name) for _ in range(10)} == {200}
    assert not fleet.targets["t1"].runs


def test_vms_that_the_store_lost_are_registered_again(fleet):
    copied = fleet.store.copy()
    copied[1]["mulberrydeck-vms"].clear()
    copied[1]["mulberrydeck-fleet"].clear()
    fleet.store.restore(copied)
    waiting.until(
        lambda: (
            set(fleet.store.objects["mulberrydeck-vms"]) == set(VMS)
            and fleet.store.objects["mulberrydeck-fleet"]
        ),
        "all VMs are registered again",
    )
    for name in VMS:
        response = fleet.look_up(name)
        assert isinstance(response, http_client.Response)
        assert status(fleet, name) == 200


def test_requests_are_served_while_the_store_comes_back_twice(fleet):
    for _ in range(2):
        restore_older_copy(fleet, changes=5)
        for name in VMS:
            assert {status(fleet, name) for _ in range(10)} == {200}


def test_returns_of_the_store_are_counted(fleet):
    metric = b"mulberrydeck_store_restores_total 1.0"
    address = fleet.vm_addresses["coast-a-1"]["metrics_address"]
    restore_older_copy(fleet, changes=5)
    waiting.until(
        lambda: metric in http_client.call(address, "GET", "/metrics").body,
        "the return is counted",
    )
