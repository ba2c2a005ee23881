"""Heartbeats in a large fleet, simulated by reducers in virtual time."""

import collections
import heapq
import itertools
import random

import pytest

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import events
from mulberrydeck.steering import heartbeats
from mulberrydeck.steering import limit_owners
from mulberrydeck.steering import lookup
from mulberrydeck.steering import members
from mulberrydeck.steering import registry
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

ZONES = {f"{region}-{n}": region for region in "abc" for n in (1, 2, 3)}
VMS_PER_ZONE = 9
MESSAGE_DELAY_S = 0.012
TICK_INTERVAL_S = 0.1
# Twice the time in which digests reach all VMs, and no longer than a VM may be
# silent before lookups omit it.
CONVERGENCE_S = 3.5


class LargeFleet:
    """81 VMs in 9 zones; each message takes `MESSAGE_DELAY_S`."""

    def __init__(self, **changes):
        self.now_s = 1000.0
        self.in_transit = []
        self.sequence = itertools.count()
        self.sent = collections.Counter()
        self.links = set()
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
            for n in range(VMS_PER_ZONE)
        )
        self.vms = {}
        for record in self.records:
            vm = samples.Vm(
                samples.make_table(accounts=accounts),
                listed=(),
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
            self.now_s += TICK_INTERVAL_S
            self.deliver()

    def deliver(self):
        while self.in_transit and self.in_transit[0][0] <= self.now_s:
            at_s, _, to, sender, message = heapq.heappop(self.in_transit)
            if to not in self.down:
                received = events.PeerReceived(at_s, sender, message)
                self.submit(to, self.vms[to], received)

    def submit(self, name, vm, event):
        for effect in vm.reduce(event):
            if isinstance(effect, quota_effects.SendMessage):
                self.sent[name, type(effect.message)] += 1
                self.links.add((name, effect.to))
                arrives_s = event.at_s + MESSAGE_DELAY_S
                heapq.heappush(
                    self.in_transit,
                    (
                        arrives_s,
                        next(self.sequence),
                        effect.to,
                        name,
                        effect.message,
                    ),
                )

    def lookup_result(self, name, region):
        state = self.vms[name].state
        rng = random.Random(1)
        return lookup.addresses(state, self.now_s, region, "", rng)


def test_all_vms_know_each_other_with_few_messages():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    for name in fleet.vms:
        for region in "abc":
            assert len(fleet.lookup_result(name, region)) == 3 * VMS_PER_ZONE
    fleet.sent.clear()
    fleet.run(10.0)
    # Each heartbeat goes to 8 VMs of the zone and 2 VMs in each of 8 other
    # zones, instead of 80 VMs.
    assert max(
        collections.Counter(name for name, _ in fleet.sent.elements()).values()
    ) <= 11 * (8 + 16)


def test_a_vm_sends_to_few_others_while_all_work():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    fleet.links.clear()
    fleet.run(20.0)
    for name in fleet.vms:
        receivers = {to for sender, to in fleet.links if sender == name}
        assert len(receivers) <= (VMS_PER_ZONE - 1) + 2 * (len(ZONES) - 1)


def test_a_fleet_that_starts_for_the_first_time_asks_for_no_loans():
    fleet = LargeFleet()
    fleet.run(2.0)
    heartbeats_per_vm = max(
        count
        for (_, kind), count in fleet.sent.items()
        if kind is messages.SteeringHeartbeat
    )
    # Two or three of its own to each VM of the zone, and a response to each.
    assert heartbeats_per_vm <= 4 * (VMS_PER_ZONE - 1)


def test_no_zone_is_lost_while_senders_of_digests_fail():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    fleet.down = {"a-1-vm0", "a-1-vm4"}
    for _ in range(50):
        fleet.run(0.1)
        for name in fleet.vms.keys() - fleet.down:
            omitted = 3 * VMS_PER_ZONE - len(fleet.lookup_result(name, "a"))
            assert omitted <= len(fleet.down)


def test_failed_vms_are_omitted_from_lookups_in_time():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    fleet.down = {"a-1-vm0", "b-2-vm3"}
    fleet.run(peer_timeout_s(fleet) + CONVERGENCE_S)
    for name in fleet.vms.keys() - fleet.down:
        assert len(fleet.lookup_result(name, "a")) == 3 * VMS_PER_ZONE - 1
        assert len(fleet.lookup_result(name, "b")) == 3 * VMS_PER_ZONE - 1
        assert len(fleet.lookup_result(name, "c")) == 3 * VMS_PER_ZONE


def test_other_half_of_a_zone_stays_listed_when_half_fails():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    fleet.down = {f"a-1-vm{n}" for n in range(5)}
    for _ in range(20):
        fleet.run(1.0)
        for name in fleet.vms.keys() - fleet.down:
            omitted = 3 * VMS_PER_ZONE - len(fleet.lookup_result(name, "a"))
            assert omitted <= len(fleet.down)


def peer_timeout_s(fleet):
    vm = next(iter(fleet.vms.values()))
    return vm.state.settings.peer_timeout_s


def test_planned_stop_is_known_to_all_vms_within_one_message():
    fleet = LargeFleet()
    fleet.run(CONVERGENCE_S)
    stopped_vm = "a-1-vm0"
    fleet.submit(
        stopped_vm, fleet.vms[stopped_vm], events.StopRequested(fleet.now_s)
    )
    fleet.run(0.3)
    for name in fleet.vms:
        assert len(fleet.lookup_result(name, "a")) == 3 * VMS_PER_ZONE - 1


def test_restarted_fleet_uses_its_units_before_leases_expire():
    fleet = LargeFleet(first_start=False)
    fleet.run(1.0)
    usable = sum(
        vm.state.quota.resources["account/acme"].usable_units
        for vm in fleet.vms.values()
    )
    assert usable == members.UNITS_PER_LIMIT


@pytest.mark.parametrize(
    ("burst", "expected"),
    [(2.0, 3), (20.0, 4), (1000.0, limit_owners.MAX_LIMIT_OWNERS)],
)
def test_few_agreed_vms_own_the_units_of_an_account(burst, expected):
    fleet = LargeFleet()
    account = tables.Account("acme", rate_per_s=10.0, burst=burst)
    units_by_vm = {}
    for name, vm in fleet.vms.items():
        names = members.limit_owners(vm.state.fleet, account)
        units_by_vm[name] = members.own_units(vm.state.fleet, account, names)
    owners = {name for name, units in units_by_vm.items() if units}
    assert sum(units_by_vm.values()) == members.UNITS_PER_LIMIT
    assert len(owners) == expected
    assert {ZONES[name.rpartition("-")[0]] for name in owners} == set("abc")
    for vm in fleet.vms.values():
        assert set(members.limit_owners(vm.state.fleet, account)) == owners


def test_heartbeats_mention_loans_only_to_their_lender():
    schedule = heartbeats.Schedule()
    fleet = LargeFleet().vms["a-1-vm0"].state.fleet
    own = messages.SteeringHeartbeat("process", ready=True, leaving=False)
    sent = heartbeats.send(
        schedule, fleet, 1000.0, own, frozenset(("a-1-vm3",))
    )
    receivers_with_loans = [
        effect.to
        for effect in sent
        if isinstance(effect.message, messages.SteeringHeartbeat)
        and effect.message.holds_loans
    ]
    assert receivers_with_loans == ["a-1-vm3"]


def test_a_vm_that_is_not_listed_yet_sends_digests():
    fleet = LargeFleet()
    vm = fleet.vms["a-1-vm0"]
    others = tuple(each for each in fleet.records if each.zone != "a-1")
    vm.reduce(events.VmsListed(fleet.now_s, others, 5))
    vm.reduce(events.Ticked(fleet.now_s))
    assert vm.state.heartbeat_schedule.digest_receivers
