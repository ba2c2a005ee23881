"""Limits while VMs are added: no unit is spent by two VMs.

Reducers in virtual time, with delayed messages and lists of VMs that are up to
seconds old.
"""

import math
import random

import pytest
from returns import result

from mulberrydeck import errors
from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import members
from mulberrydeck.steering import registration
from mulberrydeck.steering import reporting
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

RATE_PER_S = 300.0
BURST = 100.0
WINDOW_S = 5.0
TICK_INTERVAL_S = 0.1
MESSAGE_DELAY_S = 0.012
LIST_DELAY_S = 0.02
# Requests per second that callers send to all VMs that they use.
DEMAND_PER_S = 3 * RATE_PER_S
ZONES = tuple(samples.REGION_BY_ZONE)
RESOURCE = members.limit_resource("acme")


class GrowingFleet:
    """VMs to which others are added, and callers that want more than the limit.

    Attributes:
        sent_s: Times at which requests were admitted.
        list_lag_s: Age of the list of VMs that VMs get without asking.
        cut_off: VMs that reach neither the store nor other VMs.
    """

    def __init__(self, old, list_lag_s, seed):
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.list_lag_s = list_lag_s
        self.cut_off = set()
        self.vms = {}
        self.records = ()
        self.due = []
        self.busy = set()
        self.sent_s = []
        account = tables.Account("acme", rate_per_s=RATE_PER_S, burst=BURST)
        self.table = samples.make_table(
            samples.make_route(public=False, timeout_s=0.0),
            accounts=((account, ("secret",)),),
        )
        self.entries = [samples.make_entry(f"t{n}", slots=9999) for n in "ab"]
        for number in range(old):
            self.register(number)
        for number in range(old):
            self.start(number, first_start=True)

    def register(self, number):
        record = samples.make_record(
            f"vm-{number}", ZONES[number % len(ZONES)], port=number + 1
        )
        self.records = (*self.records, record)

    def start(self, number, first_start=False):
        record = self.records[number]
        vm = samples.Vm(
            self.table,
            self.entries,
            listed=(),
            name=record.name,
            zone=record.zone,
            region=record.region,
            first_start=first_start,
        )
        vm.now_s = self.now_s
        vm.state.fleet.started_s = self.now_s
        self.vms[record.name] = vm
        vm.reduce(events.VmAdded(self.now_s))
        self.list_vms(record.name, LIST_DELAY_S)

    def add(self, number):
        """Adds a VM; the others get a list with it after `list_lag_s`."""
        self.register(number)
        for name in self.vms:
            lag_s = self.rng.uniform(0.5, 1.0) * self.list_lag_s
            self.list_vms(name, lag_s)
        self.start(number)

    def list_vms(self, name, delay_s):
        """Delivers the current list to a VM after a delay."""
        listed = events.VmsListed(
            self.now_s + delay_s, self.records, len(self.records)
        )
        self.due.append((listed.at_s, name, listed))

    def submit(self, name, event):
        for effect in self.vms[name].reduce(event):
            match effect:
                case quota_effects.SendMessage(to, message):
                    at_s = event.at_s + MESSAGE_DELAY_S
                    received = events.PeerReceived(at_s, name, message)
                    if not self.cut_off.intersection((name, to)):
                        self.due.append((at_s, to, received))
                case effects.ListVms():
                    self.list_vms(name, LIST_DELAY_S)
                case effects.Forward():
                    self.sent_s.append(event.at_s)

    def run(self, duration_s):
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            for name in sorted(self.vms):
                self.submit(name, events.Ticked(self.now_s))
                if name in self.busy:
                    self._send_requests(name)
            self.now_s += TICK_INTERVAL_S
            self._deliver()

    def _deliver(self):
        while due := [item for item in self.due if item[0] <= self.now_s]:
            first = min(due, key=lambda item: item[0])
            self.due.remove(first)
            _, name, event = first
            if name in self.cut_off or name not in self.vms:
                continue
            if _is_newer(self.vms[name], event):
                self.submit(name, event)

    def _send_requests(self, name):
        count = math.ceil(DEMAND_PER_S * TICK_INTERVAL_S / len(self.busy))
        for _ in range(count):
            request_id = f"{name}-{self.rng.getrandbits(64)}"
            arrived = events.RequestArrived(
                self.now_s,
                request_id,
                "permits.example",
                "/read/1",
                "secret",
                "",
                2.0,
            )
            self.submit(name, arrived)
            self.submit(name, events.RequestClosed(self.now_s, request_id))

    def most_in_window(self):
        """Returns the largest number of admitted requests in any window."""
        times = sorted(self.sent_s)
        most = 0
        start = 0
        for end, at_s in enumerate(times):
            while at_s - times[start] >= WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most


def _is_newer(vm, event):
    if not isinstance(event, events.VmsListed):
        return True
    return len(event.records) > len(vm.state.fleet.names)


def usable_units(fleet, name):
    state = fleet.vms[name].state
    quota.advance_all(state.quota, fleet.now_s)
    return state.quota.resources[RESOURCE].own_units


# Guards against units of a limit that added VMs spend while others still use
# them, as loans of the earlier owner or by an old list of VMs.
@pytest.mark.parametrize("gap_s", [0.0, 1.0])
@pytest.mark.parametrize("lag_s", [0.1, 6.0])
@pytest.mark.parametrize(("old", "added"), [(2, 1), (2, 2), (3, 6), (10, 4)])
def test_no_unit_is_spent_twice_while_vms_are_added(old, added, lag_s, gap_s):
    fleet = GrowingFleet(old, lag_s, seed=old * 100 + added)
    # Callers at one VM, which borrows what the others do not need.
    fleet.busy = {"vm-0"}
    fleet.run(6.0)
    for number in range(old, old + added):
        fleet.add(number)
        fleet.busy.add(f"vm-{number}")
        fleet.run(gap_s)
    fleet.busy.update(fleet.vms)
    fleet.run(14.0)
    assert fleet.most_in_window() <= RATE_PER_S * WINDOW_S + BURST
    latest = sum(at_s > fleet.now_s - WINDOW_S for at_s in fleet.sent_s)
    assert latest > 0.9 * RATE_PER_S * WINDOW_S
    units = [usable_units(fleet, name) for name in fleet.vms]
    assert sum(units) == members.UNITS_PER_LIMIT


def test_no_unit_is_spent_twice_while_a_vm_is_added_and_another_is_cut_off():
    fleet = GrowingFleet(3, 0.1, seed=1)
    fleet.busy = set(fleet.vms)
    fleet.run(6.0)
    fleet.cut_off = {"vm-2"}
    fleet.run(6.0)
    fleet.add(3)
    fleet.busy.add("vm-3")
    fleet.run(14.0)
    assert fleet.most_in_window() <= RATE_PER_S * WINDOW_S + BURST
    fleet.cut_off = set()
    fleet.list_vms("vm-2", LIST_DELAY_S)
    fleet.run(14.0)
    assert fleet.most_in_window() <= RATE_PER_S * WINDOW_S + BURST
    units = [usable_units(fleet, name) for name in fleet.vms]
    assert sum(units) == members.UNITS_PER_LIMIT


def test_a_vm_that_is_killed_while_it_is_added_blocks_no_other():
    fleet = GrowingFleet(3, 6.0, seed=1)
    fleet.busy = set(fleet.vms)
    fleet.run(6.0)
    fleet.add(3)
    fleet.run(0.3)
    del fleet.vms["vm-3"]
    fleet.add(4)
    fleet.busy.add("vm-4")
    fleet.run(14.0)
    assert fleet.most_in_window() <= RATE_PER_S * WINDOW_S + BURST
    assert usable_units(fleet, "vm-4") > 0


def test_an_added_vm_uses_its_units_although_another_one_has_failed():
    fleet = GrowingFleet(3, 0.1, seed=1)
    fleet.run(6.0)
    del fleet.vms["vm-2"]
    fleet.run(6.0)
    fleet.add(3)
    fleet.run(5.5)
    # The failed VM may be cut off and use its former third: 334 - 250 units.
    assert usable_units(fleet, "vm-3") == members.UNITS_PER_LIMIT // 4 - 84


def test_a_stopped_vm_that_is_not_listed_any_more_causes_no_lists():
    fleet = GrowingFleet(3, 0.1, seed=1)
    fleet.run(6.0)
    state = fleet.vms["vm-0"].state
    heartbeat = messages.SteeringHeartbeat("p", False, leaving=True)
    received = events.PeerReceived(fleet.now_s, "vm-9", heartbeat)
    assert not fleet.vms["vm-0"].reduce(received)
    joining = messages.SteeringHeartbeat("p", True, False, joining=True)
    received = events.PeerReceived(fleet.now_s, "vm-9", joining)
    produced = [fleet.vms["vm-0"].reduce(received) for _ in range(3)]
    lists = [e for es in produced for e in es if isinstance(e, effects.ListVms)]
    assert len(lists) == 1
    assert "vm-9" not in state.fleet.peers


class ScriptedClient:
    """A client of the store whose writes have given results."""

    def __init__(self, *results):
        self.results = list(results)

    def create(self, _kind, _name, _spec):
        return self.results.pop(0)

    replace = create


@pytest.mark.parametrize(
    ("failures", "new"),
    [
        ([], True),
        ([errors.ConflictError("exists")], False),
        ([errors.PlatformUnavailableError("down")], True),
        (
            [
                errors.PlatformUnavailableError("down"),
                errors.ConflictError("exists"),
            ],
            False,
        ),
        (
            [
                errors.PlatformOutcomeUnknownError("lost"),
                errors.ConflictError("exists"),
            ],
            True,
        ),
    ],
)
def test_a_vm_knows_whether_it_was_added(failures, new):
    results = [result.Failure(error) for error in failures]
    client = ScriptedClient(*results, result.Success(None))
    registering = registration.Registration(
        client, samples.make_record("vm-1"), reporting.Reports(lambda: 0.0)
    )
    assert registering.register() == new
