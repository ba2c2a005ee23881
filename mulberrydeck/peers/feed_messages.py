"""Messages with which VMs learn from each other what the store holds.

All durations and times are in seconds. `sent_s` and `echo_s` are read on the
monotonic clock of the asker; the other side only returns them.
"""

import attrs


@attrs.frozen
class KnownRevision:
    """How far the sender knows a kind of object.

    Attributes:
        kind: Kind of the objects.
        revision: Revision of the store; -1 before anything was read.
    """

    kind: str
    revision: int


@attrs.frozen
class FeedRequest:
    """Asks the VM that leads a group for what is newer in the store.

    It is answered when there is something, or after the next check of the
    store.

    Attributes:
        known: What the sender knows.
        sent_s: Time at which it was sent.
    """

    known: tuple[KnownRevision, ...]
    sent_s: float


@attrs.frozen
class EncodedObject:
    """An object as the store encoded it.

    Attributes:
        content: The object.
        deleted: Whether it was removed.
    """

    content: bytes
    deleted: bool


@attrs.frozen
class FeedPart:
    """Changes of one kind of object, or all its objects.

    Attributes:
        kind: Kind of the objects.
        since: Revision after which the changes count; -1 if all objects are
            named.
        revision: Revision that the receiver then knows.
        objects: The changes in order, or all objects that are not kept.
        kept: If all objects are named, those that the receiver knows as they
            are.
    """

    kind: str
    since: int
    revision: int
    objects: tuple[EncodedObject, ...]
    kept: tuple[str, ...] = ()


@attrs.frozen
class FeedResponse:
    """Answers a `FeedRequest`.

    Attributes:
        echo_s: Time at which the ask was sent.
        waited_s: How long the ask waited for this answer.
        checked_age_s: Time since the sender last reached the store, up to
            which the asker then knows all; none if the sender does not lead.
        regained_age_s: Time since the store came back after an outage.
        parts: What is newer.
    """

    echo_s: float
    waited_s: float
    checked_age_s: float | None
    regained_age_s: float
    parts: tuple[FeedPart, ...] = ()
