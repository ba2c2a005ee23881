"""Entries of the platform's registry: targets and entry VMs."""

import attrs


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
class VmRecord:
    """The registry entry of an entry VM.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        region: Region of the zone.
        caller_address: Address for callers, `ip:port`.
        peer_address: Address for other VMs, `ip:port`.
        incarnation: Identifier of its process.
    """

    name: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: str
