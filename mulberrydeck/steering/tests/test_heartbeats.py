"""Heartbeats of a large fleet, between reducers in virtual time."""

import collections
import heapq
import itertools

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import events
from mulberrydeck.steering import heartbeats
from mulberrydeck.steering import lookup
from mulberrydeck.steering import members
from mulberrydeck.steering import registry
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

ZONES = {f"{region}-{n}": region for region in "abc" for n in (1, 2, 3)}
VMS_A_ZONE = 9
DELAY_S = 0.012
TICK_S = 0.1
# Twice what it takes a digest to come round, below what look-ups allow.
KNOWN_AFTER_S = 3.5


class LargeFleet:
    """81 VMs in 9 zones; a message takes `DELAY_S`."""

    def __init__(self, **changes):
        self.now_s = 1000.0
        self.due = []
        self.order = itertools.count()
        self.sent = collections.Counter()
        self.down = set()
        accounts = (
            (tables.Account("acme", rate_per_s=100.0, burst=100.0), ("k",)),
        )
        self.records = tuple(
            registry.VmRecord(
                f"{zone}-vm{n}",
                zone,
                region,
                f"{zone}{n}:1",
                f"{zone}{n}:2",
                "",
            )
            for zone, region in ZONES.items()
            for n in range(VMS_A_ZONE)
        )
        self.vms = {}
        for record in self.records:
            vm = samples.Vm(
                samples.make_table(accounts=accounts),
                name=record.name,
                zone=record.zone,
                region=record.region,
                region_by_zone=ZONES,
                caller_address=record.caller_address,
                **changes,
            )
            self.vms[record.name] = vm
            vm.reduce(events.VmsListed(self.now_s, self.records, 4))

    def run(self, duration_s):
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            for name, vm in self.vms.items():
                if name not in self.down:
                    self.submit(name, vm, events.Ticked(self.now_s))
            self.now_s += TICK_S
            self.deliver()

    def deliver(self):
        while self.due and self.due[0][0] <= self.now_s:
            at_s, _, to, sender, message = heapq.heappop(self.due)
            if to not in self.down:
                received = events.PeerReceived(at_s, sender, message)
                self.submit(to, self.vms[to], received)

    def submit(self, name, vm, event):
        for effect in vm.reduce(event):
            if isinstance(effect, quota_effects.SendMessage):
                self.sent[name, type(effect.message)] += 1
                arrives_s = event.at_s + DELAY_S
                heapq.heappush(
                    self.due,
                    (
                        arrives_s,
                        next(self.order),
                        effect.to,
                        name,
                        effect.message,
                    ),
                )

    def known(self, name, region):
        return lookup.addresses(self.vms[name].state, self.now_s, region, "")


def test_all_vms_know_all_others_at_a_part_of_the_messages():
    fleet = LargeFleet()
    fleet.run(KNOWN_AFTER_S)
    for name in fleet.vms:
        for region in "abc":
            assert len(fleet.known(name, region)) == 3 * VMS_A_ZONE
    fleet.sent.clear()
    fleet.run(10.0)
    # To 8 VMs of the zone and 2 of each of 8 other zones, in place of 80.
    assert max(
        collections.Counter(name for name, _ in fleet.sent.elements()).values()
    ) <= 11 * (8 + 16)


def test_a_vm_that_dies_is_forgotten_everywhere_in_time():
    fleet = LargeFleet()
    fleet.run(KNOWN_AFTER_S)
    fleet.down = {"a-1-vm0", "b-2-vm3"}
    fleet.run(members_timeout(fleet) + KNOWN_AFTER_S)
    for name in fleet.vms.keys() - fleet.down:
        assert len(fleet.known(name, "a")) == 3 * VMS_A_ZONE - 1
        assert len(fleet.known(name, "b")) == 3 * VMS_A_ZONE - 1
        assert len(fleet.known(name, "c")) == 3 * VMS_A_ZONE


def test_a_half_of_a_zone_that_dies_does_not_hide_the_other_half():
    fleet = LargeFleet()
    fleet.run(KNOWN_AFTER_S)
    fleet.down = {f"a-1-vm{n}" for n in range(5)}
    for _ in range(20):
        fleet.run(1.0)
        for name in fleet.vms.keys() - fleet.down:
            lost = 3 * VMS_A_ZONE - len(fleet.known(name, "a"))
            assert lost <= len(fleet.down)


def members_timeout(fleet):
    vm = next(iter(fleet.vms.values()))
    return vm.state.settings.peer_timeout_s


def test_a_stop_is_known_everywhere_with_the_next_message():
    fleet = LargeFleet()
    fleet.run(KNOWN_AFTER_S)
    stopping = "a-1-vm0"
    fleet.submit(
        stopping, fleet.vms[stopping], events.StopRequested(fleet.now_s)
    )
    fleet.run(0.3)
    for name in fleet.vms:
        assert len(fleet.known(name, "a")) == 3 * VMS_A_ZONE - 1


def test_a_restarted_fleet_uses_its_units_without_waiting_for_loans():
    fleet = LargeFleet(first_start=False)
    fleet.run(1.0)
    usable = sum(
        vm.state.quota.resources["account/acme"].usable_units
        for vm in fleet.vms.values()
    )
    assert usable == members.UNITS_PER_LIMIT


@pytest.mark.parametrize(
    ("burst", "expected"),
    [(2.0, 3), (20.0, 4), (1000.0, members.MAX_LIMIT_OWNERS)],
)
def test_units_of_an_account_lie_on_few_vms_that_all_agree_on(burst, expected):
    fleet = LargeFleet()
    account = tables.Account("acme", rate_per_s=10.0, burst=burst)
    owned = {}
    for name, vm in fleet.vms.items():
        held_by = members.limit_owners(vm.state.fleet, account)
        owned[name] = members.own_units(vm.state.fleet, held_by)
    owners = {name for name, units in owned.items() if units}
    assert sum(owned.values()) == members.UNITS_PER_LIMIT
    assert len(owners) == expected
    assert {ZONES[name.rpartition("-")[0]] for name in owners} == set("abc")
    for vm in fleet.vms.values():
        assert set(members.limit_owners(vm.state.fleet, account)) == owners


def test_a_loan_is_told_only_to_its_lender():
    schedule = heartbeats.Schedule()
    fleet = LargeFleet().vms["a-1-vm0"].state.fleet
    own = messages.SteeringBeat("process", ready=True, leaving=False)
    sent = heartbeats.send(
        schedule, fleet, 1000.0, own, frozenset(("a-1-vm3",))
    )
    holding = [
        effect.to
        for effect in sent
        if isinstance(effect.message, messages.SteeringBeat)
        and effect.message.holds_loans
    ]
    assert holding == ["a-1-vm3"]
