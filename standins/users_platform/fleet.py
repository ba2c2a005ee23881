"""Steering VMs as processes, with stand-ins of the users' platform."""

import pathlib
import signal
import uuid

import tomlkit

from standins import addresses
from standins import evidence
from standins import http_client
from standins import processes
from standins import serving
from standins import waiting
from standins.users_platform import instances
from standins.users_platform import metadata_store

HOST = "permits.example"
ZONES = {"coast-a": "coast", "coast-b": "coast", "lake-a": "lake"}
SERVICE = "status"
FIRST_PORT = 8200
PURPOSES = ("caller", "ready", "look_up", "peer", "metrics")


def route(**changes):
    """Returns a route of the configuration, with changed fields."""
    values = {
        "Name": "read",
        "Host": HOST,
        "PathPrefix": "/read/",
        "Kind": "safe",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 250,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 3,
        "Public": True,
        "Sticky": True,
        "HomeRegions": [],
    }
    return {**values, **changes}


def configuration(version=1, **changes):
    """Returns a configuration with three routes, with changed fields."""
    once = route(
        Name="once", PathPrefix="/once/", Kind="non_idempotent", MaxAttempts=2
    )
    keyed = route(Name="keyed", PathPrefix="/keyed/", Public=False)
    values = {
        "Version": f"{version:08x}",
        "Routes": [route(), once, keyed],
        "Services": [{"Name": SERVICE, "ColdPerS": 6.9}],
        "Limits": {"MaxBodyBytes": 4_000_000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "acme", "ApiKeys": ["key-1"]}],
    }
    return {**values, **changes}


class SteeringFleet:
    """Steering VMs as processes, with the users' platform in this process.

    Attributes:
        settings: Settings of all VMs that differ from the defaults.
        store: The metadata store.
        server: HTTP server of the metadata store.
        platform_address: Address of the metadata store, `ip:port`.
        targets: Targets by name.
        group: All processes.
        vms: Processes of VMs by name.
        vm_addresses: Addresses `ip:port` of each VM's listeners, by name of the
            VM and name of the setting.
        subnet: Loopback subnet of the VMs.
    """

    def __init__(self, directory: pathlib.Path, **settings: object):
        self.settings = settings
        self.store = metadata_store.MetadataStore()
        self.server = serving.start("127.0.0.1:0", self.store)
        self.platform_address = serving.address_of(self.server)
        self.targets: dict[str, instances.Instance] = {}
        self.group = processes.ProcessGroup(directory)
        self.vms: dict[str, processes.Process] = {}
        self.vm_addresses: dict[str, dict[str, str]] = {}
        self.subnet = addresses.reserve()

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.group.kill_all()
        evidence.write_arrivals(self.group.directory, self._records())
        self.server.stop(timeout=0)
        for target in self.targets.values():
            target.server.stop(timeout=0)
        self.subnet.release()

    def _records(self):
        return {
            "runs": {name: item.runs for name, item in self.targets.items()},
            "store_calls": self.store.calls_by_ip,
        }

    def configure(self, version=1, **changes):
        """Writes a configuration to the store."""
        spec = configuration(version, **changes)
        return self.store.put("config", "main", spec)

    def add_target(self, name, zone="coast-a", **changes):
        """Starts and registers a target."""
        target = instances.Instance(name, **changes)
        self.targets[name] = target
        self.store.put("servers", name, target.entry(SERVICE, zone))
        return target

    def start_vm(self, name="coast-a-1", zone="coast-a"):
        """Starts a VM and waits until it is ready."""
        self.launch_vm(name, zone)
        waiting.until(lambda: self.is_ready(name), f"{name} is ready")
        return self.vms[name]

    def launch_vm(self, name, zone, **changes):
        """Starts a VM without waiting until it is ready.

        Args:
            name: Name of the VM.
            zone: Its availability zone.
            **changes: Settings that differ from those of the others.
        """
        self.assign_addresses(name)
        path = self.group.directory / f"{name}.toml"
        path.write_text(tomlkit.dumps(self._settings(name, zone) | changes))
        self.vms[name] = self.group.start_module(
            f"{name}-{uuid.uuid4().hex[:4]}",
            "mulberrydeck",
            "steer",
            "--settings",
            str(path),
        )

    def assign_addresses(self, name):
        """Assigns a VM its IP address and listeners; returns the IP address."""
        if name not in self.vm_addresses:
            ip = self.subnet.ip(1, len(self.vm_addresses) + 1)
            self.vm_addresses[name] = {
                f"{purpose}_address": f"{ip}:{FIRST_PORT + number}"
                for number, purpose in enumerate(PURPOSES)
            }
        return self.vm_addresses[name]["caller_address"].partition(":")[0]

    def _settings(self, name, zone):
        return {
            "name": name,
            "zone": zone,
            "region": ZONES[zone],
            "platform_address": self.platform_address,
            "first_start": True,
            "stop_timeout_s": 3.0,
            **self.settings,
            **self.vm_addresses[name],
            "region_by_zone": ZONES,
        }

    def is_ready(self, name):
        """Returns whether a VM reports that it is ready."""
        response = http_client.call(
            self.vm_addresses[name]["ready_address"], "GET", "/readiness"
        )
        return (
            isinstance(response, http_client.Response)
            and response.status == 200
        )

    def look_up(self, name, region="coast"):
        """Returns the response of a VM to a lookup."""
        path = f"/resolutions?Name={HOST}&Region={region}"
        address = self.vm_addresses[name]["look_up_address"]
        return http_client.call(address, "GET", path)

    def client(self, name="coast-a-1", **headers):
        """Returns a client with a keep-alive connection to a VM."""
        return http_client.Client(
            self.vm_addresses[name]["caller_address"],
            headers={"Host": HOST, "X-Deadline-Ms": "2000", **headers},
        )

    def request(self, client, path, method="GET", body=None, **headers):
        """Sends a request; returns its identifier and the response."""
        attempt_id = headers.pop("attempt_id", uuid.uuid4().hex[:16])
        merged = {"X-Attempt-Id": attempt_id, **headers}
        return attempt_id, client.request(method, path, body, merged)

    def stop_vm(self, name="coast-a-1"):
        """Sends a VM the signal to stop."""
        self.vms[name].send_signal(signal.SIGTERM)
