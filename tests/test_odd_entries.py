"""Entries of targets that another writer has left in the store."""

import time

import gevent
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet
from standins.users_platform import odd_entries

VM = "coast-a-1"
NEW_VM = "coast-b-1"
DRAIN_S = 2.5  # Later than this, a target that left gets no requests.


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """One VM and two targets, ready to serve."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1", slots=50)
        fleet.add_target("t2", slots=50)
        fleet.start_vm(VM)
        waiting.until(lambda: status(fleet) == 200, "the VM serves")
        yield fleet


def status(fleet, number=0, name=VM):
    client = fleet.client(name)
    _, response = fleet.request(
        client, f"/read/{number}", **{"X-Affinity-Key": str(number)}
    )
    client.close()
    return getattr(response, "status", response)


# Guards against VMs that stop following the store, or fail requests, because of
# one entry that they cannot read or use.
@pytest.mark.parametrize(
    "names", [*([name] for name in odd_entries.ENTRIES), odd_entries.ENTRIES]
)
def test_an_odd_entry_affects_no_other_entry(fleet, names):
    for name in names:
        fleet.store.put("servers", name, odd_entries.ENTRIES[name])
    gevent.sleep(0.5)
    assert {status(fleet, number) for number in range(30)} == {200}
    fleet.store.remove("servers", "t1")
    removed_s = time.monotonic()
    while time.monotonic() < removed_s + DRAIN_S:
        status(fleet, int(time.monotonic() * 100))
    fleet.targets["t1"].runs.clear()
    fleet.start_vm(NEW_VM, "coast-b")
    for name in (VM, NEW_VM):
        statuses = {status(fleet, number, name) for number in range(30)}
        assert statuses == {200}
    assert not fleet.targets["t1"].runs
    assert fleet.vms[VM].is_running()


def metrics(fleet):
    address = fleet.vm_addresses[VM]["metrics_address"]
    return http_client.call(address, "GET", "/metrics").body.decode()


def test_odd_entries_are_counted(fleet):
    name = "mulberrydeck_ignored_objects_total"
    assert f'{name}{{kind="servers"}}' not in metrics(fleet)
    fleet.store.put("servers", "odd", {"Address": 5})
    waiting.until(
        lambda: f'{name}{{kind="servers"}} 1.0' in metrics(fleet),
        "the entry is counted",
    )
