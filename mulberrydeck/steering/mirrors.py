"""Copies of the store's objects on VMs that pass them on to others."""

import collections

import attrs

from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores

# Changes kept for VMs that know an older revision; a release of 650 targets
# causes about this many.
MAX_LOGGED_CHANGES = 1300
# In place of a revision. As a known revision: no objects are known yet. As the
# start of a part: the part lists all objects.
ALL_OBJECTS = -1


@attrs.define
class Mirror:
    """Copy of the objects of one kind, with their latest changes.

    Attributes:
        revision: Revision of the store that the objects correspond to.
        compacted_revision: Changes after this revision are in the log; earlier
            ones are not.
        objects: Objects by name.
        change_log: Changes, each with the revision that it led to.
    """

    revision: int = ALL_OBJECTS
    compacted_revision: int = ALL_OBJECTS
    objects: dict[str, documents.StoredObject] = attrs.field(factory=dict)
    change_log: collections.deque[tuple[int, stores.Change]] = attrs.field(
        factory=collections.deque
    )

    def replace(self, listing: stores.Listing) -> None:
        """Replaces all objects by a complete list, unless it is older."""
        if listing.revision < self.revision:
            return
        previous = self.objects
        listed = {stored.metadata.name: stored for stored in listing.objects}
        if self.revision == ALL_OBJECTS:
            self.compacted_revision = listing.revision
        else:
            for name, stored in previous.items():
                if name not in listed:
                    self._append(listing.revision, stores.Change(stored, True))
            for name, stored in listed.items():
                if _revision(previous.get(name)) != _revision(stored):
                    change = stores.Change(stored, False)
                    self._append(listing.revision, change)
        self.objects = listed
        self.revision = listing.revision

    def apply(self, changes: stores.Changes) -> None:
        """Applies changes and logs them, except those that are known.

        Some are while this VM reads the store itself beside another source.
        """
        if changes.revision <= self.revision:
            return
        for change in changes.changes:
            if self._is_known(change):
                continue
            name = change.stored.metadata.name
            if change.deleted:
                self.objects.pop(name, None)
            else:
                self.objects[name] = change.stored
            self._append(changes.revision, change)
        self.revision = changes.revision

    def _is_known(self, change: stores.Change) -> bool:
        revision = change.stored.metadata.revision
        if not change.deleted:
            return revision <= self.revision
        # A deletion carries the revision of the last change before it.
        current = self.objects.get(change.stored.metadata.name)
        return current is None or current.metadata.revision > revision

    def apply_part(
        self,
        part: feed_messages.FeedPart,
        changes: tuple[stores.Change, ...],
    ) -> bool:
        """Applies updates of another VM; returns whether they were complete.

        Args:
            part: The updates.
            changes: Its decoded objects.
        """
        if part.revision <= self.revision:
            return True
        if part.since != ALL_OBJECTS:
            if part.since > self.revision:
                return False
            self.apply(stores.Changes(changes, (), part.revision))
            return True
        if not self.objects.keys() >= set(part.kept):
            return False
        kept = [self.objects[name] for name in part.kept]
        listed = (*kept, *(change.stored for change in changes))
        self.replace(stores.Listing(listed, (), part.revision))
        return True

    def _append(self, revision: int, change: stores.Change) -> None:
        self.change_log.append((revision, change))
        if len(self.change_log) > MAX_LOGGED_CHANGES:
            self.compacted_revision, _ = self.change_log.popleft()

    def changes_since(
        self, kind: str, known_revision: int
    ) -> feed_messages.FeedPart | None:
        """Returns the changes after a revision; None if there are none."""
        if self.revision <= known_revision or self.revision == ALL_OBJECTS:
            return None
        if known_revision < self.compacted_revision:
            return self._full_part(kind, known_revision)
        newer = [
            change
            for revision, change in self.change_log
            if revision > known_revision
        ]
        return feed_messages.FeedPart(
            kind, known_revision, self.revision, _encode_changes(newer)
        )

    def _full_part(
        self, kind: str, known_revision: int
    ) -> feed_messages.FeedPart:
        """Returns all objects, by name only where the receiver knows them.

        A VM that begins to lead does not know which objects were removed
        before, so that it has to list them all. Sending all of them with their
        contents would occupy the links of a large group for seconds.
        """
        newer = []
        kept_names = []
        for name, stored in self.objects.items():
            if stored.metadata.revision > known_revision:
                newer.append(stores.Change(stored, False))
            else:
                kept_names.append(name)
        return feed_messages.FeedPart(
            kind,
            ALL_OBJECTS,
            self.revision,
            _encode_changes(newer),
            tuple(kept_names),
        )


def _encode_changes(
    changes: list[stores.Change],
) -> tuple[feed_messages.EncodedObject, ...]:
    return tuple(
        feed_messages.EncodedObject(
            documents.encode_stored_object(change.stored), change.deleted
        )
        for change in changes
    )


def _revision(stored: documents.StoredObject | None) -> int:
    return ALL_OBJECTS if stored is None else stored.metadata.revision
