"""Simulated fleet: quota states that exchange messages in virtual time."""

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from mulberrydeck.quota import division
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer
from mulberrydeck.quota import state
from mulberrydeck.settings import declarations

VMS_BY_ZONE = {
    "a1": ("a1x", "a1y"),
    "a2": ("a2x", "a2y"),
    "b1": ("b1x", "b1y"),
    "b2": ("b2x", "b2y"),
    "c1": ("c1x",),
    "c2": ("c2x",),
}
ZONES = tuple(VMS_BY_ZONE)
REGION_DELAY_S = {"ab": 0.010, "ac": 0.015, "bc": 0.020}
ZONE_DELAY_S = 0.001
LOCAL_DELAY_S = 0.0003
WARM_UP_S = 6.0


@attrs.define
class Vm:
    """One VM: its quota state, clock offset and number of sent messages."""

    name: str
    zone: str
    quota: state.QuotaState
    clock_offset_s: float = 0.0
    incarnation: int = 1
    sent: int = 0
    deferred: list[Callable[[], None]] | None = None


@attrs.frozen
class Outcome:
    """Decision on one request, with its times."""

    resource: str
    vm: str
    arrived_s: float
    decided_s: float
    admitted: bool
    retry_after_s: float = 0.0


@attrs.define
class Fleet:
    """Simulated VMs, the network between them and the decisions made."""

    bounds: tuple[state.Bound, ...]
    draw: random.Random = attrs.field(factory=lambda: random.Random(1))
    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_s: float = 0.0
    now_s: float = 0.0
    vms: dict[str, Vm] = attrs.field(factory=dict)
    holders: dict[str, str] = attrs.field(
        factory=lambda: {zone: vms[0] for zone, vms in VMS_BY_ZONE.items()}
    )
    partitioned: set[str] = attrs.field(factory=set)
    outcomes: list[Outcome] = attrs.field(factory=list)
    pending: dict[str, Outcome] = attrs.field(factory=dict)
    event_queue: list[tuple] = attrs.field(factory=list)
    sequence: itertools.count = attrs.field(factory=itertools.count)
    observe: Callable[[], None] = lambda: None

    def __attrs_post_init__(self):
        for zone, names in VMS_BY_ZONE.items():
            for name in names:
                offset_s = self.draw.uniform(0.0, 1e4)
                quota = state.QuotaState(f"{name}#1", make_settings(name, zone))
                self.vms[name] = Vm(name, zone, quota, offset_s)
                self.configure(name, self.bounds)
                self.at(
                    self.draw.uniform(0.0, 0.1), lambda n=name: self.tick(n)
                )

    def configure(self, name, bounds):
        vm = self.vms[name]
        holder = self.holders[vm.zone]
        units = {
            bound.resource: division.own_units(bound.units, ZONES, vm.zone)
            for bound in bounds
        }
        own_units = units if name == holder else {}
        reducer.configure(vm.quota, self.clock(vm), bounds, own_units)
        self.set_lenders(name)

    def set_lenders(self, name):
        """Sets the holders that the VM can reach as lenders, nearest first."""
        vm = self.vms[name]
        others = sorted(
            (
                other
                for zone, other in self.holders.items()
                if zone != vm.zone and not self.is_partitioned(vm.zone, zone)
            ),
            key=lambda other: self.delay_s(name, other),
        )
        holder = self.holders[vm.zone]
        zone_holder = "" if name == holder else holder
        reducer.set_lenders(vm.quota, zone_holder, tuple(others))

    def is_partitioned(self, zone, other):
        return (zone in self.partitioned) != (other in self.partitioned)

    def partition(self, zone):
        """Partitions a zone; lenders are updated after the peer timeout."""
        self.partitioned.add(zone)
        for name, vm in self.vms.items():
            at_s = self.now_s + vm.quota.settings.peer_timeout_s
            self.at(at_s, lambda name=name: self.set_lenders(name))

    def clock(self, vm):
        return self.now_s + vm.clock_offset_s

    def at(self, at_s, action):
        heapq.heappush(self.event_queue, (at_s, next(self.sequence), action))

    def run(self, until_s):
        while self.event_queue and self.event_queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.event_queue)
            action()
            self.observe()
        self.now_s = until_s

    def run_on(self, name, action):
        """Runs an action on a VM, or defers it while the VM is paused."""
        vm = self.vms[name]
        if vm.deferred is not None:
            vm.deferred.append(action)
        else:
            action()

    def tick(self, name):
        vm = self.vms[name]
        if vm.deferred is None:
            self.apply_effects(vm, reducer.tick(vm.quota, self.clock(vm)))
        interval_s = vm.quota.settings.tick_interval_s
        self.at(self.now_s + interval_s, lambda: self.tick(name))

    def request(self, name, resource):
        self.run_on(name, lambda: self.admit(name, resource))

    def admit(self, name, resource):
        vm = self.vms[name]
        request_id = f"r{next(self.sequence)}"
        result, produced = reducer.admit(
            vm.quota, self.clock(vm), resource, request_id
        )
        outcome = Outcome(resource, name, self.now_s, self.now_s, False)
        match result:
            case state.Admitted():
                self.outcomes.append(attrs.evolve(outcome, admitted=True))
            case state.Denied(retry_after_s):
                self.outcomes.append(
                    attrs.evolve(outcome, retry_after_s=retry_after_s)
                )
            case state.Waiting():
                self.pending[request_id] = outcome
        self.apply_effects(vm, produced)

    def apply_effects(self, vm, produced):
        for effect in produced:
            match effect:
                case quota_effects.SendMessage(to, message):
                    vm.sent += 1
                    self.send(vm.name, to, message)
                case quota_effects.Raise(
                    quota_effects.QuotaDecided() as decided
                ):
                    outcome = self.pending.pop(decided.request_id, None)
                    if outcome is not None:
                        self.outcomes.append(
                            attrs.evolve(
                                outcome,
                                decided_s=self.now_s,
                                admitted=decided.admitted,
                                retry_after_s=decided.retry_after_s,
                            )
                        )

    def send(self, source, to, message):
        copies = 1 + (self.draw.random() < self.duplication)
        for _ in range(copies):
            if self.draw.random() < self.loss:
                continue
            delay_s = self.delay_s(source, to)
            delay_s += self.draw.uniform(0.0, self.extra_delay_s)
            self.at(
                self.now_s + delay_s,
                lambda: self.run_on(
                    to, lambda: self.receive(source, to, message)
                ),
            )

    def receive(self, source, to, message):
        if self.is_partitioned(self.vms[source].zone, self.vms[to].zone):
            return
        vm = self.vms[to]
        produced = reducer.receive(vm.quota, self.clock(vm), source, message)
        self.apply_effects(vm, produced)

    def delay_s(self, source, to):
        first, second = sorted((source[:2], to[:2]))
        if first == second:
            return LOCAL_DELAY_S
        if first[0] == second[0]:
            return ZONE_DELAY_S
        return REGION_DELAY_S[first[0] + second[0]]

    def pause(self, name):
        if self.vms[name].deferred is None:
            self.vms[name].deferred = []

    def resume(self, name):
        deferred, self.vms[name].deferred = self.vms[name].deferred, None
        for action in deferred or ():
            action()

    def stop(self, name):
        vm = self.vms[name]
        self.apply_effects(
            vm, reducer.return_all_loans(vm.quota, self.clock(vm))
        )

    def move_ownership(self, zone, name):
        """Makes another VM the holder of a zone's units."""
        self.holders[zone] = name
        for each in VMS_BY_ZONE[zone]:
            self.configure(each, self.bounds)

    def restart(self, name):
        vm = self.vms[name]
        vm.incarnation += 1
        vm.deferred = None
        self.pending = {
            request_id: outcome
            for request_id, outcome in self.pending.items()
            if outcome.vm != name
        }
        vm.quota = state.QuotaState(
            f"{name}#{vm.incarnation}", vm.quota.settings
        )
        self.configure(name, self.bounds)


def largest_excess(outcomes, rate_per_s, burst):
    """Returns the largest excess over burst + rate x window, in tokens.

    The maximum is taken over all time windows.
    """
    times_s = sorted(each.decided_s for each in outcomes if each.admitted)
    level = 0.0
    worst = 0.0
    last_s = 0.0
    for time_s in times_s:
        level = max(0.0, level - (time_s - last_s) * rate_per_s) + 1.0
        last_s = time_s
        worst = max(worst, level)
    return worst - burst


def make_settings(name="a1x", zone="a1"):
    return declarations.Settings(
        name=name,
        zone=zone,
        caller_address="127.0.0.1:1",
        relay_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        fleet_secret="s",
    )


def make_bound(name, rate_per_s, burst):
    return state.Bound(
        f"account/{name}", division.UNITS_PER_RESOURCE, rate_per_s, burst
    )
