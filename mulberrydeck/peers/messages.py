"""Messages between VMs.

All durations are in seconds. Times named `sent_s` and `echo_s` are read on the
monotonic clock of the VM that sent the first message of an exchange; the other
side only returns them.
"""

import attrs

from mulberrydeck.peers import feed_messages

PROTOCOL_VERSION = 1


@attrs.frozen
class ServiceLoad:
    """Capacity that one VM can give to one service.

    Attributes:
        service: Name of the service.
        free_slots: Slots of the targets it owns that are free now.
        total_slots: Usable slots of the targets it owns.
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
        age_s: Time since the version was last confirmed by the platform.
    """

    name: str
    version: int
    age_s: float


@attrs.frozen
class Heartbeat:
    """Periodic sign of life with the sender's state.

    Attributes:
        incarnation: Identifier of the sender's process.
        sequence: Counter of heartbeats of this process.
        sent_s: Sender's clock when it was sent.
        echo_s: The receiver's `sent_s` of its last heartbeat seen here, or -1.
        zone: Availability zone of the sender.
        leaving: Whether the sender is stopping.
        peer_address: Where the sender receives peer messages, `host:port`.
        caller_address: Where callers reach the sender, `host:port`.
        relay_address: Where VMs send relayed requests, `host:port`.
        documents: Versions that the sender has applied.
        holder_epoch: Epoch of the zone lease that the sender holds, or 0.
        loads: Capacity per service.
        full_links: Links, as `from/to` regions, on which it lacks quota.
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
    """Asks a peer for a document newer than the known version.

    Attributes:
        name: Name of the document.
        known_version: Version that the sender has applied.
    """

    name: str
    known_version: int


@attrs.frozen
class DocumentReply:
    """Carries a document.

    Attributes:
        name: Name of the document.
        version: Version of the content.
        content: Encoded document.
        age_s: Time since the sender last had it confirmed by the platform.
    """

    name: str
    version: int
    content: bytes
    age_s: float


@attrs.frozen
class TargetGrant:
    """Makes the receiver the only VM that sends work to some targets.

    Attributes:
        epoch: Epoch of the granting zone holder.
        echo_s: Receiver's clock from which the duration counts.
        duration_s: Validity.
        targets: Names of all targets granted; others are to be released.
        sequence: Counter of the holder's grants in this epoch.
    """

    epoch: int
    echo_s: float
    duration_s: float
    targets: tuple[str, ...]
    sequence: int = 0


@attrs.frozen
class TargetRelease:
    """Gives targets back before their grants expire.

    Attributes:
        epoch: Epoch of the last grant seen.
        sequence: Sequence of the last grant seen.
        targets: Names of targets that the sender no longer uses.
    """

    epoch: int
    sequence: int
    targets: tuple[str, ...]


@attrs.frozen
class TargetClaim:
    """Tells a new zone holder which targets the sender still owns.

    The sender ignores grants of earlier epochs from now on.

    Attributes:
        epoch: Epoch of the new holder.
        targets: Names of targets whose grants are still valid.
    """

    epoch: int
    targets: tuple[str, ...]


@attrs.frozen
class ResourceRequest:
    """One resource that a borrower asks for.

    Attributes:
        resource: Identifier such as `account/acme` or `link/a/b`.
        units: Units wanted in addition to those already borrowed.
        tokens: Tokens wanted with the units.
        renew: Loans of this lender whose validity should be extended.
    """

    resource: str
    units: int
    tokens: float = 0.0
    renew: tuple[int, ...] = ()


@attrs.frozen
class LoanRequest:
    """Asks a peer to lend units.

    Attributes:
        ask_id: Identifier, unique within the sender's incarnation.
        incarnation: Sender's process.
        sent_s: Sender's clock; the loans expire relative to it.
        requests: Resources and units wanted.
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
        loan_id: Identifier, unique within the lender's incarnation; one that
            the ask named in `renew` is extended.
        units: Units lent; 0 when there is nothing to lend.
        tokens: Tokens that move with the units.
        duration_s: Validity from the ask's `sent_s` on the borrower's clock.
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
    """Answers a `LoanRequest`.

    Attributes:
        ask_id: Identifier of the ask.
        borrower_incarnation: Incarnation that asked; others drop the loan.
        lender_incarnation: Process that lends.
        sent_s: The ask's `sent_s`, returned.
        grants: Loans made.
    """

    ask_id: int
    borrower_incarnation: str
    lender_incarnation: str
    sent_s: float
    grants: tuple[QuotaGrant, ...]


@attrs.frozen
class ReturnedLoan:
    """A loan that is given back, wholly or in part.

    Attributes:
        resource: Identifier of the resource.
        loan_id: The loan.
        kept_units: Units that the borrower goes on using; 0 ends the loan.
        tokens: Tokens that move back with the units.
    """

    resource: str
    loan_id: int
    kept_units: int
    tokens: float


@attrs.frozen
class QuotaReturn:
    """Gives loans back before they expire.

    Attributes:
        lender_incarnation: Process that lent; others drop the message.
        loans: Loans that the borrower uses no longer, or less.
    """

    lender_incarnation: str
    loans: tuple[ReturnedLoan, ...]


@attrs.frozen
class SteeringHeartbeat:
    """Periodic sign of life of a steering VM.

    Attributes:
        incarnation: Identifier of the sender's process.
        ready: Whether the sender can serve callers.
        leaving: Whether the sender is stopping.
        holds_loans: Whether the sender holds loans of the receiver.
        joining: Whether the sender has just started and wants an answer.
        reaches_store: Whether the sender can follow the store for others.
    """

    incarnation: str
    ready: bool
    leaving: bool
    holds_loans: bool = False
    joining: bool = False
    reaches_store: bool = False


@attrs.frozen
class RelayedHeartbeat:
    """A heartbeat that is passed on; it says nothing of loans.

    Attributes:
        vm: Name of the VM that sent it.
        age_s: Time since it was heard.
        beat: The heartbeat.
    """

    vm: str
    age_s: float
    beat: SteeringHeartbeat


@attrs.frozen
class SteeringDigest:
    """What a VM heard of its zone, itself included."""

    heard: tuple[RelayedHeartbeat, ...]


type_by_kind = {
    1: Heartbeat,
    2: DocumentRequest,
    3: DocumentReply,
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
}
