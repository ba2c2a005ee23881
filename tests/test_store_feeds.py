"""VMs of a zone that follow the store through one of them."""

import contextlib
import re
import signal
import time

import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = ("coast-a-1", "coast-a-2", "coast-a-3")
SOURCE = VMS[0]
FOURTH_VM = "coast-a-4"
SECOND_ZONE_VMS = ("coast-b-1", "coast-b-2")
# ConfigApplyMs and DrainMs of the deployments with fleets of this kind.
MAX_APPLY_S = 3.0
MAX_DRAIN_S = 3.0


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """Three VMs of a zone, of which only the first follows the store."""
    with steering_fleet.SteeringFleet(tmp_path, mesh_vms=2) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        for name in VMS:
            fleet.start_vm(name)
        for name in VMS[1:]:
            _wait_followed(fleet, name, SOURCE)
        yield fleet


def _wait_followed(fleet, name, source):
    """Waits until a VM logs that it follows another one, not the store."""
    logged = f'"source":"{source}","direct":false'
    waiting.until(
        lambda: logged in fleet.vms[name].log(), f"{name} follows {source}"
    )


def _ip(fleet, name):
    return fleet.vm_addresses[name]["caller_address"].partition(":")[0]


@contextlib.contextmanager
def _paused(fleet, *names):
    """Pauses VMs for the duration of a block."""
    for name in names:
        fleet.vms[name].send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            fleet.vms[name].send_signal(signal.SIGCONT)


def _status(fleet, name, path):
    _, response = fleet.request(fleet.client(name), path)
    return getattr(response, "status", None)


def _apply_time_s(fleet, version, name):
    """Adds a route; returns how long a VM takes to serve it, in seconds."""
    start_s = time.monotonic()
    _wait_applied(fleet, version, name)
    return time.monotonic() - start_s


def _drain(fleet, target):
    """Marks a target as draining in the store."""
    entry = target.entry(steering_fleet.SERVICE, "coast-a", State="draining")
    fleet.store.put("servers", target.name, entry)


def _wait_used(fleet, target, name):
    waiting.until(
        lambda: _reaches(fleet, name, target), f"{name} uses the new target"
    )


def _wait_avoided(fleet, target, name):
    waiting.until(
        lambda: not _reaches(fleet, name, target), f"{name} avoids the target"
    )


def _drain_time_s(fleet, target, name):
    """Drains a target; returns how long a VM goes on using it, in seconds."""
    _drain(fleet, target)
    acknowledged_s = time.monotonic()
    _wait_avoided(fleet, target, name)
    return time.monotonic() - acknowledged_s


def _wait_applied(fleet, version, *names):
    """Adds a route and waits until VMs serve it."""
    prefix = f"/new-{version}/"
    added = steering_fleet.route(Name=f"new-{version}", PathPrefix=prefix)
    fleet.configure(version, Routes=[steering_fleet.route(), added])
    for name in names:
        waiting.until(
            lambda name=name: _status(fleet, name, prefix) == 200,
            f"{name} serves version {version}",
        )


def _calls_sent(fleet, name):
    """Returns how many calls to the store a VM says that it has sent."""
    address = fleet.vm_addresses[name]["metrics_address"]
    response = http_client.call(address, "GET", "/metrics")
    lines = response.body.decode().splitlines()
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if re.match(r"\w*store_calls_total{", line)
    )


def _wait_counted(fleet, *names):
    """Waits until the store has counted all calls that VMs have sent."""
    for name in names:
        waiting.until(
            lambda name=name: (
                0
                < _calls_sent(fleet, name)
                <= fleet.store.calls_by_ip[_ip(fleet, name)]
            ),
            f"the store counts the calls of {name}",
        )


def test_one_vm_reads_the_store_for_the_others(fleet):
    _wait_counted(fleet, *VMS)
    before = fleet.store.calls_by_ip.copy()
    for version in (2, 3, 4):
        _wait_applied(fleet, version, *VMS)
    fleet.add_target("t2")
    for name in VMS:
        assert _status(fleet, name, "/read/1") == 200
    _wait_counted(fleet, *VMS)
    calls = fleet.store.calls_by_ip - before
    assert calls[_ip(fleet, SOURCE)] >= 3
    for name in VMS[1:]:
        assert calls[_ip(fleet, name)] == 0


@pytest.fixture(name="two_zone_fleet")
def fixture_two_zone_fleet(fleet):
    """The fleet with two VMs of another zone of the region."""
    for name in SECOND_ZONE_VMS:
        fleet.start_vm(name, "coast-b")
    _wait_followed(fleet, SECOND_ZONE_VMS[0], SOURCE)
    _wait_followed(fleet, SECOND_ZONE_VMS[1], SECOND_ZONE_VMS[0])
    return fleet


def test_a_leader_of_another_zone_passes_updates_on(two_zone_fleet):
    fleet = two_zone_fleet
    before = fleet.store.calls_by_ip.copy()
    for version in (2, 3, 4):
        _wait_applied(fleet, version, *SECOND_ZONE_VMS)
    calls = fleet.store.calls_by_ip - before
    # A stall of a second makes a VM read the store itself for 2 s.
    assert all(calls[_ip(fleet, name)] < 10 for name in SECOND_ZONE_VMS)
    second = fleet.add_target("t2")
    for name in SECOND_ZONE_VMS:
        _wait_used(fleet, second, name)


@pytest.mark.parametrize("failure_signal", [signal.SIGKILL, signal.SIGSTOP])
def test_versions_are_in_force_in_time_after_the_regions_leader_fails(
    two_zone_fleet, failure_signal
):
    fleet = two_zone_fleet
    fleet.vms[SOURCE].send_signal(failure_signal)
    assert _apply_time_s(fleet, 2, SECOND_ZONE_VMS[1]) < MAX_APPLY_S
    fleet.vms[SOURCE].send_signal(signal.SIGCONT)


def test_a_version_is_in_force_in_time_while_the_regions_leader_lost_the_store(
    two_zone_fleet,
):
    fleet = two_zone_fleet
    fleet.store.silence(_ip(fleet, SOURCE))
    assert _apply_time_s(fleet, 2, SECOND_ZONE_VMS[1]) < MAX_APPLY_S


def test_a_drained_target_is_avoided_by_vms_that_follow_another(fleet):
    second = fleet.add_target("t2")
    for name in VMS:
        _wait_used(fleet, second, name)
    _drain(fleet, second)
    for name in VMS:
        _wait_avoided(fleet, second, name)


def _reaches(fleet, name, target):
    """Returns whether requests for some objects reach a target."""
    target.runs.clear()
    client = fleet.client(name)
    for number in range(20):
        fleet.request(client, "/read/1", **{"X-Affinity-Key": f"o{number}"})
    return bool(target.runs)


@pytest.mark.parametrize("failure_signal", [signal.SIGKILL, signal.SIGSTOP])
def test_another_vm_takes_over_from_one_that_fails(fleet, failure_signal):
    fleet.vms[SOURCE].send_signal(failure_signal)
    _wait_applied(fleet, 2, *VMS[1:])
    _wait_followed(fleet, VMS[2], VMS[1])
    fleet.vms[SOURCE].send_signal(signal.SIGCONT)


def test_a_vm_that_the_store_refuses_learns_from_others(fleet):
    fleet.store.refuse(_ip(fleet, SOURCE))
    _wait_applied(fleet, 2, *VMS)


def test_all_vms_apply_changes_after_an_outage_of_the_store(fleet):
    fleet.store.set_mode("refusing")
    waiting.until(
        lambda: "A kind of object cannot be read." in fleet.vms[SOURCE].log(),
        "the loss is logged",
    )
    for name in VMS:
        assert _status(fleet, name, "/read/1") == 200
    fleet.store.set_mode("on")
    _wait_applied(fleet, 2, *VMS)


def test_another_vm_takes_over_at_a_planned_stop(fleet):
    fleet.stop_vm(SOURCE)
    _wait_applied(fleet, 2, *VMS[1:])
    assert fleet.vms[SOURCE].wait_end() == 0


def test_a_vm_that_starts_follows_the_others(fleet):
    fleet.start_vm("coast-a-4")
    _wait_followed(fleet, "coast-a-4", SOURCE)
    _wait_applied(fleet, 2, "coast-a-4")
    response = fleet.look_up("coast-a-4")
    assert isinstance(response, http_client.Response)


@pytest.fixture(name="four_vm_fleet")
def fixture_four_vm_fleet(fleet):
    """The fleet with a fourth VM and a second target, which that VM uses."""
    second = fleet.add_target("t2")
    fleet.start_vm(FOURTH_VM)
    _wait_followed(fleet, FOURTH_VM, SOURCE)
    _wait_used(fleet, second, FOURTH_VM)
    return fleet


def test_a_version_is_in_force_in_time_while_all_sources_are_paused(
    four_vm_fleet,
):
    with _paused(four_vm_fleet, *VMS):
        assert _apply_time_s(four_vm_fleet, 2, FOURTH_VM) < MAX_APPLY_S


def test_a_drained_target_is_avoided_in_time_while_all_sources_are_paused(
    four_vm_fleet,
):
    with _paused(four_vm_fleet, *VMS):
        assert (
            _drain_time_s(four_vm_fleet, four_vm_fleet.targets["t2"], FOURTH_VM)
            < MAX_DRAIN_S
        )


def test_a_version_is_in_force_in_time_while_the_source_lost_the_store(
    four_vm_fleet,
):
    four_vm_fleet.store.silence(_ip(four_vm_fleet, SOURCE))
    assert _apply_time_s(four_vm_fleet, 2, FOURTH_VM) < MAX_APPLY_S


def test_a_drained_target_is_avoided_in_time_while_the_source_lost_the_store(
    four_vm_fleet,
):
    four_vm_fleet.store.silence(_ip(four_vm_fleet, SOURCE))
    assert (
        _drain_time_s(four_vm_fleet, four_vm_fleet.targets["t2"], FOURTH_VM)
        < MAX_DRAIN_S
    )


def test_vms_that_the_store_refuses_apply_a_version_in_time(four_vm_fleet):
    for name in (SOURCE, FOURTH_VM):
        four_vm_fleet.store.refuse(_ip(four_vm_fleet, name))
    assert _apply_time_s(four_vm_fleet, 2, FOURTH_VM) < MAX_APPLY_S
