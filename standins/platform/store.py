"""Versioned objects with conditional writes, history and watches."""

import collections
import time

import attrs
import gevent.event

CHANGES_KEPT = 20_000
ENTRIES_KEPT = 8


@attrs.frozen
class Entry:
    """One version of an object.

    Attributes:
        version: Revision of the store after the write.
        value: Content; None if the write deleted the object.
    """

    version: int
    value: bytes | None


@attrs.frozen
class Change:
    """One write, as watchers see it.

    Attributes:
        revision: Revision of the store after the write.
        key: Key of the object.
        version: New version; 0 if the object was deleted.
    """

    revision: int
    key: str
    version: int


@attrs.frozen
class Conflict:
    """A conditional write whose condition did not hold.

    Attributes:
        version: Current version of the object; 0 if it doesn't exist.
    """

    version: int


class Store:
    """All objects with their latest versions and changes.

    Attributes:
        revision: Number of writes so far.
        changed: Event for watchers; set and replaced by `wake`.
        written_s: Monotonic time of the last write of each object, in seconds,
            by key.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.written_s: dict[str, float] = {}
        self.entries: dict[str, list[Entry]] = {}
        self.changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self.changed = gevent.event.Event()

    def get(self, key: str, revision: int | None = None) -> Entry | None:
        """Returns an object, as of a past revision if one is given."""
        for entry in reversed(self.entries.get(key, ())):
            if revision is None or entry.version <= revision:
                return entry if entry.value is not None else None
        return None

    def keys(
        self, prefix: str, revision: int | None = None
    ) -> list[tuple[str, int]]:
        """Returns keys and versions under a prefix, sorted by key."""
        versions = []
        for key in sorted(self.entries):
            if key.startswith(prefix):
                entry = self.get(key, revision)
                if entry is not None:
                    versions.append((key, entry.version))
        return versions

    def write(
        self, key: str, value: bytes | None, expected_version: int
    ) -> int | Conflict:
        """Writes or, with value None, deletes an object.

        Args:
            key: Key of the object.
            value: New content; None deletes.
            expected_version: Version that the object must have; 0 means that
                it must not exist.

        Returns:
            The store's new revision, or the conflict.
        """
        current = self.get(key)
        version = current.version if current else 0
        if version != expected_version:
            return Conflict(version)
        self.revision += 1
        self.written_s[key] = time.monotonic()
        entries = self.entries.setdefault(key, [])
        entries.append(Entry(self.revision, value))
        del entries[:-ENTRIES_KEPT]
        new_version = self.revision if value is not None else 0
        self.changes.append(Change(self.revision, key, new_version))
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Wakes all watchers, as after a change."""
        previous = self.changed
        self.changed = gevent.event.Event()
        previous.set()

    def has_all_changes_after(self, since: int) -> bool:
        """Returns whether all changes after a revision are still stored."""
        return since >= self.revision - len(self.changes)

    def changes_after(
        self, prefix: str, since: int, until: int
    ) -> list[tuple[str, int]]:
        """Returns the latest change of each key in a range of revisions.

        Args:
            prefix: Prefix of the keys to report.
            since: Revision after which the range begins.
            until: Last revision of the range.
        """
        latest: dict[str, int] = {}
        for change in reversed(self.changes):
            if change.revision <= since:
                break
            if change.revision <= until and change.key.startswith(prefix):
                latest.setdefault(change.key, change.version)
        return sorted(latest.items())
