"""Messages between VMs.

All durations are in seconds. Times named `sent_s` and `echo_s` are read from
the monotonic clock of the VM that sent the first message of an exchange; the
other side only returns them.
"""

import attrs

from mulberrydeck.peers import feed_messages
from mulberrydeck.peers import slot_messages

PROTOCOL_VERSION = 1


@attrs.frozen
class ServiceLoad:
    """Capacity of one VM for one service.

    Attributes:
        service: Name of the service.
        free_slots: Free slots of the targets that the VM owns.
        total_slots: Usable slots of the targets that the VM owns.
    """

    service: str
    free_slots: int
    total_slots: int


@attrs.frozen
class DocumentVersion:
    """Version of a document that a VM has applied.

    Attributes:
        name: Name of the document, such as `config` or `keys`.
        version: Applied version.
        age_s: Time since the platform last confirmed the version.
    """

    name: str
    version: int
    age_s: float


@attrs.frozen
class Heartbeat:
    """Periodic heartbeat with the state of the sender.

    Attributes:
        incarnation: Identifier of the sender's process.
        sequence: Number of the heartbeat, counted by the sender's process.
        sent_s: Time of sending on the sender's clock.
        echo_s: `sent_s` of the last heartbeat that the sender got from the
            receiver, or -1.
        zone: Availability zone of the sender.
        leaving: Whether the sender is stopping.
        peer_address: Where the sender receives peer messages, `host:port`.
        caller_address: Where callers reach the sender, `host:port`.
        relay_address: Where VMs send relayed requests, `host:port`.
        documents: Versions that the sender has applied.
        holder_epoch: Epoch of the zone lease that the sender holds, or 0.
        loads: Capacity per service.
        full_links: Links on which the sender has no remaining quota, written
            as `from/to` with the names of the regions.
    """

    incarnation: str
    sequence: int
    sent_s: float
    echo_s: float
    zone: str
    leaving: bool
    peer_address: str
    caller_address: str
    relay_address: str
    documents: tuple[DocumentVersion, ...]
    holder_epoch: int
    loads: tuple[ServiceLoad, ...]
    full_links: tuple[str, ...] = ()


@attrs.frozen
class DocumentRequest:
    """Requests a document newer than the known version from a peer.

    Attributes:
        name: Name of the document.
        known_version: Version that the sender has applied.
    """

    name: str
    known_version: int


@attrs.frozen
class DocumentResponse:
    """Response to a `DocumentRequest`.

    Attributes:
        name: Name of the document.
        version: Version of the content.
        content: Encoded document.
        age_s: Time since the platform last confirmed the version to the
            sender.
    """

    name: str
    version: int
    content: bytes
    age_s: float


@attrs.frozen
class TargetGrant:
    """Makes the receiver the owner of targets for a limited time.

    Only the owner of a target may send requests to it.

    Attributes:
        epoch: Epoch of the zone lease holder that makes the grant.
        echo_s: Time on the receiver's clock at which `duration_s` starts.
        duration_s: Validity of the grant.
        targets: Names of all targets granted; the receiver must release all
            others.
        sequence: Number of the grant, counted by that holder in this epoch.
    """

    epoch: int
    echo_s: float
    duration_s: float
    targets: tuple[str, ...]
    sequence: int = 0


@attrs.frozen
class TargetRelease:
    """Releases targets before their grants expire.

    Attributes:
        epoch: Epoch of the last grant received.
        sequence: `sequence` of the last grant received.
        targets: Names of targets that the sender no longer uses.
    """

    epoch: int
    sequence: int
    targets: tuple[str, ...]


@attrs.frozen
class TargetClaim:
    """Reports to a new zone lease holder which targets the sender owns.

    From then on, the sender ignores grants of earlier epochs.

    Attributes:
        epoch: Epoch of the new holder.
        targets: Names of targets whose grants to the sender are still valid.
    """

    epoch: int
    targets: tuple[str, ...]


@attrs.frozen
class ResourceRequest:
    """Units of one resource that a borrower requests.

    Attributes:
        resource: Identifier such as `account/acme` or `link/a/b`.
        units: Units requested in addition to those already borrowed.
        tokens: Tokens of the token bucket requested with the units.
        renew: Identifiers of this lender's loans to be extended.
    """

    resource: str
    units: int
    tokens: float = 0.0
    renew: tuple[int, ...] = ()


@attrs.frozen
class LoanRequest:
    """Requests loans from a peer.

    Attributes:
        ask_id: Identifier of the request, unique within the sender's
            incarnation.
        incarnation: Identifier of the sender's process.
        sent_s: Time of sending on the sender's clock; the validity of the
            loans counts from it.
        requests: Units requested, by resource.
    """

    ask_id: int
    incarnation: str
    sent_s: float
    requests: tuple[ResourceRequest, ...]


@attrs.frozen
class QuotaGrant:
    """One loan, new or extended.

    Attributes:
        resource: Identifier of the resource.
        loan_id: Identifier, unique within the lender's incarnation; a loan
            that the request named in `renew` keeps its identifier.
        units: Units lent; 0 if the lender has none to lend.
        tokens: Tokens transferred with the units.
        duration_s: Validity, counted from the request's `sent_s` on the
            borrower's clock.
        spare_tokens: Tokens that the lender could still lend.
    """

    resource: str
    loan_id: int
    units: int
    tokens: float
    duration_s: float
    spare_tokens: float = 0.0


@attrs.frozen
class LoanResponse:
    """Response to a `LoanRequest`.

    Attributes:
        ask_id: Identifier of the request.
        borrower_incarnation: Incarnation that sent the request; a process of
            another incarnation drops the response.
        lender_incarnation: Identifier of the lender's process.
        sent_s: The request's `sent_s`, returned.
        grants: Loans granted or extended.
    """

    ask_id: int
    borrower_incarnation: str
    lender_incarnation: str
    sent_s: float
    grants: tuple[QuotaGrant, ...]


@attrs.frozen
class ReturnedLoan:
    """A loan that is returned in full or in part.

    Attributes:
        resource: Identifier of the resource.
        loan_id: Identifier of the loan.
        kept_units: Units that the borrower keeps; 0 ends the loan.
        tokens: Tokens returned with the units.
    """

    resource: str
    loan_id: int
    kept_units: int
    tokens: float


@attrs.frozen
class QuotaReturn:
    """Returns loans before they expire.

    Attributes:
        lender_incarnation: Incarnation that made the loans; a process of
            another incarnation drops the message.
        loans: Loans that the borrower returns in full or in part.
    """

    lender_incarnation: str
    loans: tuple[ReturnedLoan, ...]


@attrs.frozen
class SteeringHeartbeat:
    """Periodic heartbeat of a steering VM.

    Attributes:
        incarnation: Identifier of the sender's process.
        ready: Whether the sender can serve callers.
        leaving: Whether the sender is stopping.
        holds_loans: Whether the sender holds loans made by the receiver.
        joining: Whether the sender has just started and expects a heartbeat
            in response.
        reaches_store: Whether the sender can reach the store, and so can
            watch it for other VMs.
        overlent: Whether the sender has lent more units of a limit than it
            owns, since its share has shrunk.
        headroom: Factor from 0 to 1 on the sender's share of callers, below 1
            if it is short of memory, descriptors or link.
    """

    incarnation: str
    ready: bool
    leaving: bool
    holds_loans: bool = False
    joining: bool = False
    reaches_store: bool = False
    overlent: bool = False
    headroom: float = 1.0


@attrs.frozen
class RelayedHeartbeat:
    """Heartbeat of another VM, relayed in a digest.

    Its `holds_loans` has no meaning, because it concerns the receiver of the
    original heartbeat.

    Attributes:
        vm: Name of the VM that sent the heartbeat.
        age_s: Time since the heartbeat was received.
        beat: The heartbeat.
    """

    vm: str
    age_s: float
    beat: SteeringHeartbeat


@attrs.frozen
class SteeringDigest:
    """Latest heartbeats of all VMs in the sender's zone, its own included.

    Attributes:
        heard: The heartbeats.
    """

    heard: tuple[RelayedHeartbeat, ...]


type_by_kind = {
    1: Heartbeat,
    2: DocumentRequest,
    3: DocumentResponse,
    4: TargetGrant,
    5: LoanRequest,
    6: LoanResponse,
    7: QuotaReturn,
    8: TargetRelease,
    9: TargetClaim,
    10: SteeringHeartbeat,
    11: SteeringDigest,
    12: feed_messages.FeedRequest,
    13: feed_messages.FeedResponse,
    14: slot_messages.SlotRequest,
    15: slot_messages.SlotGrant,
    16: slot_messages.SlotQueued,
    17: slot_messages.SlotRefusal,
    18: slot_messages.SlotReturn,
    19: slot_messages.SlotsHeld,
}
