"""VMs of a zone that learn from one of them what the store holds."""

import contextlib
import signal
import time

import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = ("coast-a-1", "coast-a-2", "coast-a-3")
SOURCE = VMS[0]
LAST = "coast-a-4"
# ConfigApplyMs and DrainMs of the deployments with fleets of this kind.
APPLY_S = 3.0
DRAIN_S = 3.0


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """Three VMs of a zone, of which the first follows the store."""
    with steering_fleet.SteeringFleet(tmp_path, mesh_vms=2) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        for name in VMS:
            fleet.start_vm(name)
        for name in VMS[1:]:
            _wait_followed(fleet, name, SOURCE)
        yield fleet


def _wait_followed(fleet, name, source):
    """Waits until a VM says that it follows another one, and no store."""
    said = f'"source":"{source}","direct":false'
    waiting.until(
        lambda: said in fleet.vms[name].log(), f"{name} follows {source}"
    )


def _ip(fleet, name):
    return fleet.vm_addresses[name]["caller_address"].partition(":")[0]


@contextlib.contextmanager
def _paused(fleet, *names):
    """Lets VMs stand still."""
    for name in names:
        fleet.vms[name].send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            fleet.vms[name].send_signal(signal.SIGCONT)


def _status(fleet, name, path):
    _, answer = fleet.request(fleet.client(name), path)
    return getattr(answer, "status", None)


def _known_after_s(fleet, version, name):
    """Adds a route; returns how long a VM takes to serve it, in seconds."""
    acknowledged_s = time.monotonic()
    _wait_known(fleet, version, name)
    return time.monotonic() - acknowledged_s


def _drain(fleet, target):
    """Lets a target say that it is leaving."""
    entry = target.entry(steering_fleet.SERVICE, "coast-a", State="draining")
    fleet.store.put("servers", target.name, entry)


def _wait_used(fleet, target, name):
    waiting.until(
        lambda: _reaches(fleet, name, target), f"{name} uses the new target"
    )


def _wait_left(fleet, target, name):
    waiting.until(
        lambda: not _reaches(fleet, name, target), f"{name} leaves the target"
    )


def _left_after_s(fleet, target, name):
    """Drains a target; returns how long a VM takes to leave it, in seconds."""
    _drain(fleet, target)
    acknowledged_s = time.monotonic()
    _wait_left(fleet, target, name)
    return time.monotonic() - acknowledged_s


def _wait_known(fleet, version, *names):
    """Adds a route and waits until VMs serve it."""
    prefix = f"/new-{version}/"
    added = steering_fleet.route(Name=f"new-{version}", PathPrefix=prefix)
    fleet.configure(version, Routes=[steering_fleet.route(), added])
    for name in names:
        waiting.until(
            lambda name=name: _status(fleet, name, prefix) == 200,
            f"{name} knows version {version}",
        )


def test_one_vm_reads_the_store_for_the_others(fleet):
    before = fleet.store.calls_by_ip.copy()
    for version in (2, 3, 4):
        _wait_known(fleet, version, *VMS)
    fleet.add_target("t2")
    for name in VMS:
        assert _status(fleet, name, "/read/1") == 200
    calls = fleet.store.calls_by_ip - before
    assert calls[_ip(fleet, SOURCE)] >= 3
    for name in VMS[1:]:
        assert calls[_ip(fleet, name)] == 0


def test_a_drained_target_is_left_by_vms_that_follow_another(fleet):
    second = fleet.add_target("t2")
    for name in VMS:
        _wait_used(fleet, second, name)
    _drain(fleet, second)
    for name in VMS:
        _wait_left(fleet, second, name)


def _reaches(fleet, name, target):
    """Returns whether requests for some objects reach a target."""
    target.runs.clear()
    client = fleet.client(name)
    for number in range(20):
        fleet.request(client, "/read/1", **{"X-Affinity-Key": f"o{number}"})
    return bool(target.runs)


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_another_vm_takes_over_from_one_that_fails(fleet, how):
    fleet.vms[SOURCE].send_signal(how)
    _wait_known(fleet, 2, *VMS[1:])
    _wait_followed(fleet, VMS[2], VMS[1])
    fleet.vms[SOURCE].send_signal(signal.SIGCONT)


def test_a_vm_that_the_store_refuses_learns_from_others(fleet):
    fleet.store.refuse(_ip(fleet, SOURCE))
    _wait_known(fleet, 2, *VMS)


def test_all_vms_go_on_when_the_store_comes_back(fleet):
    fleet.store.set_mode("refusing")
    waiting.until(
        lambda: "A kind of object cannot be read." in fleet.vms[SOURCE].log(),
        "the loss is logged",
    )
    for name in VMS:
        assert _status(fleet, name, "/read/1") == 200
    fleet.store.set_mode("on")
    _wait_known(fleet, 2, *VMS)


def test_a_planned_stop_hands_over(fleet):
    fleet.stop_vm(SOURCE)
    _wait_known(fleet, 2, *VMS[1:])
    assert fleet.vms[SOURCE].wait_end() == 0


def test_a_vm_that_starts_follows_the_others(fleet):
    fleet.start_vm("coast-a-4")
    _wait_followed(fleet, "coast-a-4", SOURCE)
    _wait_known(fleet, 2, "coast-a-4")
    answer = fleet.look_up("coast-a-4")
    assert isinstance(answer, http_client.Response)


@pytest.fixture(name="fed")
def fixture_fed(fleet):
    """The fleet with a fourth VM and a second target that it uses."""
    second = fleet.add_target("t2")
    fleet.start_vm(LAST)
    _wait_followed(fleet, LAST, SOURCE)
    _wait_used(fleet, second, LAST)
    return fleet


def test_a_version_is_in_force_in_time_while_all_sources_stand_still(fed):
    with _paused(fed, *VMS):
        assert _known_after_s(fed, 2, LAST) < APPLY_S


def test_a_drained_target_is_left_in_time_while_all_sources_stand_still(fed):
    with _paused(fed, *VMS):
        assert _left_after_s(fed, fed.targets["t2"], LAST) < DRAIN_S


def test_a_version_is_in_force_in_time_while_the_source_hears_no_store(fed):
    fed.store.silence(_ip(fed, SOURCE))
    assert _known_after_s(fed, 2, LAST) < APPLY_S


def test_a_drained_target_is_left_in_time_while_the_source_hears_no_store(fed):
    fed.store.silence(_ip(fed, SOURCE))
    assert _left_after_s(fed, fed.targets["t2"], LAST) < DRAIN_S


def test_vms_that_the_store_refuses_apply_a_version_in_time(fed):
    for name in (SOURCE, LAST):
        fed.store.refuse(_ip(fed, name))
    assert _known_after_s(fed, 2, LAST) < APPLY_S
