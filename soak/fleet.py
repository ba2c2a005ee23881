"""The fleet of a soak, behind a fault proxy, and the injection of faults."""

import contextlib
import pathlib
import signal
import time

import attrs
import gevent

from soak import faults
from standins import processes
from standins import waiting
from standins.fault_proxy import proxy as proxies
from standins.fault_proxy import rules
from standins.fault_proxy import specification
from standins.users_platform import fleet as fleets
from standins.users_platform import instances
from standins.users_platform import odd_entries

FIRST_LINK_PORT = 8700
STOP_TIMEOUT_S = 6.0  # As on the users' platform.
# A VM that stops is suspended after the first time, until the second.
PAUSE_IN_STOP_S = (0.5, 2.0)
LONG_TIMEOUT_MS = 5000
DELAY_S = 0.15
SLOW_WORK_S = 1.5
LONG_ROUTES = {"long": "safe", "long-once": "non_idempotent"}
MS_PER_S = 1000
KEY = "key-1"
BURST = 10
DEFAULT_SLOTS = 4


@attrs.frozen
class InjectedFault:
    """A fault as it was injected.

    Attributes:
        fault: The fault.
        started_s: Monotonic time of its start, in seconds.
        ended_s: Monotonic time of its end, in seconds.
    """

    fault: faults.Fault
    started_s: float
    ended_s: float


class SoakFleet(fleets.SteeringFleet):
    """Steering VMs whose connections pass through a fault proxy.

    Attributes:
        zone_by_vm: Zone of each VM, by name of the VM.
        injected_faults: Faults that have ended.
        exits: Name, exit code and stop duration in seconds of VMs that were
            told to stop.
        version: Newest version of the configuration.
        rates: Monotonic time in seconds from which a rate limit applies, and
            the limit in requests per second.
        written_s: Monotonic time at which the store acknowledged a version, in
            seconds, by version.
        cold_until_s: Monotonic time until which a target is cold, in seconds,
            by name of the target.
        link_addresses: Address at the proxy, by name of the upstream.
        disturbed_vms: VMs whose process is affected by a fault.
        store_outages: Number of outages of the store in progress.
        proxy: The fault proxy.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        zone_by_vm: dict[str, str],
        slots: int = DEFAULT_SLOTS,
        **settings: object,
    ):
        """Creates a fleet without running VMs.

        Args:
            directory: Directory of the logs.
            zone_by_vm: Zone of each VM, by name of the VM.
            slots: Requests that a target runs at once.
            **settings: Settings of the VMs that differ from the defaults.
        """
        super().__init__(directory, stop_timeout_s=STOP_TIMEOUT_S, **settings)
        self.zone_by_vm = zone_by_vm
        self.injected_faults: list[InjectedFault] = []
        self.exits: list[tuple[str, int, float]] = []
        self.version = 0
        self.rates: list[tuple[float, int]] = []
        self.written_s: dict[int, float] = {}
        self.cold_until_s: dict[str, float] = {}
        self.link_addresses: dict[str, str] = {}
        self.disturbed_vms: set[str] = set()
        self.store_outages = 0
        self.proxy = self._make_proxy(slots)

    def _make_proxy(self, slots: int) -> proxies.Proxy:
        upstreams = {"store": self.platform_address}
        for name in faults.TARGETS:
            self.targets[name] = instances.Instance(name, slots, work_s=0.01)
            upstreams[name] = self.targets[name].address
        places = [specification.Place(name) for name in upstreams]
        places += [
            specification.Place(name, zone, ip=self.assign_addresses(name))
            for name, zone in self.zone_by_vm.items()
        ]
        ip = self.subnet.ip(2, 1)
        self.link_addresses = {
            name: f"{ip}:{FIRST_LINK_PORT + number}"
            for number, name in enumerate(upstreams)
        }
        links = [
            specification.Link(
                self.link_addresses[name], upstream, name, "link"
            )
            for name, upstream in upstreams.items()
        ]
        self.platform_address = self.link_addresses["store"]
        spec = specification.Specification("", tuple(places), tuple(links))
        return proxies.Proxy(spec)

    def __exit__(self, *details):
        super().__exit__(*details)
        for server in self.proxy.servers:
            server.stop(timeout=0)

    def start(self) -> None:
        """Registers the targets and starts all VMs until they are ready."""
        self.reconfigure(20)
        for name in faults.TARGETS:
            self.register(name)
        for name, zone in self.zone_by_vm.items():
            self.start_vm(name, zone)

    def reconfigure(self, rate_per_s: int) -> None:
        """Writes a new version with a rate limit and a route of its own."""
        self.version += 1
        account = {
            "Name": "acme",
            "ApiKeys": [KEY],
            "RatePerS": rate_per_s,
            "Burst": BURST,
        }
        version_route = fleets.route(
            Name=f"v{self.version}", PathPrefix=f"/v{self.version}/"
        )
        routes = [*fleets.configuration()["Routes"], version_route]
        routes += [
            fleets.route(
                Name=name,
                PathPrefix=f"/{name}/",
                Kind=kind,
                TimeoutMs=LONG_TIMEOUT_MS,
                TargetLatencyMs=LONG_TIMEOUT_MS,
            )
            for name, kind in LONG_ROUTES.items()
        ]
        self.configure(self.version, Tenants=[account], Routes=routes)
        written_s = time.monotonic()
        self.written_s[self.version] = written_s
        self.rates.append((written_s, rate_per_s))

    def register(self, name: str, **status: object) -> None:
        """Writes a target's entry with its address at the proxy."""
        zone = faults.TARGETS[name]
        entry = self.targets[name].entry(fleets.SERVICE, zone, **status)
        entry["Address"] = self.link_addresses[name]
        self._put_entry(name, entry)

    def _put_entry(self, name: str, entry: dict) -> None:
        """Writes an entry with the time for which the target stays cold."""
        cold_s = self.cold_until_s.get(name, 0.0) - time.monotonic()
        cold_ms = max(0, int(cold_s * MS_PER_S))
        status = {**entry["Status"], "ColdRemainingMs": cold_ms}
        self.store.put("servers", name, {**entry, "Status": status})

    def _update_cold_entry(self, name: str) -> None:
        """Rewrites the entry of a target, if any, with its cold time."""
        stored = self.store.objects["servers"].get(name)
        if stored is not None:
            self._put_entry(name, stored["Spec"])

    def inject(self, planned: faults.PlannedFault) -> None:
        """Injects a fault and ends it after its duration.

        A fault of a VM's process is left out while there is another one.
        """
        match planned.fault:
            case faults.Kill(vm) | faults.Stop(vm) | faults.Pause(vm):
                if vm in self.disturbed_vms:
                    return
        started_s = time.monotonic()
        with contextlib.ExitStack() as cleanup:
            self._start_fault(planned.fault, cleanup)
            gevent.sleep(planned.duration_s)
        ended_s = time.monotonic()
        self.injected_faults.append(
            InjectedFault(planned.fault, started_s, ended_s)
        )

    def _start_fault(
        self, fault: faults.Fault, cleanup: contextlib.ExitStack
    ) -> None:
        match fault:
            case faults.Kill(vm) | faults.Stop(vm) | faults.Pause(vm):
                self.disturbed_vms.add(vm)
                cleanup.callback(self.disturbed_vms.discard, vm)
                self._start_vm_fault(fault, vm, cleanup)
            case faults.Reload(vm, signalled):
                self._rewrite_settings(vm)
                if signalled:
                    _wait_signals_handled(self.vms[vm])
                    self.vms[vm].send_signal(signal.SIGHUP)
            case faults.Link():
                rule = self.proxy.add(_proxy_rule(fault))
                cleanup.callback(self.proxy.rules.remove, rule.id)
            case faults.Store(how):
                self._start_store_fault(how, cleanup)
            case faults.Configure(rate_per_s):
                self.reconfigure(rate_per_s)
            case faults.Evacuate(zone):
                self.store.put("evacuations", zone, {})
                cleanup.callback(self._end_evacuation, zone)
            case _:
                self._start_target_fault(fault, cleanup)

    def _start_vm_fault(self, fault, vm: str, cleanup) -> None:
        process = self.vms[vm]
        _wait_signals_handled(process)
        match fault:
            case faults.Kill():
                process.kill()
                cleanup.callback(self._restart_vm, vm)
            case faults.Stop(how=how):
                self._stop(process, vm, how)
                cleanup.callback(self._restart_vm, vm)
            case faults.Pause():
                process.send_signal(signal.SIGSTOP)
                cleanup.callback(process.send_signal, signal.SIGCONT)

    def _stop(self, process: processes.Process, vm: str, how: str) -> None:
        if how == "reloading":
            self._rewrite_settings(vm)
            process.send_signal(signal.SIGHUP)
        requested_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        if how == "paused":
            pause_s, resume_s = PAUSE_IN_STOP_S
            gevent.sleep(pause_s)
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(resume_s - pause_s)
            process.send_signal(signal.SIGCONT)
        code = _wait_end(process, requested_s + STOP_TIMEOUT_S)
        elapsed_s = time.monotonic() - requested_s
        self.exits.append((vm, code, elapsed_s))

    def _rewrite_settings(self, vm: str) -> None:
        """Replaces a VM's settings file at once, as a VM may be starting."""
        path = self.group.directory / f"{vm}.toml"
        rewritten = path.with_suffix(".new")
        rewritten.write_text(path.read_text() + "\n")
        rewritten.replace(path)

    def _restart_vm(self, vm: str) -> None:
        self.launch_vm(vm, self.zone_by_vm[vm], first_start=False)

    def _start_store_fault(self, how: str, cleanup) -> None:
        match how:
            case "forgets":
                self.store.forget_history()
            case "loses":
                self.store.responses_to_drop += 1
            case _:
                self.store_outages += 1
                self.store.set_mode(how)
                cleanup.callback(self._restore_store)

    def _restore_store(self) -> None:
        self.store_outages -= 1
        if not self.store_outages:
            self.store.set_mode("on")

    def _end_evacuation(self, zone: str) -> None:
        if zone in self.store.objects.get("evacuations", {}):
            self.store.remove("evacuations", zone)

    def _start_target_fault(self, fault, cleanup) -> None:
        match fault:
            case faults.FaultyResponses(target, response_faults):
                self.targets[target].queued_faults.extend(response_faults)
            case faults.SlowWork(target):
                self.targets[target].work_s = SLOW_WORK_S
                cleanup.callback(setattr, self.targets[target], "work_s", 0.01)
            case faults.Drain(target):
                self.register(target, State="draining")
                cleanup.callback(self.register, target)
            case faults.Cool(target):
                self.cold_until_s[target] = time.monotonic() + faults.COLD_S
                self._update_cold_entry(target)
                cleanup.callback(self._update_cold_entry, target)
            case faults.OddEntry(name):
                entry = odd_entries.ENTRIES[name]
                self.store.put("servers", name, entry)
                cleanup.callback(self.store.remove, "servers", name)
            case faults.Remove(target):
                if target in self.store.objects["servers"]:
                    self.store.remove("servers", target)
                cleanup.callback(self.register, target)

    def wait_until_all_serve(self) -> None:
        """Waits until each VM serves a request, after the last fault."""
        for target in self.targets.values():
            target.queued_faults.clear()
        for name in self.zone_by_vm:
            waiting.until(
                lambda name=name: self._serves(name),
                f"{name} serves after the faults",
            )

    def _serves(self, name: str) -> bool:
        _, response = self.request(self.client(name), "/read/1")
        return getattr(response, "status", 0) == 200


def _wait_end(process: processes.Process, latest_s: float) -> int:
    """Returns the exit code; kills a process that does not stop in time."""
    try:
        return process.wait_end(latest_s - time.monotonic())
    except processes.ProcessError:
        process.kill()
        return process.popen.returncode


def _wait_signals_handled(process: processes.Process) -> None:
    """Waits until a process handles its signals, or has ended.

    A program cannot handle a signal that arrives before its first line runs.
    """
    waiting.until(
        lambda: not process.is_running() or _handles_signals(process.pid),
        f"{process.name} handles signals",
    )


def _handles_signals(pid: int) -> bool:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return all(
        handled >> (number - 1) & 1
        for number in (signal.SIGHUP, signal.SIGTERM)
    )


def _proxy_rule(fault: faults.Link) -> rules.Rule:
    source = f"name:{fault.vm}" if fault.vm else "any"
    place = f"name:{fault.place}"
    match fault.how:
        case "cut":
            return rules.Rule(source, place, cut=True)
        case "delay":
            return rules.Rule(source, place, delay_s=DELAY_S)
        case "silent":
            return rules.Rule(source, place, silence_existing=True)
    return rules.Rule(place, source, both_ways=False, freeze=True)
