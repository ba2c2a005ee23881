"""Versioned objects with conditional writes, history and watches."""

import collections

import attrs
import gevent.event

CHANGES_KEPT = 20_000
PAST_VALUES_KEPT = 8


@attrs.frozen
class Entry:
    """One state of an object.

    Attributes:
        version: Store revision at the write.
        value: Content; None once the object was deleted.
    """

    version: int
    value: bytes | None


@attrs.frozen
class Change:
    """One write, as watchers see it.

    Attributes:
        revision: Store revision at the write.
        key: Key of the object.
        version: New version; 0 when the object was deleted.
    """

    revision: int
    key: str
    version: int


@attrs.frozen
class Conflict:
    """A conditional write whose condition did not hold.

    Attributes:
        version: Current version of the object; 0 when there is none.
    """

    version: int


class Store:
    """All objects, the latest changes, and an event for watchers.

    Attributes:
        revision: Number of writes so far.
        changed: Set and replaced at every write.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, list[Entry]] = {}
        self.changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self.changed = gevent.event.Event()

    def get(self, key: str, revision: int | None = None) -> Entry | None:
        """Returns an object, as of an old revision if one is given."""
        for entry in reversed(self.entries.get(key, ())):
            if revision is None or entry.version <= revision:
                return entry if entry.value is not None else None
        return None

    def keys(
        self, prefix: str, revision: int | None = None
    ) -> list[tuple[str, int]]:
        """Returns keys and versions under a prefix, sorted by key."""
        found = []
        for key in sorted(self.entries):
            if key.startswith(prefix):
                entry = self.get(key, revision)
                if entry is not None:
                    found.append((key, entry.version))
        return found

    def write(
        self, key: str, value: bytes | None, expected_version: int
    ) -> int | Conflict:
        """Writes or, with value None, deletes an object.

        Args:
            key: Key of the object.
            value: New content; None deletes.
            expected_version: Version that the object must have; 0 = absent.

        Returns:
            The store's new revision, or the conflict.
        """
        current = self.get(key)
        version = current.version if current else 0
        if version != expected_version:
            return Conflict(version)
        self.revision += 1
        past = self.entries.setdefault(key, [])
        past.append(Entry(self.revision, value))
        del past[:-PAST_VALUES_KEPT]
        seen = self.revision if value is not None else 0
        self.changes.append(Change(self.revision, key, seen))
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Wakes all watchers, as after a change."""
        woken = self.changed
        self.changed = gevent.event.Event()
        woken.set()

    def is_kept(self, since: int) -> bool:
        """Returns whether all changes after a revision are still known."""
        return since >= self.revision - len(self.changes)

    def changes_after(
        self, prefix: str, since: int, until: int
    ) -> list[tuple[str, int]]:
        """Returns the latest change of each key in a range of revisions.

        Args:
            prefix: Keys to report.
            since: Changes after this revision.
            until: Changes up to this revision.
        """
        latest: dict[str, int] = {}
        for change in reversed(self.changes):
            if change.revision <= since:
                break
            if change.revision <= until and change.key.startswith(prefix):
                latest.setdefault(change.key, change.version)
        return sorted(latest.items())
