"""Events that the reducer handles.

The `at_s` of an event is the monotonic time at which it happened, in seconds.
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
    """A message from a peer arrived.

    Attributes:
        sender: Name of the sending VM.
        message: One of the types in `peers.messages`.
    """

    at_s: float
    sender: str
    message: object


@attrs.frozen
class DocumentRead:
    """A document was read from the platform.

    Attributes:
        name: Name of the document.
        version: Version of the content.
        content: Encoded document.
    """

    at_s: float
    name: str
    version: int
    content: bytes


@attrs.frozen
class DocumentConfirmed:
    """The platform confirmed that a version of a document is the latest."""

    at_s: float
    name: str
    version: int


@attrs.frozen
class VmsListed:
    """The platform's list of VMs was read; it may lag behind."""

    at_s: float
    vms: tuple[records.VmEntry, ...]


@attrs.frozen
class ZoneLease:
    """Content of a zone's lease object.

    Attributes:
        holder: Name of the VM that holds the lease, or empty if released.
        incarnation: Identifier of the holder's process.
        epoch: Increases by one with each change of holder.
        division: Zones, as `region/zone`, over which quota was last divided;
            empty before the first division.
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
    """How the claim of a single run was decided.

    `WON`: the run may be sent.
    `TAKEN`: another attempt claimed the run, and its outcome is not recorded.
    `FINISHED`: the run took place earlier.
    `UNAVAILABLE`: the platform could not be used; nothing was claimed.
    `UNKNOWN`: the claim may have been written.
    """

    WON = "won"
    TAKEN = "taken"
    FINISHED = "finished"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class ClaimDecided:
    """A claim for a single run was decided.

    Attributes:
        request_id: The request that made the claim.
        outcome: How the claim was decided.
        account: Client account.
        run_id: Identifier of the run, set by the caller.
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
    """A request head arrived from a caller or a relaying VM.

    Attributes:
        request_id: Unique identifier of the request on this VM.
        service: Name of the service.
        method: HTTP method.
        path: Path below the service, starting with `/`.
        key: Key that the caller presented, or empty.
        run_id: Identifier of a single run, or empty.
        deadline_s: Time remaining for the request, in seconds, as set by the
            sender, or 0 if unset.
        relayed_account: Client account as named by the relaying VM; None if a
            caller sent the request.
        relayed_attempt: Number of the relaying VM's attempt, from 1; 0 if a
            caller sent the request.
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
        status: HTTP status of the response, or 0.
        latency_s: Time from the start to the response head, in seconds.
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
    """The sender disconnected or received its complete response.

    No further event of the request follows.
    """

    at_s: float
    request_id: str


@attrs.frozen
class TargetReport:
    """The state that a target reports when it is polled.

    Attributes:
        healthy: Whether it can serve requests.
        leaving: Whether it asks for no new requests.
        slots: Number of slots that it offers.
        used: Number of slots in use.
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
    """A wait for a slot ended; raised by the routing subsystem.

    Attributes:
        request_id: The request.
        target: Name of the target, or empty if no slot was freed in time.
        address: Its address, `host:port`.
    """

    at_s: float
    request_id: str
    target: str = ""
    address: str = ""


@attrs.frozen
class LinkQuotaNeeded:
    """A transfer waits for quota of a link, and this VM holds none."""

    at_s: float


@attrs.frozen
class Started:
    """The process has started and opened its listeners."""

    at_s: float


@attrs.frozen
class StopRequested:
    """The process was asked to stop gracefully."""

    at_s: float


@attrs.frozen
class StopFinished:
    """The last request of a stopping process has ended."""

    at_s: float
