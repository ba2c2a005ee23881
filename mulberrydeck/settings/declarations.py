"""Settings of one VM, each declared once with default, unit and description."""

import attrs


def setting(description: str, unit: str, **kwargs: object) -> object:
    """Declares a settings field.

    Args:
        description: What the setting does, as a full sentence.
        unit: Unit of the value, such as `s` or `bytes`; `-` if it has none.
        **kwargs: Passed to `attrs.field`, such as `default`.
    """
    metadata = {"description": description, "unit": unit}
    return attrs.field(metadata=metadata, **kwargs)


@attrs.frozen
class Settings:
    """Settings that a process reads from its settings file."""

    name: str = setting("Unique name of this VM.", "-")
    zone: str = setting("Availability zone of this VM.", "-")
    caller_address: str = setting(
        "Where callers reach this VM, `ip:port`.", "address"
    )
    relay_address: str = setting(
        "Where other VMs send relayed requests, `ip:port`.", "address"
    )
    peer_address: str = setting(
        "Where this VM receives peer messages, `ip:port`.", "address"
    )
    platform_url: str = setting("Base URL of the platform's object API.", "URL")
    fleet_secret: str = setting(
        "Secret shared by all VMs of one fleet; it authenticates relayed "
        "requests and peer messages.",
        "-",
        repr=False,
    )
    advertised_caller_address: str = setting(
        "Address that is advertised to callers; empty means `caller_address`.",
        "address",
        default="",
    )
    advertised_relay_address: str = setting(
        "Relay address that is advertised to peers; empty means "
        "`relay_address`.",
        "address",
        default="",
    )
    advertised_peer_address: str = setting(
        "Address for peer messages that is advertised to peers; empty means "
        "`peer_address`.",
        "address",
        default="",
    )
    source_ip: str = setting(
        "Local IP of outgoing connections; empty lets the system choose.",
        "address",
        default="",
    )
    seeds: tuple[str, ...] = setting(
        "Peers to contact before the platform has responded, `name=ip:port`.",
        "-",
        default=(),
    )
    tick_interval_s: float = setting(
        "Interval of the periodic timer.", "s", default=0.1
    )
    heartbeat_interval_s: float = setting(
        "Interval of heartbeats to each peer.", "s", default=1.0
    )
    peer_timeout_s: float = setting(
        "A peer is considered unreachable after this long without a heartbeat.",
        "s",
        default=4.0,
    )
    quota_lease_s: float = setting(
        "Validity of quota lent to another VM.", "s", default=5.0
    )
    target_lease_s: float = setting(
        "Validity of a VM's exclusive right to send work to a target.",
        "s",
        default=4.0,
    )
    lease_margin_s: float = setting(
        "Extra time that a lender waits after a lease has expired.",
        "s",
        default=0.5,
    )
    quota_wait_s: float = setting(
        "Longest time that a request waits for quota to be lent.",
        "s",
        default=0.2,
    )
    admission_lifetime_s: float = setting(
        "A request admitted under its account's limit must be sent to a target "
        "within this time, or it is admitted again.",
        "s",
        default=0.15,
    )
    slot_wait_s: float = setting(
        "Longest time that a request waits for a free slot.", "s", default=0.1
    )
    zone_takeover_s: float = setting(
        "A zone lease is taken over when its holder has been missing from the "
        "platform's list of VMs for this long and is unreachable.",
        "s",
        default=3.0,
    )
    target_poll_interval_s: float = setting(
        "Interval of health polls to each owned target.", "s", default=0.5
    )
    target_warmup_s: float = setting(
        "Time over which a new target's slots become usable.", "s", default=3.0
    )
    keys_offline_s: float = setting(
        "Keyed requests are refused when the platform has not confirmed the "
        "keyring, directly or through peers, for this long.",
        "s",
        default=3600.0,
    )
    connect_timeout_s: float = setting(
        "Time allowed to open a connection.", "s", default=1.0
    )
    idle_timeout_s: float = setting(
        "Longest time without progress in the transfer of a request or "
        "response.",
        "s",
        default=10.0,
    )
    retry_budget_ratio: float = setting(
        "Retries allowed per first attempt, over the whole VM.",
        "-",
        default=0.1,
    )
    lookup_lifetime_s: float = setting(
        "How long callers may use a lookup response.", "s", default=5.0
    )
    stop_notice_s: float = setting(
        "Time between the removal of this VM from lookup responses and the "
        "closing of its listeners on a planned stop; longer than "
        "`lookup_lifetime_s` plus `heartbeat_interval_s`, so that no caller "
        "connects to a closed port.",
        "s",
        default=6.5,
    )
    platform_timeout_s: float = setting(
        "Time allowed for one call of the platform.", "s", default=2.0
    )
    otlp_url: str = setting(
        "OTLP/HTTP endpoint for traces; empty writes JSON lines to "
        "`trace_path`.",
        "URL",
        default="",
    )
    trace_path: str = setting(
        "File for trace spans as JSON lines; empty disables traces.",
        "path",
        default="",
    )
