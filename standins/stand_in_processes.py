"""Processes of a deployment's stand-ins, and calls of their control paths."""

import collections.abc
import contextlib
import itertools
import json
import pathlib

import attrs
import cattrs

from standins import http_client
from standins import layout
from standins import processes
from standins.fault_proxy import rules
from standins.target import behaviour


class StandIns:
    """Platform, fault proxy and targets of one deployment.

    Attributes:
        layout: Addresses of the deployment.
        group: Group in which the processes are started.
        initial: Behaviour of targets at the start, except their slots.
        platform: Process of the platform.
        proxy: Process of the fault proxy.
        targets: Processes of targets, by zone.
        rule_ids: Fault rules that `heal` removes.
    """

    def __init__(
        self,
        deployment_layout: layout.Layout,
        group: processes.ProcessGroup,
        initial: behaviour.Behaviour,
    ):
        self.layout = deployment_layout
        self.group = group
        self.initial = initial
        self.platform: processes.Process | None = None
        self.proxy: processes.Process | None = None
        self.targets: dict[str, processes.Process] = {}
        self.rule_ids: list[int] = []

    def start(self) -> None:
        """Starts all stand-ins and waits until they are ready."""
        self.platform = self.group.start_module(
            "platform", "standins.platform", "--listen", self.layout.platform
        )
        proxy_spec = attrs.asdict(self.layout.proxy_specification())
        self.proxy = self.start_with_file("proxy", "fault_proxy", proxy_spec)
        for zone in self.layout.zone_numbers:
            self.launch_targets(zone)
        for process in (self.platform, self.proxy, *self.targets.values()):
            process.wait_ready()

    def launch_targets(self, zone: str) -> processes.Process:
        """Starts the process of a zone's targets without waiting for it."""
        target_spec = self.layout.target_specification(zone, self.initial)
        process = self.start_with_file(
            f"targets-{zone}", "targets", target_spec
        )
        self.targets[zone] = process
        return process

    def start_with_file(
        self, name: str, module: str, data: object
    ) -> processes.Process:
        """Starts a stand-in with a JSON specification file."""
        path: pathlib.Path = self.group.directory / f"{name}.json"
        path.write_text(json.dumps(data))
        return self.group.start_module(
            name, f"standins.{module}", "--spec", str(path)
        )

    # Platform.

    def publish_vms(self, listed: list[dict[str, object]]) -> None:
        """Sets the platform's VM list."""
        http_client.call(self.layout.platform, "PUT", "/control/vms", listed)

    def set_platform_faults(self, **changes: object) -> None:
        """Changes fields of `standins.platform.faults.Faults`."""
        http_client.post(self.layout.platform, "/control/faults", changes)

    def platform_counters(self) -> dict[str, object]:
        """Returns the platform's call counters."""
        return http_client.fetch(self.layout.platform, "/control/counters")

    # Fault proxy.

    def add_rule(self, source: str, destination: str, **fault: object) -> int:
        """Puts a fault rule in force and returns its identifier.

        Args:
            source: Selector of the sending place.
            destination: Selector of the receiving place.
            **fault: Other fields of `standins.fault_proxy.rules.Rule`.
        """
        rule = rules.Rule(source, destination, **fault)
        data = attrs.asdict(rule)
        added = http_client.post(self.layout.proxy_control, "/rules", data)
        self.rule_ids.append(added["id"])
        return added["id"]

    def remove_rule(self, rule_id: int) -> None:
        """Removes a fault rule."""
        path = f"/rules/{rule_id}"
        http_client.call(self.layout.proxy_control, "DELETE", path)

    def heal(self) -> None:
        """Removes all fault rules except those of `set_latencies`."""
        for rule_id in self.rule_ids:
            self.remove_rule(rule_id)
        self.rule_ids.clear()

    def set_latencies(
        self,
        zones_s: float = 0.001,
        regions_s: float = 0.015,
        callers_s: float = 0.008,
    ) -> None:
        """Adds rules for one-way latencies; `heal` doesn't remove them.

        Args:
            zones_s: Latency between two zones of a region, in seconds.
            regions_s: Latency between regions and to the platform, in seconds.
            callers_s: Latency between callers and VMs, in seconds.
        """
        zones = list(self.layout.zone_numbers)
        region_of = self.layout.deployment.region_of
        for first, second in itertools.combinations(zones, 2):
            same_region = region_of(first) == region_of(second)
            delay_s = zones_s if same_region else regions_s
            self.add_rule(f"zone:{first}", f"zone:{second}", delay_s=delay_s)
        self.add_rule("zone:platform", "any", delay_s=regions_s)
        self.add_rule("any", "any", kinds=("caller",), delay_s=callers_s)
        self.rule_ids.clear()

    @contextlib.contextmanager
    def rule(
        self, source: str, destination: str, **fault: object
    ) -> collections.abc.Iterator[None]:
        """Keeps a fault rule in force inside a block."""
        rule_id = self.add_rule(source, destination, **fault)
        try:
            yield
        finally:
            self.remove_rule(rule_id)

    def isolate(self, zone: str) -> list[int]:
        """Cuts a zone off from other zones' VMs and targets and the platform.

        Callers near the zone still reach it.

        Returns:
            Identifiers of the rules.
        """
        others = [name for name in self.layout.zone_numbers if name != zone]
        return [
            self.add_rule(f"zone:{zone}", f"zone:{other}", cut=True)
            for other in [*others, layout.PLATFORM]
        ]

    def traffic(self, since_s: float = 0.0) -> dict[str, object]:
        """Returns the fault proxy's counters.

        Args:
            since_s: Monotonic time, in seconds; earlier slices are omitted.
        """
        path = f"/counters?since_s={since_s}"
        return http_client.fetch(self.layout.proxy_control, path)

    # Targets.

    def change_target(self, name: str, **changes: object) -> None:
        """Changes fields of `standins.target.behaviour.Behaviour`."""
        address = self.layout.target_addresses[name]
        http_client.post(address, "/_control", changes)

    def runs_of(self, name: str) -> list[behaviour.Run]:
        """Returns the run log of one target."""
        address = self.layout.target_addresses[name]
        logged = http_client.fetch(address, "/_control/runs")
        return cattrs.structure(logged, list[behaviour.Run])

    def runs(self) -> list[behaviour.Run]:
        """Returns the runs of all running targets, by time of arrival."""
        runs = []
        for target in self.layout.deployment.targets:
            if self.targets[target["zone"]].is_running():
                runs.extend(self.runs_of(target["name"]))
        return sorted(runs, key=lambda run: run.start_s)
