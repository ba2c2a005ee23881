"""Plays a scenario: VMs with the real reducer, callers and targets."""

import math
import random

import attrs

from mulberrydeck.emulator import callers
from mulberrydeck.emulator import clock as clocks
from mulberrydeck.emulator import results as result_sets
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.emulator import targets as emulated
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import placement
from mulberrydeck.steering import reducer
from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import state as states
from mulberrydeck.steering import tables

HOST = "emulated.example"
TICK_S = 0.1
LEAD_S = 6.0  # Loans and heartbeats settle before the callers come.


@attrs.define(eq=False)
class Vm:
    """A VM with a view of its own.

    Attributes:
        name: Its name.
        region: Its region.
        state: State of its reducer.
    """

    name: str
    region: str
    state: states.State


class Day:
    """A scenario that is played once.

    Attributes:
        scenario: What is played.
        ends_s: When the last caller comes, in seconds.
        host: Host that callers name.
        clock: Virtual time.
        results: What callers got.
        vms: All VMs by name.
        targets: All targets by name.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        choose: placement.SelectionPolicy = placement.choose,
    ) -> None:
        """Prepares a day.

        Args:
            scenario: What is played.
            seed: Seed of all random choices.
            choose: Choice of a target for a request.
        """
        self.scenario = scenario
        self.ends_s = LEAD_S + scenario.duration_s
        self.host = HOST
        self.clock = clocks.Clock()
        self.rng = random.Random(seed)
        # Of its own, so that the load is the same whatever is chosen.
        self.arrivals = random.Random(seed + 1)
        self.results = result_sets.Results()
        self.targets = self._make_targets()
        self.vms = {vm.name: vm for vm in self._make_vms(choose)}
        self.exchanges: dict[str, callers.Exchange] = {}

    def play(self) -> result_sets.Results:
        """Plays the day and returns what callers got."""
        for vm in self.vms.values():
            self._tick(vm)
        for slowdown in self.scenario.slowdowns:
            self._plan_slowdown(slowdown)
        self.clock.run(LEAD_S)
        callers.start(self)
        last_s = max(one.deadline_s for one in self.scenario.classes)
        self.clock.run(self.ends_s + 2 * last_s)
        runs = sum(target.runs for target in self.targets.values())
        unknown = sum(target.unknown for target in self.targets.values())
        self.results.unknown_part = unknown / max(1, runs)
        return self.results

    def submit(self, vm: Vm, event: object) -> None:
        """Feeds an event to a VM and carries out its effects."""
        for effect in reducer.reduce(vm.state, event):
            match effect:
                case quota_effects.SendMessage(name, message):
                    self._send(vm, name, message)
                case effects.Forward() | effects.Deliver() | effects.Refuse():
                    self.exchanges[effect.request_id].decided(effect)

    def one_way_s(self, region: str, other: str) -> float:
        """Returns the delay between two regions, in seconds."""
        near = region == other
        return self.scenario.near_s if near else self.scenario.far_s

    def _send(self, vm: Vm, name: str, message: object) -> None:
        peer = self.vms[name]
        delay_s = self.one_way_s(vm.region, peer.region)

        def arrive() -> None:
            now_s = self.clock.now_s
            self.submit(peer, events.PeerReceived(now_s, vm.name, message))

        self.clock.after(delay_s, arrive)

    def _tick(self, vm: Vm) -> None:
        self.submit(vm, events.Ticked(self.clock.now_s))
        self.clock.after(TICK_S, lambda: self._tick(vm))

    def _plan_slowdown(self, slowdown: scenarios.Slowdown) -> None:
        """Plans the times at which targets become slow, and are so no more."""

        def set_slowness(slowness: float) -> None:
            for target in chosen:
                target.slowness = slowness

        # Evenly spaced, so that every service and zone has its part.
        chosen = [
            target
            for number, target in enumerate(self.targets.values())
            if (number * slowdown.part) % 1.0 + slowdown.part >= 1.0
        ]
        begin_s = LEAD_S + slowdown.at_s
        self.clock.after(begin_s, lambda: set_slowness(slowdown.factor))
        end_s = begin_s + slowdown.for_s
        self.clock.after(end_s, lambda: set_slowness(1.0))

    def _make_targets(self) -> dict[str, emulated.EmulatedTarget]:
        made = {}
        for group in self.scenario.targets:
            for number in range(group.count):
                name = f"{group.service}-{group.zone}-{number}"
                address = f"10.0.{len(made) // 250}.{len(made) % 250}:80"
                entry = registry.TargetEntry(
                    name, group.service, address, group.zone, group.slots
                )
                made[name] = emulated.EmulatedTarget(
                    entry, group, self.clock, self.rng
                )
        return made

    def _make_vms(self, choose: placement.SelectionPolicy) -> list[Vm]:
        records = tuple(self._records())
        table = self._table()
        entries = tuple(target.entry for target in self.targets.values())
        vms = []
        for record in records:
            state = states.create(
                self._settings(record), "process", 0.0, self.rng.getrandbits(32)
            )
            state.choose = choose
            vm = Vm(record.name, record.region, state)
            for event in (
                events.VmsListed(0.0, records, 1),
                events.TableLoaded(0.0, table, 2),
                events.TargetsListed(0.0, entries, 3),
            ):
                reducer.reduce(state, event)
            vms.append(vm)
        return vms

    def _records(self) -> list[registry.VmRecord]:
        records = []
        for zone, count in self.scenario.vms_by_zone.items():
            region = self.scenario.region_by_zone[zone]
            for number in range(count):
                name = f"{zone}-{number + 1}"
                records.append(
                    registry.VmRecord(
                        name, zone, region, f"{name}:1", f"{name}:2", "process"
                    )
                )
        return records

    def _settings(
        self, record: registry.VmRecord
    ) -> settings_module.SteeringSettings:
        return settings_module.SteeringSettings(
            name=record.name,
            zone=record.zone,
            region=record.region,
            region_by_zone=self.scenario.region_by_zone,
            caller_address=record.caller_address,
            ready_address="",
            look_up_address="",
            peer_address=record.peer_address,
            metrics_address="",
            platform_address="",
            first_start=True,
        )

    def _table(self) -> tables.RoutingTable:
        routes = tuple(
            tables.Route(
                name=one.name,
                host=HOST,
                prefix=f"/{one.name}/",
                repeatability=tables.Repeatability.SAFE
                if one.repeatable
                else tables.Repeatability.AT_MOST_ONCE,
                services=(tables.WeightedService(one.service, 1.0),),
                timeout_s=one.timeout_s,
                target_latency_s=one.goal_s,
                max_attempts=2,
            )
            for one in self.scenario.classes
        )
        accounts = tuple(
            (
                tables.Account(one.name, None, one.rate_per_s, one.burst),
                (one.name,),
            )
            for one in self.scenario.accounts
        )
        services = tuple(
            tables.Service(name)
            for name in sorted({one.service for one in self.scenario.targets})
        )
        return tables.build_table(
            1, routes, services, accounts, tables.CallerLimits()
        )

    def load_factor(self, region: str, account: str) -> float:
        """Returns the present load of a region relative to its mean."""
        at_s = self.clock.now_s - LEAD_S
        regions = sorted(set(self.scenario.region_by_zone.values()))
        phase = regions.index(region) / len(regions)
        turn = at_s / self.scenario.wave_period_s + phase
        factor = 1.0 + self.scenario.wave * math.sin(2 * math.pi * turn)
        for surge in self.scenario.surges:
            if surge.at_s <= at_s < surge.at_s + surge.for_s and (
                surge.account in ("", account)
            ):
                factor *= surge.factor
        return factor
