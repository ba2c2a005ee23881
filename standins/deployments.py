"""Deployments: an example configuration and the VMs that run it."""

import copy
import pathlib
import tomllib

import attrs
import tomlkit

from standins import addresses

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"

Table = dict[str, object]


@attrs.frozen
class VmPlan:
    """An entry VM that a deployment can run.

    Attributes:
        name: Unique name.
        zone: Name of its availability zone.
        zone_number: Number of the zone, from 1.
        host_number: Number in the zone, from 1.
        is_spare: Whether it is started only as a replacement.
    """

    name: str
    zone: str
    zone_number: int
    host_number: int
    is_spare: bool


@attrs.frozen
class Deployment:
    """A configuration and the number of VMs in each zone.

    Attributes:
        name: Name of the example.
        document: Decoded configuration.
        vms_per_zone: Number of entry VMs that start, by zone.
        spares: Number of spare VMs in each zone.
    """

    name: str
    document: Table
    vms_per_zone: dict[str, int]
    spares: int = 2

    @property
    def zones(self) -> list[Table]:
        """Returns the zones in order; the first has number 1."""
        return self.document["zones"]

    @property
    def targets(self) -> list[Table]:
        """Returns all targets."""
        return self.document["targets"]

    def region_of(self, zone: str) -> str:
        """Returns the region of a zone."""
        for declared in self.zones:
            if declared["name"] == zone:
                return declared["region"]
        raise KeyError(zone)

    def vm_plans(self) -> list[VmPlan]:
        """Returns all VMs, including spares."""
        plans = []
        for zone_number, zone in enumerate(self.zones, start=1):
            count = self.vms_per_zone[zone["name"]]
            for host_number in range(1, count + self.spares + 1):
                plans.append(
                    VmPlan(
                        f"{zone['name']}-vm{host_number}",
                        zone["name"],
                        zone_number,
                        host_number,
                        host_number > count,
                    )
                )
        return plans

    def in_subnet(self, prefix: str, proxied_targets: bool) -> "Deployment":
        """Returns the deployment with the addresses of a subnet.

        Args:
            prefix: First two octets of the subnet's addresses.
            proxied_targets: Whether VMs reach targets through the fault proxy.
        """
        document = copy.deepcopy(self.document)
        for zone in document["zones"]:
            zone["client_blocks"] = [
                block.replace(addresses.EXAMPLE_PREFIX, prefix, 1)
                for block in zone.get("client_blocks", ())
            ]
        for target in document["targets"]:
            host = target["host"]
            target["host"] = host.replace(addresses.EXAMPLE_PREFIX, prefix, 1)
            if proxied_targets:
                target["port"] += addresses.PROXIED_OFFSET
        return attrs.evolve(self, document=document)

    def write(self, path: pathlib.Path) -> None:
        """Writes the configuration as TOML."""
        path.write_text(tomlkit.dumps(self.document))


def load(name: str, vm_counts: tuple[int, ...]) -> Deployment:
    """Returns a deployment of an example configuration.

    Args:
        name: Name of a file in `examples`, without its suffix.
        vm_counts: Number of entry VMs of each zone, in order.
    """
    document = tomllib.loads((EXAMPLES / f"{name}.toml").read_text())
    zones = [zone["name"] for zone in document["zones"]]
    vms_per_zone = dict(zip(zones, vm_counts, strict=True))
    return Deployment(name, document, vms_per_zone)


def kilele() -> Deployment:
    """Returns the permit platform example: 10 VMs, 6 zones, 36 targets."""
    return load("kilele", (2, 2, 2, 2, 1, 1))


def gruber() -> Deployment:
    """Returns the logbook platform example: 10 VMs, 6 zones, 36 targets."""
    return load("gruber", (2, 2, 2, 2, 1, 1))


def small() -> Deployment:
    """Returns the small example: 4 VMs, 2 regions, 3 zones, 4 targets."""
    return load("small", (2, 1, 1))
