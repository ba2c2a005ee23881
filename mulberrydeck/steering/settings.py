"""Settings of a steering VM, read from a TOML file."""

import pathlib

import attrs

from mulberrydeck import errors
from mulberrydeck.settings import declarations
from mulberrydeck.settings import loading

setting = declarations.setting


@attrs.frozen
class SteeringSettings:
    """Settings of a steering VM.

    The descriptions appear in the generated settings reference.
    """

    name: str = setting("Unique name of this VM.", "-")
    zone: str = setting("Availability zone of this VM.", "-")
    region: str = setting("Region of this VM.", "-")
    region_by_zone: dict[str, str] = setting("Region of each zone.", "-")
    caller_address: str = setting(
        "Where callers reach this VM, `ip:port`.", "address"
    )
    ready_address: str = setting(
        "Where this VM serves readiness checks, `ip:port`.", "address"
    )
    look_up_address: str = setting(
        "Where this VM serves lookups, `ip:port`.", "address"
    )
    peer_address: str = setting(
        "Where this VM receives peer messages, `ip:port`.", "address"
    )
    metrics_address: str = setting(
        "Where this VM serves metrics, `ip:port`.", "address"
    )
    platform_address: str = setting(
        "Address of the platform's store, `ip:port`.", "address"
    )
    first_start: bool = setting(
        "Whether the whole fleet starts for the first time, so that no loans "
        "of earlier processes exist.",
        "-",
        default=False,
    )
    max_look_up_lifetime_s: float = setting(
        "Longest lifetime of a lookup response that callers accept.",
        "s",
        default=5.0,
    )
    stop_timeout_s: float = setting(
        "Time from SIGTERM until the process is killed.", "s", default=6.0
    )
    retry_ratio: float = setting(
        "Retries per request that a service tolerates.", "-", default=0.2
    )
    retry_extra: float = setting(
        "Retries that a service tolerates in a window beyond `retry_ratio`, "
        "over all VMs.",
        "-",
        default=60.0,
    )
    retry_window_s: float = setting(
        "Window in which the retries of a service are counted.",
        "s",
        default=10.0,
    )
    cold_overage: float = setting(
        "Factor on a cold target's rate up to which it tolerates requests.",
        "-",
        default=1.5,
    )
    cold_extra: float = setting(
        "Requests per second that a cold target tolerates beyond "
        "`cold_overage` times its rate.",
        "-",
        default=5.0,
    )
    quota_lease_s: float = setting(
        "Validity of quota lent to another VM.", "s", default=4.0
    )
    lease_margin_s: float = setting(
        "Extra time that a lender waits after a lease has expired before it "
        "uses the quota again.",
        "s",
        default=0.5,
    )
    quota_wait_s: float = setting(
        "Longest time that a request waits for quota to be lent.",
        "s",
        default=0.15,
    )
    tick_interval_s: float = setting(
        "Interval of the periodic timer.", "s", default=0.1
    )
    beat_interval_s: float = setting(
        "Interval of heartbeats between VMs.", "s", default=1.0
    )
    mesh_vms: int = setting(
        "Largest number of VMs that all send each other heartbeats and all "
        "follow the store; in larger fleets, the VMs of a zone share both.",
        "VMs",
        default=16,
    )
    slot_scheduling_min_vms: int = setting(
        "Smallest fleet in which one VM per service and region grants the "
        "slots of its targets to all VMs; 0 for never.",
        "VMs",
        default=0,
    )
    peer_timeout_s: float = setting(
        "A VM is considered unreachable and omitted from lookups after this "
        "long without a heartbeat.",
        "s",
        default=3.5,
    )
    max_pipelined_requests: int = setting(
        "Largest number of requests in progress on a connection of a caller; "
        "only safe requests of routes that allow to repeat them are handled "
        "while earlier ones are in progress. 1 handles all requests of a "
        "connection one after another. A change applies to new connections.",
        "requests",
        default=1,
    )
    cpu_share: float = setting(
        "Share of each of its cores that this VM may use; 0 if unknown.",
        "-",
        default=0.0,
    )
    cpu_count: float = setting(
        "Number of cores of which this VM may use `cpu_share`; 0 if unknown.",
        "cores",
        default=0.0,
    )
    memory_mb: float = setting(
        "Memory of this VM; 0 if unknown.", "MB", default=0.0
    )
    max_descriptors: int = setting(
        "File descriptors that this VM may open; 0 if unknown.",
        "descriptors",
        default=0,
    )
    link_mbps: float = setting(
        "Rate of this VM's network link in each direction; 0 if unknown.",
        "Mbit/s",
        default=0.0,
    )


def load(path: pathlib.Path) -> SteeringSettings:
    """Returns the validated settings of a TOML file.

    Args:
        path: Settings file.

    Raises:
        errors.SettingsError: The file is missing or malformed, a setting is
            unknown or missing, or a value has the wrong type or is out of
            range.
    """
    loaded = loading.load_as(path, SteeringSettings, "docs/settings.md")
    if loaded.zone not in loaded.region_by_zone:
        raise errors.SettingsError(
            f"{path}: zone {loaded.zone!r} is missing in region_by_zone; add "
            "it with its region."
        )
    if loaded.max_pipelined_requests < 1:
        raise errors.SettingsError(
            f"{path}: max_pipelined_requests must be at least 1."
        )
    return loaded


# Settings that cannot change in a running process: its identity, location and
# addresses.
REQUIRING_RESTART = (
    "name",
    "zone",
    "region",
    "caller_address",
    "ready_address",
    "look_up_address",
    "peer_address",
    "metrics_address",
    "platform_address",
)


def changes_requiring_restart(
    running: SteeringSettings, loaded: SteeringSettings
) -> tuple[str, ...]:
    """Returns the names of changed settings that need a restart.

    Args:
        running: Settings of the running process.
        loaded: Reloaded settings.
    """
    return tuple(
        name
        for name in REQUIRING_RESTART
        if getattr(running, name) != getattr(loaded, name)
    )
