"""What the platform registers: targets, evacuated zones and entry VMs."""

import attrs


@attrs.frozen
class TargetEntry:
    """A target as it registered itself.

    Attributes:
        name: Identifier, unique among running targets.
        service: Service that it belongs to.
        address: `ip:port`.
        zone: Availability zone.
        slots: Requests that it works on at the same time.
        draining: Whether it is about to leave.
        cold_s: How long it stays cold after this report, in seconds.
        started_ms: Start of its process, in Unix milliseconds; 0 if unknown.
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
    """An entry VM as it registered itself.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        region: Region of the zone.
        caller_address: Where callers reach it, `ip:port`.
        peer_address: Where other VMs reach it, `ip:port`.
        incarnation: Identifier of its process.
    """

    name: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: str
