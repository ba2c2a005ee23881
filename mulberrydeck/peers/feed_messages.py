"""Messages by which VMs get changes of the store from each other.

In each group of VMs, a leader watches the store; the others send it feed
requests, so that the number of watches on the store stays small.

All durations and times are in seconds. `sent_s` and `echo_s` are read from the
monotonic clock of the requesting VM; the other side only returns them.
"""

import attrs


@attrs.frozen
class KnownRevision:
    """Revision up to which the sender knows a kind of object.

    Attributes:
        kind: Kind of the objects.
        revision: Revision of the store; -1 if nothing has been read yet.
    """

    kind: str
    revision: int


@attrs.frozen
class FeedRequest:
    """Requests changes of the store from the leader of the group.

    This is a long poll: the response is sent when there are changes, or after
    the leader's next check of the store.

    Attributes:
        known: Revisions that the sender knows, by kind.
        sent_s: Time at which the request was sent.
    """

    known: tuple[KnownRevision, ...]
    sent_s: float


@attrs.frozen
class EncodedObject:
    """An object in the encoding of the store.

    Attributes:
        content: The encoded object.
        deleted: Whether the object was deleted.
    """

    content: bytes
    deleted: bool


@attrs.frozen
class FeedPart:
    """Changes of one kind of object, or a full list of its objects.

    Attributes:
        kind: Kind of the objects.
        since: Revision after which the changes were made; -1 for a full list.
        revision: Revision that the receiver has after applying the part.
        objects: The changes in order; in a full list, the objects that are
            not in `kept`.
        kept: In a full list, names of the objects that have not changed since
            the revision that the receiver knows.
    """

    kind: str
    since: int
    revision: int
    objects: tuple[EncodedObject, ...]
    kept: tuple[str, ...] = ()


@attrs.frozen
class FeedResponse:
    """Response to a `FeedRequest`.

    Attributes:
        echo_s: The request's `sent_s`, returned.
        waited_s: How long the sender held the request before it responded.
        checked_age_s: Time since the start of the sender's last successful
            check of the store; with `parts`, the receiver knows all changes up
            to that time. None if the sender is not a leader or has not read
            all requested kinds.
        regained_age_s: Time since the store last became reachable again after
            an outage; infinite if there was none.
        parts: Changes that the requesting VM does not know yet, by kind.
    """

    echo_s: float
    waited_s: float
    checked_age_s: float | None
    regained_age_s: float
    parts: tuple[FeedPart, ...] = ()
