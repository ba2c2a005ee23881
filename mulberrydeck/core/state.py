"""State of the reducer."""

import random

import attrs

from mulberrydeck.core import documents
from mulberrydeck.core import members
from mulberrydeck.core import zones
from mulberrydeck.keys import keyring
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.quota import state as quota_state
from mulberrydeck.routing import state as routing_state
from mulberrydeck.settings import declarations

# Number of lease margins added to the longest lease in a handover of the zone.
HANDOVER_LEASE_MARGINS = 2


@attrs.define
class Request:
    """A request that this VM handles.

    Attributes:
        request_id: Unique identifier.
        service: Name of the service.
        route: Route that matches it.
        account: Client account, or empty on open routes.
        run_id: Identifier of a single run, or empty.
        relayed_attempt: Number of the relaying VM's attempt, from 1; 0 if a
            caller sent it.
        deadline_at_s: When its deadline passes, in seconds.
        admitted_at_s: When it was last admitted under the account's limit, in
            seconds; for a relayed request, when it arrived.
        attempts: Number of attempts started.
        unsent_attempts: Number of those that were not sent in time.
        excluded: Names of VMs that must not be tried again.
        target: Target whose slot it holds, or empty.
        target_address: Address of that target.
        relayed_to: VM to which the attempt in progress is relayed, or empty.
        claimed: Whether this VM holds the claim of its single run.
    """

    request_id: str
    service: str
    route: configuration.Route
    account: str
    run_id: str
    relayed_attempt: int
    deadline_at_s: float
    admitted_at_s: float
    attempts: int = 0
    unsent_attempts: int = 0
    excluded: set[str] = attrs.field(factory=set)
    target: str = ""
    target_address: str = ""
    relayed_to: str = ""
    claimed: bool = False


@attrs.define
class RetryBudget:
    """Limits retries to a fraction of first attempts.

    Attributes:
        ratio: Retries earned per first attempt.
        capacity: Maximum number of retries that can accumulate.
        tokens: Number of retries allowed now.
    """

    ratio: float
    capacity: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Earns the retries of a first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spends one retry; returns whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class State:
    """State of one entry VM.

    Attributes:
        settings: Settings of this VM.
        incarnation: Identifier of this process.
        now_s: Time of the last event, in monotonic seconds.
        members: Known peers.
        documents: Configuration and keyring as received.
        zone: Lease of this VM's zone.
        quota: Quota of this VM and its loans.
        routing: Targets, slots and health.
        retry_budget: Retries that this VM may make.
        configuration: Applied configuration, or None.
        key_index: Keys of the applied keyring, or None.
        requests: Requests being handled, by identifier.
        platform_responded_s: When the platform last responded, or when the
            process started, in seconds.
        leaving: Whether the process is stopping.
    """

    settings: declarations.Settings
    incarnation: str
    members: members.MembersState
    documents: documents.DocumentsState
    zone: zones.ZoneState
    quota: quota_state.QuotaState
    routing: routing_state.RoutingState
    retry_budget: RetryBudget
    now_s: float = 0.0
    configuration: compiled.CompiledConfiguration | None = None
    key_index: keyring.KeyIndex | None = None
    requests: dict[str, Request] = attrs.field(factory=dict)
    platform_responded_s: float = 0.0
    leaving: bool = False


def create(settings: declarations.Settings, incarnation: str) -> State:
    """Returns the state of a process that has just started.

    Args:
        settings: Settings of this VM.
        incarnation: Identifier of this process, never used again.
    """
    lease_s = max(settings.quota_lease_s, settings.target_lease_s)
    return State(
        settings=settings,
        incarnation=incarnation,
        members=members.MembersState(settings.name, settings.peer_timeout_s),
        documents=documents.DocumentsState(),
        zone=zones.ZoneState(
            zone=settings.zone,
            vm_name=settings.name,
            incarnation=incarnation,
            takeover_s=settings.zone_takeover_s,
            handover_s=lease_s
            + HANDOVER_LEASE_MARGINS * settings.lease_margin_s,
        ),
        quota=quota_state.QuotaState(incarnation, settings),
        routing=routing_state.RoutingState(
            settings.name,
            settings.zone,
            settings,
            random.Random(incarnation).getrandbits(64),
        ),
        retry_budget=RetryBudget(settings.retry_budget_ratio),
    )
