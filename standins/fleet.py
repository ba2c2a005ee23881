"""Runs a complete deployment as processes on the loopback network.

Example:
    with fleet.Fleet(deployments.small(), directory) as running:
        running.start()
        running.apply()
        key = running.issue_key("acme")
        client = running.client("east-a-vm1", key)
        client.request("GET", "/v1/services/permits/status")

The exit of the block kills all processes, also after an exception.
"""

import collections.abc
import contextlib
import pathlib
import secrets
import signal
import sys

import attrs
import tomlkit

from standins import addresses
from standins import deployments
from standins import evidence
from standins import http_client
from standins import layout
from standins import processes
from standins import readiness
from standins import stand_in_processes
from standins import waiting
from standins.target import behaviour

KEY_HEADER = "Mulberrydeck-Key"


class CommandError(AssertionError):
    """An operator's command that had to succeed failed."""


@attrs.frozen
class Options:
    """Options of a fleet.

    Attributes:
        proxied: Kinds of connections that go through the fault proxy.
        settings: Settings of all VMs that differ from the defaults.
        initial: Behaviour of all targets at the start, except their slots.
        program: Command that runs mulberrydeck.
    """

    proxied: frozenset[str] = layout.ALL_KINDS
    settings: dict[str, object] = attrs.field(factory=dict)
    initial: behaviour.Behaviour = attrs.field(factory=behaviour.Behaviour)
    program: tuple[str, ...] = (sys.executable, "-m", "mulberrydeck")


@attrs.frozen
class CommandResult:
    """Result of an operator's command.

    Attributes:
        exit_code: 0 for success, 1 for refused or failed, 2 for bad input.
        output: Text of standard output.
        errors: Text of standard error.
    """

    exit_code: int
    output: str
    errors: str


class Fleet:
    """The processes of a deployment.

    Attributes:
        options: Options of the fleet.
        layout: Addresses of the deployment.
        group: All processes.
        stand_ins: Platform, fault proxy and targets.
        vms: Processes of VMs by name, including ended ones.
        listed: Names of VMs in the platform's list.
        leaving: Names of VMs that the platform lists as leaving.
        secret: Secret that all VMs share.
        commands: Number of operator's commands run so far.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        directory: pathlib.Path,
        options: Options | None = None,
    ):
        self.options = options or Options()
        self.layout = layout.Layout(
            deployment, addresses.reserve(), self.options.proxied
        )
        self.group = processes.ProcessGroup(directory)
        self.stand_ins = stand_in_processes.StandIns(
            self.layout, self.group, self.options.initial
        )
        self.vms: dict[str, processes.Process] = {}
        self.listed: list[str] = []
        self.leaving: set[str] = set()
        self.secret = secrets.token_hex(32)
        self.commands = 0

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details: object) -> None:
        self.close()

    def close(self) -> None:
        """Kills all processes and releases the subnet."""
        try:
            self._write_arrivals()
        finally:
            self.group.kill_all()
            self.layout.subnet.release()

    def _write_arrivals(self) -> None:
        """Writes the stand-ins' records, unless a test ended the stand-ins."""
        records = {}
        with contextlib.suppress(http_client.UnreachableError, OSError):
            records["runs"] = self.stand_ins.runs()
            records["traffic"] = self.stand_ins.traffic()
        evidence.write_arrivals(self.group.directory, records)

    # Start and stop.

    def start(self) -> None:
        """Starts the stand-ins and all VMs except spares; waits until ready."""
        self.stand_ins.start()
        plans = self.layout.plans.values()
        names = [plan.name for plan in plans if not plan.is_spare]
        self.listed = list(names)
        self.publish_vms()
        for name in names:
            self.launch_vm(name)
        for name in names:
            self.vms[name].wait_ready()

    def launch_vm(self, name: str) -> processes.Process:
        """Starts an entry VM without listing it or waiting for it."""
        path = self.group.directory / f"{name}.toml"
        settings = self.layout.vm_settings(name, self.secret)
        path.write_text(tomlkit.dumps(settings | self.options.settings))
        command = [*self.options.program, "serve", "--settings", str(path)]
        self.vms[name] = self.group.start(name, command)
        return self.vms[name]

    def start_vm(self, name: str) -> processes.Process:
        """Starts an entry VM, lists it and waits until it is ready."""
        if name not in self.listed:
            self.listed.append(name)
        self.publish_vms()
        process = self.launch_vm(name)
        process.wait_ready()
        return process

    def publish_vms(self) -> None:
        """Sets the platform's VM list."""
        self.stand_ins.publish_vms(
            [
                self.layout.listed_vm(name, name in self.leaving)
                for name in self.listed
            ]
        )

    def unlist(self, name: str) -> None:
        """Removes a VM from the platform's list."""
        self.listed.remove(name)
        self.leaving.discard(name)
        self.publish_vms()

    def kill_vm(self, name: str, unlist: bool = True) -> None:
        """Kills a VM, as a crash does.

        Args:
            name: Name of the VM.
            unlist: Whether to remove it from the platform's list.
        """
        self.vms[name].kill()
        if unlist:
            self.unlist(name)

    def pause_vm(self, name: str) -> None:
        """Stops a VM's process until `resume_vm`."""
        self.vms[name].send_signal(signal.SIGSTOP)

    def resume_vm(self, name: str) -> None:
        """Resumes the process of a paused VM."""
        self.vms[name].send_signal(signal.SIGCONT)

    def stop_vm(self, name: str) -> int:
        """Performs a planned stop of a VM; returns its exit code."""
        self.leaving.add(name)
        self.publish_vms()
        self.vms[name].send_signal(signal.SIGTERM)
        exit_code = self.vms[name].wait_end()
        self.unlist(name)
        return exit_code

    def replace_vm(self, name: str) -> str:
        """Kills a VM and starts a spare of its zone.

        Returns:
            Name of the spare.
        """
        self.kill_vm(name)
        zone = self.layout.plans[name].zone
        spare = next(
            plan.name
            for plan in self.layout.plans.values()
            if plan.zone == zone and plan.name not in self.vms
        )
        self.start_vm(spare)
        return spare

    def vms_in(self, zone: str) -> list[str]:
        """Returns the names of a zone's VMs that still run."""
        return [
            name
            for name, process in self.vms.items()
            if self.layout.plans[name].zone == zone and process.is_running()
        ]

    def kill_zone(self, zone: str, unlist: bool = True) -> None:
        """Kills all VMs and targets of a zone."""
        self.stand_ins.targets[zone].kill()
        for name in self.vms_in(zone):
            self.kill_vm(name, unlist)

    # Operators.

    def command(self, *arguments: str) -> CommandResult:
        """Runs an operator's command against the platform."""
        self.commands += 1
        name = f"command-{self.commands}"
        errors_path = self.group.directory / f"{name}.errors"
        process = self.group.start(
            name,
            [*self.options.program, *arguments],
            errors_path,
            {
                "MULBERRYDECK_PLATFORM": f"http://{self.layout.platform}",
                "MULBERRYDECK_AUTHOR": "operator",
            },
        )
        exit_code = process.wait_end()
        return CommandResult(
            exit_code, process.log(), errors_path.read_text(errors="replace")
        )

    def run_checked(self, *arguments: str) -> str:
        """Runs a command that must succeed and returns its output.

        Raises:
            CommandError: Its exit code was not 0.
        """
        result = self.command(*arguments)
        if result.exit_code != 0:
            command = " ".join(arguments)
            raise CommandError(f"{command}: {result.output}{result.errors}")
        return result.output

    def apply(self) -> None:
        """Applies the deployment's configuration."""
        deployment = self.layout.deployment
        path = self.group.directory / f"{deployment.name}.toml"
        deployment.write(path)
        self.run_checked("apply", str(path))

    def issue_key(self, account: str) -> str:
        """Issues a key for a client account and returns it."""
        return self.run_checked("key", "issue", account).split()[0]

    # Callers.

    def client(
        self, vm: str, key: str = "", zone: str = "", timeout_s: float = 30.0
    ) -> http_client.Client:
        """Returns a caller's client of an entry VM.

        Args:
            vm: Name of the VM.
            key: Key of a client account; empty sends none.
            zone: Zone that the caller is near; empty means the VM's zone.
            timeout_s: Longest wait for the next bytes of a response, in
                seconds.
        """
        direct = self.layout.vm_addresses(vm).caller
        return http_client.Client(
            self.layout.advertised("caller", direct),
            self.layout.caller_ip(zone or self.layout.plans[vm].zone),
            timeout_s,
            {KEY_HEADER: key} if key else {},
        )

    def status(self, vm: str) -> dict[str, object]:
        """Returns the status that a VM reports."""
        address = self.layout.vm_addresses(vm).caller
        return http_client.fetch(address, "/v1/status")

    def statuses(self) -> list[dict[str, object]]:
        """Returns the status of every running VM."""
        return [
            self.status(name)
            for name, process in self.vms.items()
            if process.is_running()
        ]

    def wait_serving(self, timeout_s: float = waiting.WAIT_TIMEOUT_S) -> None:
        """Waits until VMs have the same documents and every target is ready."""
        targets = [target["name"] for target in self.layout.deployment.targets]
        waiting.until(
            lambda: readiness.is_serving(self.statuses(), targets),
            "all targets are ready",
            timeout_s,
        )

    def wait_all(
        self,
        condition: collections.abc.Callable[[dict[str, object]], object],
        what: str,
        timeout_s: float = waiting.WAIT_TIMEOUT_S,
    ) -> None:
        """Waits until every running VM's status meets a condition."""
        for name, process in self.vms.items():
            if process.is_running():
                waiting.until(
                    lambda name=name: condition(self.status(name)),
                    f"{name}: {what}",
                    timeout_s,
                )
