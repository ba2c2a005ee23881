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

FIRST_LINK_PORT = 8700
STOP_TIMEOUT_S = 6.0  # That of the users' platform.
DELAY_S = 0.15
SLOW_WORK_S = 1.5
MS_PER_S = 1000
KEY = "key-1"
BURST = 10


@attrs.frozen
class Happened:
    """A fault as it was injected.

    Attributes:
        fault: The fault.
        begun_s: Its beginning on the monotonic clock, in seconds.
        ended_s: Its end, in seconds.
    """

    fault: faults.Fault
    begun_s: float
    ended_s: float


class SoakFleet(fleets.SteeringFleet):
    """Steering VMs whose connections pass a fault proxy.

    Attributes:
        zone_by_vm: Zones of the VMs by name.
        happened: Faults so far.
        exits: Exit codes of VMs that were asked to stop, with the time taken.
        version: Version of the configuration.
        rates: Rate in force from a time on, in seconds and requests a second.
        written_s: When each version was acknowledged, in seconds.
        cold_until_s: When targets that were cold are warm, in seconds.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        zone_by_vm: dict[str, str],
        **settings: object,
    ):
        super().__init__(directory, stop_timeout_s=STOP_TIMEOUT_S, **settings)
        self.zone_by_vm = zone_by_vm
        self.happened: list[Happened] = []
        self.exits: list[tuple[str, int, float]] = []
        self.version = 0
        self.rates: list[tuple[float, int]] = []
        self.written_s: dict[int, float] = {}
        self.cold_until_s: dict[str, float] = {}
        self.links: dict[str, str] = {}
        self.busy: set[str] = set()
        self.away = 0
        self.proxy = self._make_proxy()

    def _make_proxy(self) -> proxies.Proxy:
        upstreams = {"store": self.platform_address}
        for name in faults.TARGETS:
            self.targets[name] = instances.Instance(name, work_s=0.01)
            upstreams[name] = self.targets[name].address
        places = [specification.Place(name) for name in upstreams]
        places += [
            specification.Place(name, zone, ip=self.add_ports(name))
            for name, zone in self.zone_by_vm.items()
        ]
        ip = self.subnet.ip(2, 1)
        self.links = {
            name: f"{ip}:{FIRST_LINK_PORT + number}"
            for number, name in enumerate(upstreams)
        }
        links = [
            specification.Link(self.links[name], upstream, name, "link")
            for name, upstream in upstreams.items()
        ]
        self.platform_address = self.links["store"]
        wanted = specification.Specification("", tuple(places), tuple(links))
        return proxies.Proxy(wanted)

    def __exit__(self, *details):
        super().__exit__(*details)
        for server in self.proxy.servers:
            server.stop(timeout=0)

    def start(self) -> None:
        """Starts all programs and waits until they serve."""
        self.reconfigure(20)
        for name in faults.TARGETS:
            self.register(name)
        for name, zone in self.zone_by_vm.items():
            self.start_vm(name, zone)

    def reconfigure(self, rate_per_s: int) -> None:
        """Writes a new version with a limit and a route of its own."""
        self.version += 1
        account = {
            "Name": "acme",
            "ApiKeys": [KEY],
            "RatePerS": rate_per_s,
            "Burst": BURST,
        }
        own = fleets.route(
            Name=f"v{self.version}", PathPrefix=f"/v{self.version}/"
        )
        routes = [*fleets.configuration()["Routes"], own]
        self.configure(self.version, Tenants=[account], Routes=routes)
        written_s = time.monotonic()
        self.written_s[self.version] = written_s
        self.rates.append((written_s, rate_per_s))

    def register(self, name: str, **status: object) -> None:
        """Writes a target's entry, behind the proxy."""
        zone = faults.TARGETS[name]
        entry = self.targets[name].entry(fleets.SERVICE, zone, **status)
        entry["Address"] = self.links[name]
        self._put_entry(name, entry)

    def _put_entry(self, name: str, entry: dict) -> None:
        """Writes an entry that says how long the target stays cold."""
        cold_s = self.cold_until_s.get(name, 0.0) - time.monotonic()
        cold_ms = max(0, int(cold_s * MS_PER_S))
        status = {**entry["Status"], "ColdRemainingMs": cold_ms}
        self.store.put("servers", name, {**entry, "Status": status})

    def _tell_cold(self, name: str) -> None:
        """Writes the entry of a target anew, if it has one."""
        stored = self.store.objects["servers"].get(name)
        if stored is not None:
            self._put_entry(name, stored["Spec"])

    def inject(self, planned: faults.Planned) -> None:
        """Carries one fault out, from its beginning to its end."""
        begun_s = time.monotonic()
        with contextlib.ExitStack() as undone:
            self._begin(planned.fault, undone)
            gevent.sleep(planned.for_s)
        ended_s = time.monotonic()
        self.happened.append(Happened(planned.fault, begun_s, ended_s))

    def _begin(self, fault: faults.Fault, undone: contextlib.ExitStack) -> None:
        match fault:
            case faults.Kill(vm) | faults.Stop(vm) | faults.Pause(vm):
                if vm not in self.busy:
                    self.busy.add(vm)
                    undone.callback(self.busy.discard, vm)
                    self._begin_at_vm(fault, vm, undone)
            case faults.Reload(vm, signalled):
                path = self.group.directory / f"{vm}.toml"
                path.write_text(path.read_text() + "\n")
                if signalled:
                    _wait_heeded(self.vms[vm])
                    self.vms[vm].send_signal(signal.SIGHUP)
            case faults.Link():
                rule = self.proxy.add(_rule(fault))
                undone.callback(self.proxy.rules.remove, rule.id)
            case faults.Store(how):
                self._begin_at_store(how, undone)
            case faults.Configure(rate_per_s):
                self.reconfigure(rate_per_s)
            case faults.Evacuate(zone):
                self.store.put("evacuations", zone, {})
                undone.callback(self._take_back, zone)
            case _:
                self._begin_at_target(fault, undone)

    def _begin_at_vm(self, fault, vm: str, undone) -> None:
        process = self.vms[vm]
        _wait_heeded(process)
        match fault:
            case faults.Kill():
                process.kill()
                undone.callback(self._start_again, vm)
            case faults.Stop():
                asked_s = time.monotonic()
                process.send_signal(signal.SIGTERM)
                code = _wait_end(process)
                taken_s = time.monotonic() - asked_s
                self.exits.append((vm, code, taken_s))
                undone.callback(self._start_again, vm)
            case faults.Pause():
                process.send_signal(signal.SIGSTOP)
                undone.callback(process.send_signal, signal.SIGCONT)

    def _start_again(self, vm: str) -> None:
        self.launch_vm(vm, self.zone_by_vm[vm], first_start=False)

    def _begin_at_store(self, how: str, undone) -> None:
        match how:
            case "forgets":
                self.store.forget_history()
            case "loses":
                self.store.lose_next += 1
            case _:
                self.away += 1
                self.store.set_mode(how)
                undone.callback(self._store_back)

    def _store_back(self) -> None:
        self.away -= 1
        if not self.away:
            self.store.set_mode("on")

    def _take_back(self, zone: str) -> None:
        if zone in self.store.objects.get("evacuations", {}):
            self.store.remove("evacuations", zone)

    def _begin_at_target(self, fault, undone) -> None:
        match fault:
            case faults.Answers(target, bad):
                self.targets[target].script.extend(bad)
            case faults.Hang(target):
                self.targets[target].work_s = SLOW_WORK_S
                undone.callback(setattr, self.targets[target], "work_s", 0.01)
            case faults.Drain(target):
                self.register(target, State="draining")
                undone.callback(self.register, target)
            case faults.Cool(target):
                self.cold_until_s[target] = time.monotonic() + faults.COLD_S
                self._tell_cold(target)
                undone.callback(self._tell_cold, target)
            case faults.Remove(target):
                if target in self.store.objects["servers"]:
                    self.store.remove("servers", target)
                undone.callback(self.register, target)

    def wait_all_serve(self) -> None:
        """Waits until each VM serves a request after the last fault."""
        for target in self.targets.values():
            target.script.clear()
        for name in self.zone_by_vm:
            waiting.until(
                lambda name=name: self._serves(name),
                f"{name} serves after the faults",
            )

    def _serves(self, name: str) -> bool:
        _, answer = self.request(self.client(name), "/read/1")
        return getattr(answer, "status", 0) == 200


def _wait_end(process: processes.Process) -> int:
    """Returns the exit code; a process that stops too late is killed."""
    try:
        return process.wait_end(STOP_TIMEOUT_S)
    except processes.ProcessError:
        process.kill()
        return process.popen.returncode


def _wait_heeded(process: processes.Process) -> None:
    """Waits until a process has taken charge of its signals, or has ended.

    No program can heed a signal that comes before its first line.
    """
    waiting.until(
        lambda: not process.is_running() or _heeds_signals(process.pid),
        f"{process.name} heeds signals",
    )


def _heeds_signals(pid: int) -> bool:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    heeded = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return all(
        heeded >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM)
    )


def _rule(fault: faults.Link) -> rules.Rule:
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
