"""Listening and source addresses of all processes of a deployment."""

import attrs

from standins import addresses
from standins import deployments
from standins.fault_proxy import specification
from standins.target import behaviour

ALL_KINDS = frozenset({"caller", "relay", "peer", "platform", "target"})
PLATFORM = "platform"


@attrs.frozen
class VmAddresses:
    """Direct addresses of an entry VM, each `ip:port`.

    Attributes:
        caller: For callers.
        relay: For relayed requests of other VMs.
        peer: For peer messages.
    """

    caller: str
    relay: str
    peer: str


class Layout:
    """Addresses of one deployment.

    Attributes:
        subnet: Its loopback subnet.
        proxied: Kinds of connections that go through the fault proxy.
        deployment: The deployment with the addresses of the subnet.
        plans: All VMs by name, including spares.
        zone_numbers: Numbers of zones by name, from 1.
        target_addresses: Direct addresses of targets by name, `ip:port`.
        platform: Direct address of the platform, `ip:port`.
        proxy_control: Address of the fault proxy's control paths, `ip:port`.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        subnet: addresses.Subnet,
        proxied: frozenset[str],
    ):
        self.subnet = subnet
        self.proxied = proxied
        self.deployment = deployment.in_subnet(
            subnet.prefix, "target" in proxied
        )
        self.plans = {plan.name: plan for plan in deployment.vm_plans()}
        self.zone_numbers = {
            zone["name"]: number
            for number, zone in enumerate(deployment.zones, start=1)
        }
        self.target_addresses = {
            target["name"]: f"{target['host']}:{self.direct_port(target)}"
            for target in self.deployment.targets
        }
        self.platform = f"{self.platform_ip}:{addresses.PLATFORM_PORT}"
        control_ip = subnet.ip(addresses.SHARED_ZONE, 2)
        self.proxy_control = f"{control_ip}:{addresses.CONTROL_PORT}"

    @property
    def platform_ip(self) -> str:
        """Returns the IP address of the platform."""
        return self.subnet.ip(addresses.SHARED_ZONE, 1)

    def vm_ip(self, name: str) -> str:
        """Returns the IP address of an entry VM."""
        plan = self.plans[name]
        return self.subnet.ip(plan.zone_number, plan.host_number)

    def caller_ip(self, zone: str, block: int = 0) -> str:
        """Returns the IP address of callers near a zone.

        Args:
            zone: Name of the zone.
            block: Number of the client block, below `CALLER_BLOCKS`.
        """
        number = self.zone_numbers[zone] + block * addresses.CALLER_BLOCK_STEP
        return self.subnet.ip(number, addresses.CALLER_HOST)

    def vm_addresses(self, name: str) -> VmAddresses:
        """Returns the direct addresses of an entry VM."""
        ip = self.vm_ip(name)
        return VmAddresses(
            f"{ip}:{addresses.CALLER_PORT}",
            f"{ip}:{addresses.RELAY_PORT}",
            f"{ip}:{addresses.PEER_PORT}",
        )

    def direct_port(self, target: deployments.Table) -> int:
        """Returns the port on which a target itself listens."""
        if "target" in self.proxied:
            return target["port"] - addresses.PROXIED_OFFSET
        return target["port"]

    def advertised(self, kind: str, address: str) -> str:
        """Returns the address that other processes connect to."""
        if kind in self.proxied:
            return addresses.proxied(address)
        return address

    def vm_settings(self, name: str, secret: str) -> dict[str, object]:
        """Returns the settings of an entry VM.

        Args:
            name: Name of the VM.
            secret: Secret that all VMs of the fleet share.
        """
        direct = self.vm_addresses(name)
        platform = self.advertised(PLATFORM, self.platform)
        return {
            "name": name,
            "zone": self.plans[name].zone,
            "caller_address": direct.caller,
            "relay_address": direct.relay,
            "peer_address": direct.peer,
            "advertised_caller_address": self.advertised(
                "caller", direct.caller
            ),
            "advertised_peer_address": self.advertised("peer", direct.peer),
            "advertised_relay_address": self.advertised("relay", direct.relay),
            "platform_url": f"http://{platform}",
            "source_ip": self.vm_ip(name),
            "fleet_secret": secret,
        }

    def listed_vm(self, name: str, leaving: bool) -> dict[str, object]:
        """Returns an entry of the platform's VM list."""
        peer = self.vm_addresses(name).peer
        return {
            "name": name,
            "zone": self.plans[name].zone,
            "peer_address": self.advertised("peer", peer),
            "leaving": leaving,
        }

    def target_specification(
        self, zone: str, initial: behaviour.Behaviour
    ) -> list[dict[str, object]]:
        """Returns the specification of all targets of a zone.

        Args:
            zone: Name of the zone.
            initial: Behaviour of the targets, except their slots.
        """
        return [
            attrs.asdict(initial)
            | {
                "name": target["name"],
                "listen": self.target_addresses[target["name"]],
                "slots": target["slots"],
            }
            for target in self.deployment.targets
            if target["zone"] == zone
        ]

    def proxy_specification(self) -> specification.Specification:
        """Returns the fault proxy's places and links."""
        links = [link for link in self.all_links() if link.kind in self.proxied]
        return specification.Specification(
            self.proxy_control, tuple(self.places()), tuple(links)
        )

    def places(self) -> list[specification.Place]:
        """Returns all places that the fault proxy distinguishes."""
        places = [specification.Place(PLATFORM, PLATFORM, "", self.platform_ip)]
        for name, plan in self.plans.items():
            places.append(self.place(name, plan.zone, self.vm_ip(name)))
        places.extend(self.caller_places())
        for target in self.deployment.targets:
            places.append(
                self.place(target["name"], target["zone"], target["host"])
            )
        return places

    def caller_places(self) -> list[specification.Place]:
        """Returns a place for each client block."""
        return [
            specification.Place(
                f"callers-{zone}-{block}",
                f"callers-{zone}",
                "",
                self.caller_ip(zone, block),
            )
            for zone in self.zone_numbers
            for block in range(addresses.CALLER_BLOCKS)
        ]

    def place(self, name: str, zone: str, ip: str) -> specification.Place:
        """Returns a place in a zone."""
        region = self.deployment.region_of(zone)
        return specification.Place(name, zone, region, ip)

    def all_links(self) -> list[specification.Link]:
        """Returns a link for each address that can be proxied."""
        upstreams = [(PLATFORM, PLATFORM, self.platform)]
        for name in self.plans:
            for kind, address in attrs.asdict(self.vm_addresses(name)).items():
                upstreams.append((kind, name, address))
        for name, address in self.target_addresses.items():
            upstreams.append(("target", name, address))
        return [
            specification.Link(addresses.proxied(address), address, name, kind)
            for kind, name, address in upstreams
        ]
