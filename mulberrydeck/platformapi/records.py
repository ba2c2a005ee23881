"""Types that the platform's object API returns."""

import attrs


@attrs.frozen
class StoredObject:
    """An object with its content.

    Attributes:
        key: Key of the object.
        version: Revision of the store at the last write of the object.
        content: Raw content.
    """

    key: str
    version: int
    content: bytes


@attrs.frozen
class ObjectVersion:
    """Key and version of an object.

    Attributes:
        key: Key of the object.
        version: Revision of the store at the last write of the object; 0 if
            the object was deleted.
    """

    key: str
    version: int


@attrs.frozen
class ObjectChanges:
    """Response to a watch.

    Attributes:
        revision: Revision from which to continue the watch.
        changes: Objects that have changed.
    """

    revision: int
    changes: tuple[ObjectVersion, ...]


@attrs.frozen
class VmEntry:
    """A VM in the platform's list, which may be out of date.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        peer_address: Address for peer messages, `host:port`.
        leaving: Whether the platform is about to remove the VM.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False
