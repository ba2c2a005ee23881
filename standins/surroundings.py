"""The stand-ins around a deployment's VMs, and their control paths."""

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


class Surroundings:
    """Platform, fault proxy and targets of one deployment.

    Attributes:
        layout: Addresses.
        group: Where processes are started.
        usual: Behaviour of targets at the start, besides their slots.
        platform: Process of the platform.
        proxy: Process of the fault proxy.
        targets: Processes of targets, by zone.
    """

    def __init__(
        self,
        placed: layout.Layout,
        group: processes.ProcessGroup,
        usual: behaviour.Behaviour,
    ):
        self.layout = placed
        self.group = group
        self.usual = usual
        self.platform: processes.Process | None = None
        self.proxy: processes.Process | None = None
        self.targets: dict[str, processes.Process] = {}
        self.faults: list[int] = []

    def start(self) -> None:
        """Starts all stand-ins and waits until they are ready."""
        self.platform = self.group.start_module(
            "platform", "standins.platform", "--listen", self.layout.platform
        )
        wanted = attrs.asdict(self.layout.proxy_specification())
        self.proxy = self.start_with_file("proxy", "fault_proxy", wanted)
        for zone in self.layout.zone_numbers:
            self.launch_targets(zone)
        for process in (self.platform, self.proxy, *self.targets.values()):
            process.wait_ready()

    def launch_targets(self, zone: str) -> processes.Process:
        """Starts the process of a zone's targets without waiting for it."""
        wanted = self.layout.target_specification(zone, self.usual)
        process = self.start_with_file(f"targets-{zone}", "targets", wanted)
        self.targets[zone] = process
        return process

    def start_with_file(
        self, name: str, module: str, data: object
    ) -> processes.Process:
        """Starts a stand-in with a JSON specification."""
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
        """Returns the platform's counters of calls."""
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
        self.faults.append(added["id"])
        return added["id"]

    def remove_rule(self, rule_id: int) -> None:
        """Ends a fault rule."""
        path = f"/rules/{rule_id}"
        http_client.call(self.layout.proxy_control, "DELETE", path)

    def heal(self) -> None:
        """Ends all fault rules; latencies stay."""
        for rule_id in self.faults:
            self.remove_rule(rule_id)
        self.faults.clear()

    def set_latencies(
        self,
        zones_s: float = 0.001,
        regions_s: float = 0.015,
        callers_s: float = 0.008,
    ) -> None:
        """Puts the usual one-way latencies in force, in seconds.

        Args:
            zones_s: Between two zones of a region.
            regions_s: Between regions, and to the platform.
            callers_s: Between callers and VMs.
        """
        zones = list(self.layout.zone_numbers)
        region_of = self.layout.deployment.region_of
        for one, other in itertools.combinations(zones, 2):
            is_near = region_of(one) == region_of(other)
            delay_s = zones_s if is_near else regions_s
            self.add_rule(f"zone:{one}", f"zone:{other}", delay_s=delay_s)
        self.add_rule("zone:platform", "any", delay_s=regions_s)
        self.add_rule("any", "any", kinds=("caller",), delay_s=callers_s)
        self.faults.clear()

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
        """Cuts a zone off from all VMs and targets elsewhere and the platform.

        Its own callers still reach it. Returns the rules' identifiers.
        """
        others = [name for name in self.layout.zone_numbers if name != zone]
        return [
            self.add_rule(f"zone:{zone}", f"zone:{other}", cut=True)
            for other in [*others, layout.PLATFORM]
        ]

    def traffic(self, since_s: float = 0.0) -> dict[str, object]:
        """Returns the fault proxy's counters.

        Args:
            since_s: Leave out slices before this monotonic time.
        """
        path = f"/counters?since_s={since_s}"
        return http_client.fetch(self.layout.proxy_control, path)

    # Targets.

    def change_target(self, name: str, **changes: object) -> None:
        """Changes fields of `standins.target.behaviour.Behaviour`."""
        address = self.layout.target_addresses[name]
        http_client.post(address, "/_control", changes)

    def runs_of(self, name: str) -> list[behaviour.Run]:
        """Returns the log of one target."""
        address = self.layout.target_addresses[name]
        logged = http_client.fetch(address, "/_control/runs")
        return cattrs.structure(logged, list[behaviour.Run])

    def runs(self) -> list[behaviour.Run]:
        """Returns the logs of all running targets, by time of arrival."""
        found = []
        for target in self.layout.deployment.targets:
            if self.targets[target["zone"]].is_running():
                found.extend(self.runs_of(target["name"]))
        return sorted(found, key=lambda run: run.start_s)
