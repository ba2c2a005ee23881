"""Rate at which VMs send to a cold target that some VMs do not know is cold."""

import json
import signal
import time
import types

import gevent
import pytest

from standins import waiting
from standins.users_platform import fleet as steering_fleet
from standins.users_platform import instances

VMS = {"coast-a-1": "coast-a", "coast-b-1": "coast-b", "lake-a-1": "lake-a"}
COLD_S = 6.0
# ColdPerS x ColdOverage + ColdSlack of the deployments.
ALLOWED_PER_S = 6.9 * 1.5 + 5.0
SENDING_S = 2.5
# Requests per second through each VM; all VMs are offered more than allowed.
RATE_PER_S = 20.0
# After this long without the store VMs know that their updates are stale.
STORE_LOSS_S = 3.0


@pytest.fixture(name="fleet", params=["mesh", "zones"])
def fixture_fleet(tmp_path, request):
    """A VM in each zone, and one target that all VMs use."""
    settings = {} if request.param == "mesh" else {"mesh_vms": 2}
    with steering_fleet.SteeringFleet(tmp_path, **settings) as fleet:
        fleet.configure()
        fleet.add_target("t1", slots=50)
        for name, zone in VMS.items():
            fleet.start_vm(name, zone)
        for name in VMS:
            waiting.until(
                lambda name=name: _has_heartbeats_of_all(fleet, name),
                f"{name} has heartbeats of all other VMs",
            )
        yield fleet


def _has_heartbeats_of_all(fleet, name):
    log = fleet.vms[name].log()
    return all(f'"vm":"{other}"' in log for other in VMS if other != name)


def _ip(fleet, name):
    return fleet.vm_addresses[name]["caller_address"].partition(":")[0]


def _turn_cold(fleet):
    """Registers the target as cold; returns the monotonic time, in seconds."""
    target = fleet.targets["t1"]
    entry = target.entry(
        steering_fleet.SERVICE, "coast-a", ColdRemainingMs=int(COLD_S * 1000)
    )
    fleet.store.put("servers", "t1", entry)
    return time.monotonic()


def _send(fleet, name, end_s):
    """Sends requests at a steady rate until `end_s`; returns their number."""
    client = fleet.client(name)
    number = 0
    while time.monotonic() < end_s:
        number += 1
        fleet.request(client, "/read/1", **{"X-Affinity-Key": f"o{number}"})
        gevent.sleep(1.0 / RATE_PER_S)
    return number


def _sent_times_s(fleet):
    """Returns the monotonic time at which a VM sent each logged request."""
    offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    sent_s = {}
    for process in fleet.vms.values():
        for line in process.log().splitlines():
            if '"request: ' in line and '"decided_s"' in line:
                fields = json.loads(line)
                after_s = fields.get("sent_after_s", 0.0)
                sent_s[fields["request_id"]] = (
                    fields["decided_s"] + after_s - offset_s
                )
    return sent_s


def _peak_per_s(fleet, since_s):
    """Returns the largest number of requests to the target in any second.

    As the users' rule says, a request counts in a second in which it was both
    sent and received: a target that stands still receives those of a longer
    time together. One without a log line counts as sent when it was received.
    """
    sent_times_s = _sent_times_s(fleet)
    runs = [
        (
            min(
                run.arrived_s,
                sent_times_s.get(run.fields["x-attempt-id"], run.arrived_s),
            ),
            run.arrived_s,
        )
        for run in fleet.targets["t1"].runs
        if run.arrived_s >= since_s
    ]
    return max(
        (
            sum(
                start_s <= sent_s and arrived_s < start_s + 1.0
                for sent_s, arrived_s in runs
            )
            for start_s, _ in runs
        ),
        default=0,
    )


def test_requests_that_a_target_receives_together_count_when_they_were_sent():
    offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    sent_s = [100.0 + 0.25 * number for number in range(8)]
    lines = [
        json.dumps(
            {
                "text": "request: Answered.",
                "request_id": f"r{number}",
                "decided_s": at_s + offset_s,
            },
            separators=(",", ":"),
        )
        for number, at_s in enumerate(sent_s)
    ]
    log = ["\n".join(lines)]
    vm = types.SimpleNamespace(log=lambda: log[0])
    runs = [
        instances.Request("GET", "/", {"x-attempt-id": f"r{n}"}, b"", 102.0)
        for n in range(8)
    ]
    target = instances.Instance("t1")
    target.runs = runs
    fleet = types.SimpleNamespace(vms={"vm": vm}, targets={"t1": target})
    # Those sent at 101.25 s and later, also received by then.
    assert _peak_per_s(fleet, 0.0) == 3
    log[0] = ""
    assert _peak_per_s(fleet, 0.0) == 8


def _peak_at_cold_target(fleet, senders=tuple(VMS)):
    """Turns the target cold under load and returns the peak of its requests.

    Args:
        fleet: Running VMs.
        senders: Name of the VM that each sender uses.

    Returns:
        The largest number of requests to the target in any second.
    """
    end_s = time.monotonic() + 1.0 + SENDING_S
    sending = [gevent.spawn(_send, fleet, name, end_s) for name in senders]
    gevent.sleep(1.0)
    cold_s = _turn_cold(fleet)
    gevent.joinall(sending)
    offered = sum(sender.value for sender in sending)
    assert offered > 2 * ALLOWED_PER_S * (1.0 + SENDING_S), "too little load"
    return _peak_per_s(fleet, cold_s)


def test_a_cold_target_is_not_flooded_while_all_vms_know_of_it(fleet):
    assert _peak_at_cold_target(fleet) <= ALLOWED_PER_S


@pytest.mark.parametrize("fault", ["refuse", "silence"])
def test_a_cold_target_is_not_flooded_by_vms_that_lost_the_store(fleet, fault):
    for name in list(VMS)[:2]:
        getattr(fleet.store, fault)(_ip(fleet, name))
    gevent.sleep(STORE_LOSS_S)
    assert _peak_at_cold_target(fleet) <= ALLOWED_PER_S


def test_a_cold_target_is_not_flooded_by_a_vm_that_is_cut_off_alone(fleet):
    isolated, *others = VMS
    fleet.store.silence(_ip(fleet, isolated))
    for name in others:
        fleet.vms[name].send_signal(signal.SIGSTOP)
    waiting.until(
        lambda: "may be cold are limited" in fleet.vms[isolated].log(),
        "the VM spares targets that may be cold",
    )
    peak = _peak_at_cold_target(fleet, [isolated] * len(VMS))
    # Each other VM, which knows of the target, may send one request a second.
    assert peak <= ALLOWED_PER_S - len(others)
