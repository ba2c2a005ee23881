"""Entries of the platform's registry: targets and entry VMs."""

import attrs

from mulberrydeck.steering import settings as settings_module

# Bounds of plausible capacities. A larger value, as of another unit, would
# raise the mean of the region and so take callers from all other VMs.
MAX_CORES = 1024.0
MAX_MEMORY_MB = 16.0 * 1024 * 1024
MAX_DESCRIPTORS = 2.0**30
MAX_LINK_MBPS = 1_000_000.0


@attrs.frozen
class TargetEntry:
    """The registry entry of a target.

    Attributes:
        name: Identifier, unique among running targets.
        service: Service that it serves.
        address: `ip:port`.
        zone: Availability zone.
        slots: Number of requests that it processes concurrently.
        draining: Whether it is draining before it stops.
        cold_s: Time that it stays cold after this report, in seconds.
        started_ms: Start of its process, in ms since the epoch; 0 if unknown.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    started_ms: int = 0


@attrs.frozen
class VmCapacity:
    """What the machine of an entry VM offers; 0 stands for unknown.

    Attributes:
        cores: Processor cores, which may be a fraction of one.
        memory_mb: Memory, in MB.
        descriptors: File descriptors that it may open.
        link_mbps: Rate of its link in each direction, in Mbit/s.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    descriptors: float = 0.0
    link_mbps: float = 0.0


@attrs.frozen
class VmRecord:
    """The registry entry of an entry VM.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        region: Region of the zone.
        caller_address: Address for callers, `ip:port`.
        peer_address: Address for other VMs, `ip:port`.
        incarnation: Identifier of its process.
        capacity: What its machine offers, or None if that is unknown.
    """

    name: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: str
    capacity: VmCapacity | None = None


def plausible_capacity(
    cores: float, memory_mb: float, descriptors: float, link_mbps: float
) -> VmCapacity | None:
    """Returns a capacity; None if it is unknown or implausible.

    Args:
        cores: Processor cores; 0, as below, if unknown.
        memory_mb: Memory, in MB.
        descriptors: File descriptors.
        link_mbps: Rate of the link, in Mbit/s.
    """
    if not (
        0.0 <= cores <= MAX_CORES
        and 0.0 <= memory_mb <= MAX_MEMORY_MB
        and 0.0 <= descriptors <= MAX_DESCRIPTORS
        and 0.0 <= link_mbps <= MAX_LINK_MBPS
    ):
        return None
    capacity = VmCapacity(cores, memory_mb, float(descriptors), link_mbps)
    return None if capacity == VmCapacity() else capacity


def own_record(
    settings: settings_module.SteeringSettings, incarnation: str
) -> VmRecord:
    """Returns the registry entry of this VM.

    Args:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
    """
    return VmRecord(
        settings.name,
        settings.zone,
        settings.region,
        settings.caller_address,
        settings.peer_address,
        incarnation,
        plausible_capacity(
            settings.cpu_share * settings.cpu_count,
            settings.memory_mb,
            settings.max_descriptors,
            settings.link_mbps,
        ),
    )
