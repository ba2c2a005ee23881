"""Runs a scenario: VMs with the real reducer, callers and targets."""

from collections.abc import Mapping
import math
import random
import types

import attrs

from mulberrydeck.emulator import balance
from mulberrydeck.emulator import callers
from mulberrydeck.emulator import clock as clocks
from mulberrydeck.emulator import results as results_module
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.emulator import targets as emulated_targets
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
# Interval between checks whether all requests have ended.
END_CHECK_S = 0.5
WARMUP_S = 6.0  # Loans and heartbeats settle before requests arrive.


@attrs.define(eq=False)
class Vm:
    """An emulated VM, which runs its own reducer.

    Attributes:
        name: Its name.
        region: Its region.
        state: State of its reducer.
    """

    name: str
    region: str
    state: states.State


class Emulation:
    """One emulated run of a scenario.

    Attributes:
        scenario: The scenario to run.
        arrivals_end_s: Time after which no requests arrive, in seconds.
        host: Host to which callers send requests.
        clock: Clock of the virtual time.
        results: Results of the callers' requests.
        vms: All VMs by name.
        targets: All targets by name.
        pools: The targets of each service and region.
        exchanges: Requests in flight by identifier.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        choose: placement.SelectionPolicy = placement.choose,
        report_age_s: float = 0.0,
        settings: Mapping[str, object] = types.MappingProxyType({}),
    ) -> None:
        """Prepares an emulation.

        Args:
            scenario: The scenario to run.
            seed: Seed of all random choices.
            choose: Policy that selects the target of a request.
            report_age_s: Age of the loads that targets report, in seconds.
            settings: Settings of all VMs that differ from the defaults.
        """
        self.scenario = scenario
        self.arrivals_end_s = WARMUP_S + scenario.duration_s
        self.host = HOST
        self.clock = clocks.Clock()
        self.rng = random.Random(seed)
        # A separate generator, so that the load is the same for all policies.
        self.arrival_rng = random.Random(seed + 1)
        # Separate ones as well, so that requests and machines are equally slow.
        self.tail_rng = random.Random(seed + 2)
        self.noise_rng = random.Random(seed + 3)
        self.results = results_module.Results()
        self.settings = settings
        self.report_age_s = report_age_s
        self.pools: dict[tuple[str, str], balance.TargetPool] = {}
        self.targets = self._make_targets()
        self.vms = {vm.name: vm for vm in self._make_vms(choose)}
        self.exchanges: dict[str, callers.Exchange] = {}

    def run(self) -> results_module.Results:
        """Runs the scenario and returns the results of its requests."""
        for vm in self.vms.values():
            self._tick(vm)
        for slowdown in self.scenario.slowdowns:
            self._schedule_slowdown(slowdown)
        if self.scenario.noise_share > 0:
            self._draw_noise()
        self.clock.run(WARMUP_S)
        callers.start_arrivals(self)
        self.clock.after(balance.WINDOW_S, self._measure_balance)
        self.clock.run(self.arrivals_end_s)
        self._finish_requests()
        runs = sum(target.runs for target in self.targets.values())
        cache_misses = sum(
            target.cache_misses for target in self.targets.values()
        )
        self.results.cache_miss_fraction = cache_misses / max(1, runs)
        return self.results

    def _finish_requests(self) -> None:
        """Runs until all requests have ended or should have."""
        max_deadline_s = max(kind.deadline_s for kind in self.scenario.classes)
        end_s = self.arrivals_end_s + 2 * max_deadline_s
        while (
            len(self.results.completed) < self.results.started
            and self.clock.now_s < end_s
        ):
            self.clock.run(self.clock.now_s + END_CHECK_S)
        for exchange in self.exchanges.values():
            if not exchange.finished:
                elapsed_s = self.clock.now_s - exchange.request.sent_s
                self.results.completed.append(
                    exchange.request.completed(elapsed_s, 0)
                )

    def draw_tail_factor(self) -> float:
        """Returns the work of a request relative to others of its kind."""
        tail = self.scenario.tail
        return tail.factor if self.tail_rng.random() < tail.share else 1.0

    def submit(self, vm: Vm, event: object) -> None:
        """Submits an event to a VM and carries out its effects."""
        # A decision may belong to any request of the VM, such as one that waits
        # for a message.
        for effect in reducer.reduce(vm.state, event):
            match effect:
                case quota_effects.SendMessage(name, message):
                    self._send(vm, name, message)
                case effects.Forward() | effects.Deliver() | effects.Refuse():
                    self.exchanges[effect.request_id].apply(effect)

    def one_way_delay_s(self, region: str, other: str) -> float:
        """Returns the one-way delay between two regions, in seconds."""
        same_region = region == other
        return self.scenario.near_s if same_region else self.scenario.far_s

    def _send(self, vm: Vm, name: str, message: object) -> None:
        peer = self.vms[name]
        delay_s = self.one_way_delay_s(vm.region, peer.region)

        def arrive() -> None:
            now_s = self.clock.now_s
            self.submit(peer, events.PeerReceived(now_s, vm.name, message))

        self.clock.after(delay_s, arrive)

    def _tick(self, vm: Vm) -> None:
        self.submit(vm, events.Ticked(self.clock.now_s))
        self.clock.after(TICK_S, lambda: self._tick(vm))

    def _schedule_slowdown(self, slowdown: scenarios.Slowdown) -> None:
        """Schedules the start and the end of a slowdown of targets."""

        def set_work_factor(work_factor: float) -> None:
            for target in slowed:
                target.set_work_factor(work_factor)

        # Evenly spaced, so that every service and zone has its share.
        slowed = [
            target
            for number, target in enumerate(self.targets.values())
            if (number * slowdown.part) % 1.0 + slowdown.part >= 1.0
        ]
        start_s = WARMUP_S + slowdown.at_s
        self.clock.after(start_s, lambda: set_work_factor(slowdown.factor))
        end_s = start_s + slowdown.for_s
        self.clock.after(end_s, lambda: set_work_factor(1.0))

    def _draw_noise(self) -> None:
        """Draws the targets that are slow in the next period."""
        targets = list(self.targets.values())
        count = round(self.scenario.noise_share * len(targets))
        slowed = set(self.noise_rng.sample(range(len(targets)), count))
        for number, target in enumerate(targets):
            noise = self.scenario.noise_factor if number in slowed else 1.0
            target.set_noise_factor(noise)
        self.clock.after(self.scenario.noise_period_s, self._draw_noise)

    def _measure_balance(self) -> None:
        """Records the balance of a window, up to the end of arrivals."""
        for key, pool in self.pools.items():
            self.results.unevenness[key].append(pool.take_unevenness())
        if self.clock.now_s + balance.WINDOW_S <= self.arrivals_end_s:
            self.clock.after(balance.WINDOW_S, self._measure_balance)

    def _make_targets(self) -> dict[str, emulated_targets.EmulatedTarget]:
        targets = {}
        for group in self.scenario.targets:
            region = self.scenario.region_by_zone[group.zone]
            pool = self.pools.setdefault(
                (group.service, region),
                balance.TargetPool(group.service, region),
            )
            for number in range(group.count):
                name = f"{group.service}-{group.zone}-{number}"
                address = f"10.0.{len(targets) // 250}.{len(targets) % 250}:80"
                entry = registry.TargetEntry(
                    name, group.service, address, group.zone, group.slots
                )
                targets[name] = emulated_targets.EmulatedTarget(
                    entry,
                    group,
                    self.clock,
                    self.rng,
                    pool,
                    self.report_age_s,
                )
        return targets

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
            **self.settings,
        )

    def _table(self) -> tables.RoutingTable:
        routes = tuple(
            tables.Route(
                name=kind.name,
                host=HOST,
                prefix=f"/{kind.name}/",
                repeatability=tables.Repeatability.SAFE
                if kind.repeatable
                else tables.Repeatability.AT_MOST_ONCE,
                services=(tables.WeightedService(kind.service, 1.0),),
                timeout_s=kind.timeout_s,
                target_latency_s=kind.goal_s,
                max_attempts=2,
                priority=kind.priority,
            )
            for kind in self.scenario.classes
        )
        accounts = tuple(
            (
                tables.Account(
                    account.name, None, account.rate_per_s, account.burst
                ),
                (account.name,),
            )
            for account in self.scenario.single_accounts
        )
        services = tuple(
            tables.Service(name)
            for name in sorted(
                {group.service for group in self.scenario.targets}
            )
        )
        return tables.build_table(
            1, routes, services, accounts, tables.CallerLimits()
        )

    def load_factor(self, region: str, account: str, kind: str) -> float:
        """Returns the current load as a multiple of its mean."""
        at_s = self.clock.now_s - WARMUP_S
        regions = self.scenario.regions
        phase = regions.index(region) / len(regions)
        cycles = at_s / self.scenario.wave_period_s + phase
        factor = 1.0 + self.scenario.wave * math.sin(2 * math.pi * cycles)
        for surge in self.scenario.surges:
            if (
                surge.at_s <= at_s < surge.at_s + surge.for_s
                and surge.account in ("", account)
                and surge.kind in ("", kind)
            ):
                factor *= surge.factor
        return factor
