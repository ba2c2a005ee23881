"""What VMs send to a target that turns cold while some do not hear of it."""

import signal
import time

import gevent
import pytest

from standins import waiting
from standins.users_platform import fleet as steering_fleet

VMS = {"coast-a-1": "coast-a", "coast-b-1": "coast-b", "lake-a-1": "lake-a"}
COLD_S = 6.0
# ColdPerS x ColdOverage + ColdSlack of the deployments.
ALLOWED_PER_S = 6.9 * 1.5 + 5.0
SENT_S = 2.5
# Requests a second through each VM; a fleet may send many more in all.
RATE_PER_S = 20.0
# A machine out of touch with the store for as long is known to be so.
TOUCH_S = 3.0


@pytest.fixture(name="fleet", params=["mesh", "zones"])
def fixture_fleet(tmp_path, request):
    """A VM in each zone, with one target that all of them use."""
    settings = {} if request.param == "mesh" else {"mesh_vms": 2}
    with steering_fleet.SteeringFleet(tmp_path, **settings) as fleet:
        fleet.configure()
        fleet.add_target("t1", slots=50)
        for name, zone in VMS.items():
            fleet.start_vm(name, zone)
        for name in VMS:
            waiting.until(
                lambda name=name: _hears_all(fleet, name),
                f"{name} hears the other VMs",
            )
        yield fleet


def _hears_all(fleet, name):
    log = fleet.vms[name].log()
    return all(f'"vm":"{other}"' in log for other in VMS if other != name)


def _ip(fleet, name):
    return fleet.vm_addresses[name]["caller_address"].partition(":")[0]


def _turn_cold(fleet):
    """Lets the target say that it is cold; returns the time, in seconds."""
    target = fleet.targets["t1"]
    entry = target.entry(
        steering_fleet.SERVICE, "coast-a", ColdRemainingMs=int(COLD_S * 1000)
    )
    fleet.store.put("servers", "t1", entry)
    return time.monotonic()


def _send(fleet, name, ends_s):
    """Sends requests at a steady rate until a time; returns how many."""
    client = fleet.client(name)
    number = 0
    while time.monotonic() < ends_s:
        number += 1
        fleet.request(client, "/read/1", **{"X-Affinity-Key": f"o{number}"})
        gevent.sleep(1.0 / RATE_PER_S)
    return number


def _most_in_a_second(fleet, since_s):
    """Returns the most requests that the target got in any second."""
    times = sorted(
        run.arrived_s
        for run in fleet.targets["t1"].runs
        if run.arrived_s >= since_s
    )
    return max(
        (
            sum(begun_s <= at_s < begun_s + 1.0 for at_s in times)
            for begun_s in times
        ),
        default=0,
    )


def _most_to_the_cold_target(fleet, senders=tuple(VMS)):
    """Turns the target cold under load; returns its busiest second.

    Args:
        fleet: Running VMs.
        senders: The VM that each sender uses.
    """
    ends_s = time.monotonic() + 1.0 + SENT_S
    sending = [gevent.spawn(_send, fleet, name, ends_s) for name in senders]
    gevent.sleep(1.0)
    cold_s = _turn_cold(fleet)
    gevent.joinall(sending)
    offered = sum(sender.value for sender in sending)
    assert offered > 2 * ALLOWED_PER_S * (1.0 + SENT_S), "too little load"
    return _most_in_a_second(fleet, cold_s)


def test_a_cold_target_is_not_flooded_while_all_hear_of_it(fleet):
    assert _most_to_the_cold_target(fleet) <= ALLOWED_PER_S


@pytest.mark.parametrize("how", ["refuse", "silence"])
def test_a_cold_target_is_not_flooded_by_vms_that_lost_the_store(fleet, how):
    for name in list(VMS)[:2]:
        getattr(fleet.store, how)(_ip(fleet, name))
    gevent.sleep(TOUCH_S)
    assert _most_to_the_cold_target(fleet) <= ALLOWED_PER_S


def test_a_cold_target_is_not_flooded_by_a_vm_that_is_cut_off_alone(fleet):
    alone, *others = VMS
    fleet.store.silence(_ip(fleet, alone))
    for name in others:
        fleet.vms[name].send_signal(signal.SIGSTOP)
    waiting.until(
        lambda: "may be cold are limited" in fleet.vms[alone].log(),
        "the VM spares targets",
    )
    worst = _most_to_the_cold_target(fleet, [alone] * len(VMS))
    # Each of the others, which know, may send one request in that second.
    assert worst <= ALLOWED_PER_S - len(others)
