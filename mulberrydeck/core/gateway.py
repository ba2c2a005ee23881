"""Interface of the core to the HTTP server, and the types it exchanges."""

from typing import Protocol

import attrs

from mulberrydeck import errors
from mulberrydeck.core import effects


@attrs.frozen
class LookupQuery:
    """A caller's lookup request for entry VMs.

    Attributes:
        service: Name of the service, or empty for any.
        place: Zone, region or IP address near which VMs are wanted, or empty
            for `caller_ip`.
        caller_ip: IP address from which the request came.
    """

    service: str
    place: str
    caller_ip: str


@attrs.frozen
class EntryVm:
    """An entry VM in a lookup response.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Its address for callers, `host:port`.
    """

    name: str
    zone: str
    address: str


@attrs.frozen
class LookupResponse:
    """The entry VMs that a caller should use.

    Attributes:
        vms: Entry VMs, in order of preference.
        lifetime_s: How long the response may be cached, in seconds.
        config_version: Version of the configuration that it is based on; 0 if
            none is applied.
    """

    vms: tuple[EntryVm, ...]
    lifetime_s: float
    config_version: int


@attrs.frozen
class PeerStatus:
    """Status of a peer as known to this VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        alive: Whether it sent a heartbeat within the timeout.
        leaving: Whether it is stopping.
        config_version: Configuration version that it reports, or 0.
    """

    name: str
    zone: str
    alive: bool
    leaving: bool
    config_version: int


@attrs.frozen
class QuotaStatus:
    """Quota of one resource on this VM.

    Attributes:
        resource: Identifier of the resource.
        own_units: Units that this VM owns.
        lent_units: Units lent to other VMs.
        borrowed_units: Units borrowed from other VMs.
        tokens: Tokens that can be spent now.
    """

    resource: str
    own_units: int
    lent_units: int
    borrowed_units: int
    tokens: float


@attrs.frozen
class TargetStatus:
    """Status of a target as known to this VM.

    Attributes:
        name: Name of the target.
        service: Its service.
        owned: Whether this VM owns it and may send requests to it.
        state: `ready`, `warming`, `ejected`, `draining`, `unhealthy` or
            `unknown`.
        used_slots: Slots in use by this VM.
        usable_slots: Slots that this VM may use now.
    """

    name: str
    service: str
    owned: bool
    state: str
    used_slots: int
    usable_slots: int


@attrs.frozen
class Status:
    """Status of one VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        leaving: Whether it is stopping.
        config_version: Applied configuration version.
        keys_version: Applied keyring version.
        platform_age_s: Time since the platform last responded, in seconds.
        zone_holder: Name of the VM that holds the zone lease, or empty.
        peers: Known peers.
        quotas: Quota per resource.
        targets: Targets of this VM's zone.
    """

    name: str
    zone: str
    leaving: bool
    config_version: int
    keys_version: int
    platform_age_s: float
    zone_holder: str
    peers: tuple[PeerStatus, ...]
    quotas: tuple[QuotaStatus, ...]
    targets: tuple[TargetStatus, ...]


@attrs.frozen
class ExplainQuery:
    """A query for how a request would be handled.

    Attributes:
        account: Client account.
        service: Name of the service.
        place: Zone whose spill order is explained, or empty for this VM's zone.
    """

    account: str
    service: str
    place: str


@attrs.frozen
class Explanation:
    """How a request would be handled, rule by rule.

    Attributes:
        allowed: Whether it would be forwarded.
        steps: One sentence for each rule that was evaluated.
        vm: VM that would be used, or empty.
        target: Target that would be used, or empty if it is not decided yet.
    """

    allowed: bool
    steps: tuple[str, ...]
    vm: str
    target: str


@attrs.frozen
class RunOutcome:
    """Recorded outcome of a single run.

    Attributes:
        state: `absent`, `started`, `finished`, or `unavailable` if the
            platform cannot be reached.
        status: HTTP status of the response if `finished`, else 0.
    """

    state: str
    status: int = 0


Decision = effects.Refuse | effects.ForwardToTarget | effects.ForwardToVm


class Gateway(Protocol):
    """Interface of the core to the HTTP server."""

    def now_s(self) -> float:
        """Returns the monotonic time, in seconds."""

    def submit(self, event: object) -> None:
        """Submits an event to the reducer without waiting for a decision."""

    def decide(self, event: object) -> Decision:
        """Submits an event and blocks the greenlet until it is decided."""

    def allow_bytes(self, link: str, count: int) -> int:
        """Blocks the greenlet until the link may carry some bytes.

        Args:
            link: `source/destination` regions.
            count: Number of bytes to send, at least 1.

        Returns:
            Number of bytes that may be sent now, from 1 to `count`. They are
            deducted from the quota of the link.

        Raises:
            errors.LinkBusyError: The link had no quota for too long.
        """

    def lookup(self, query: LookupQuery) -> LookupResponse:
        """Returns the entry VMs that a caller should use."""

    def status(self) -> Status:
        """Returns the status of this VM."""

    def explain(self, query: ExplainQuery) -> Explanation:
        """Explains how a request would be handled."""

    def run_outcome(self, key: str, run_id: str) -> RunOutcome | errors.Problem:
        """Returns the outcome of a run of the key's account, or a refusal."""
