"""What the platform's object API returns."""

import attrs


@attrs.frozen
class StoredObject:
    """An object with its content.

    Attributes:
        key: Its key.
        version: Revision of the store at its last write.
        content: Raw content.
    """

    key: str
    version: int
    content: bytes


@attrs.frozen
class ObjectVersion:
    """A key and its version; version 0 means that it was deleted.

    Attributes:
        key: The key.
        version: Revision of the store at its last write, or 0.
    """

    key: str
    version: int


@attrs.frozen
class ObjectChanges:
    """Answer of a watch.

    Attributes:
        revision: Revision from which to watch on.
        changes: Keys that changed since.
    """

    revision: int
    changes: tuple[ObjectVersion, ...]


@attrs.frozen
class VmEntry:
    """A VM in the platform's list, which may lag.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        peer_address: Where it receives peer messages, `host:port`.
        leaving: Whether the platform is taking it away.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False
