"""What the HTTP side sees of the core."""

from typing import Protocol

import attrs

from mulberrydeck import errors
from mulberrydeck.core import effects


@attrs.frozen
class LookupQuery:
    """A caller's question which entry VMs to use.

    Attributes:
        service: Name of the service, or empty for any.
        place: Zone, region or IP address that the caller names, or empty.
        caller_ip: Address that the question came from.
    """

    service: str
    place: str
    caller_ip: str


@attrs.frozen
class EntryVm:
    """An entry VM in a look-up answer.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        address: Where callers reach it, `host:port`.
    """

    name: str
    zone: str
    address: str


@attrs.frozen
class LookupResponse:
    """Entry VMs to use, best first.

    Attributes:
        vms: Entry VMs in the order of preference.
        lifetime_s: How long the answer may be kept, in seconds.
        config_version: Configuration version it was worked out from.
    """

    vms: tuple[EntryVm, ...]
    lifetime_s: float
    config_version: int


@attrs.frozen
class PeerStatus:
    """A peer as this VM sees it.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        alive: Whether its heartbeats arrive.
        leaving: Whether it is stopping.
        config_version: Configuration version that it reports.
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
        lent_units: Units lent to others.
        borrowed_units: Units borrowed from others.
        tokens: Tokens that can be spent now.
    """

    resource: str
    own_units: int
    lent_units: int
    borrowed_units: int
    tokens: float


@attrs.frozen
class TargetStatus:
    """A target as this VM sees it.

    Attributes:
        name: Name of the target.
        service: Its service.
        owned: Whether this VM may send work to it.
        state: `ready`, `warming`, `ejected`, `draining` or `unknown`.
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
    """What is in force on one VM.

    Attributes:
        name: Name of the VM.
        zone: Its availability zone.
        leaving: Whether it is stopping.
        config_version: Applied configuration version.
        keys_version: Applied keyring version.
        platform_age_s: Time since the platform last answered, in seconds.
        zone_holder: Name of the VM that holds the zone's quota, or empty.
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
    """Asks how a request would be treated.

    Attributes:
        account: Client account.
        service: Name of the service.
        place: Zone to decide from, or empty for this VM's zone.
    """

    account: str
    service: str
    place: str


@attrs.frozen
class Explanation:
    """How a request would be treated, rule by rule.

    Attributes:
        allowed: Whether it would be forwarded.
        steps: One sentence per rule that was consulted.
        vm: VM that would be used, or empty.
        target: Target that would be used, or empty if another VM decides.
    """

    allowed: bool
    steps: tuple[str, ...]
    vm: str
    target: str


@attrs.frozen
class RunOutcome:
    """What is known of a single run.

    Attributes:
        state: `absent`, `started`, `finished`, or `unavailable` when the
            platform cannot be asked.
        status: HTTP status of the run's answer if `finished`, else 0.
    """

    state: str
    status: int = 0


Decision = effects.Refuse | effects.ForwardToTarget | effects.ForwardToVm


class Gateway(Protocol):
    """Entry to the core for the HTTP side."""

    def now_s(self) -> float:
        """Returns the monotonic time, in seconds."""

    def submit(self, event: object) -> None:
        """Feeds an event to the reducer without waiting."""

    def decide(self, event: object) -> Decision:
        """Feeds an event and blocks the greenlet until a decision."""

    def allow_bytes(self, link: str, count: int) -> int:
        """Blocks the greenlet until the link may carry some bytes.

        Args:
            link: `source/destination` regions.
            count: Bytes that wait to be sent.

        Returns:
            Bytes to send at once, from 1 to `count`; they are counted.

        Raises:
            errors.LinkBusyError: The link had no room for too long.
        """

    def lookup(self, query: LookupQuery) -> LookupResponse:
        """Answers which entry VMs to use."""

    def status(self) -> Status:
        """Returns what is in force on this VM."""

    def explain(self, query: ExplainQuery) -> Explanation:
        """Tells how a request would be treated."""

    def run_outcome(self, key: str, run_id: str) -> RunOutcome | errors.Problem:
        """Returns what is known of a single run of the key's account."""
