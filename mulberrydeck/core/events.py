"""Events that the reducer consumes.

Every event carries `at_s`, the monotonic time at which it happened, in seconds.
"""

import enum

import attrs

from mulberrydeck.forward import outcomes
from mulberrydeck.platformapi import records


@attrs.frozen
class Tick:
    """The periodic timer fired."""

    at_s: float


@attrs.frozen
class PeerReceived:
    """A message came from a peer.

    Attributes:
        sender: Name of the sending VM.
        message: One of the types in `peers.messages`.
    """

    at_s: float
    sender: str
    message: object


@attrs.frozen
class DocumentRead:
    """The platform returned a document.

    Attributes:
        name: Name of the document.
        version: Its version in the platform.
        content: Encoded document.
    """

    at_s: float
    name: str
    version: int
    content: bytes


@attrs.frozen
class DocumentConfirmed:
    """The platform confirmed that a document has not changed."""

    at_s: float
    name: str
    version: int


@attrs.frozen
class VmsListed:
    """The platform returned its list of VMs, which may lag."""

    at_s: float
    vms: tuple[records.VmEntry, ...]


@attrs.frozen
class ZoneLease:
    """Content of a zone's lease object.

    Attributes:
        holder: Name of the VM that holds the zone's own quota.
        incarnation: Process of that VM.
        epoch: Grows by one with each change of holder.
        division: Places, as `region/zone`, over which the zone's own quota
            was last divided; empty before the first division.
    """

    holder: str
    incarnation: str
    epoch: int
    division: tuple[str, ...] = ()


@attrs.frozen
class ZoneLeaseRead:
    """The zone's lease object was read; `lease` is None if it is absent."""

    at_s: float
    version: int
    lease: ZoneLease | None


class ClaimOutcome(enum.Enum):
    """What the platform says of an idempotency claim."""

    WON = "won"
    TAKEN = "taken"
    FINISHED = "finished"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class ClaimDecided:
    """A claim for a single run was decided.

    Attributes:
        request_id: The request that asked.
        outcome: What was found.
        account: Client account of the claim.
        run_id: The caller's identifier of the claim.
        status: HTTP status of the earlier run if `FINISHED`, else 0.
    """

    at_s: float
    request_id: str
    outcome: ClaimOutcome
    account: str
    run_id: str
    status: int = 0


@attrs.frozen
class RequestArrived:
    """A caller or another VM sent a request head.

    Attributes:
        request_id: Unique identifier of this handling.
        service: Name of the service.
        method: HTTP method.
        path: Path below the service, starting with `/`.
        key: Key as presented, or empty.
        run_id: Identifier of a single run, or empty.
        deadline_s: Time left that the caller asked for, or 0 if unset.
        relayed_account: Account named by a relaying VM; None from callers.
        relayed_attempt: Number of the relaying VM's attempt, from 1; 0 from
            callers.
    """

    at_s: float
    request_id: str
    service: str
    method: str
    path: str
    key: str = ""
    run_id: str = ""
    deadline_s: float = 0.0
    relayed_account: str | None = None
    relayed_attempt: int = 0


@attrs.frozen
class AttemptEnded:
    """An attempt of a request ended.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 1.
        outcome: How it ended.
        status: HTTP status of the answer, or 0.
        latency_s: Time from start to answer head, in seconds.
        replayable: Whether the request body can be sent again.
    """

    at_s: float
    request_id: str
    attempt: int
    outcome: outcomes.AttemptOutcome
    status: int = 0
    latency_s: float = 0.0
    replayable: bool = False


@attrs.frozen
class RequestClosed:
    """The caller hung up or got its whole answer; nothing more will come."""

    at_s: float
    request_id: str


@attrs.frozen
class TargetReport:
    """What a target says of itself.

    Attributes:
        healthy: Whether it accepts work.
        leaving: Whether it asks for no new work.
        slots: Slots that it offers.
        used: Slots in use.
    """

    healthy: bool
    leaving: bool
    slots: int
    used: int


@attrs.frozen
class TargetPolled:
    """A poll of a target ended; `report` is None if it failed."""

    at_s: float
    target: str
    report: TargetReport | None


@attrs.frozen
class SlotDecided:
    """A request that waited for a slot was decided (raised internally).

    Attributes:
        request_id: The request.
        target: Name of the target, or empty if none became free in time.
        address: Address of the target, `host:port`.
    """

    at_s: float
    request_id: str
    target: str = ""
    address: str = ""


@attrs.frozen
class LinkQuotaNeeded:
    """A transfer waits for quota of a link of which this VM holds none."""

    at_s: float


@attrs.frozen
class Started:
    """The process has opened its listeners."""

    at_s: float


@attrs.frozen
class StopRequested:
    """The process was asked to stop gracefully."""

    at_s: float


@attrs.frozen
class StopFinished:
    """The last request of a stopping process has ended."""

    at_s: float
