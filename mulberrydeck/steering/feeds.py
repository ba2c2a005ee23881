"""Passes what the store holds on from the VM that follows it to others."""

import collections
from collections.abc import Callable
import math

import attrs
import gevent
import gevent.event

from mulberrydeck import errors
from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import events
from mulberrydeck.steering import reporting
from mulberrydeck.steering import targets

# An ask that no check of the store has answered is answered after this time;
# 1.5 intervals of checks.
HOLD_S = 0.6
# Beyond the hold; ten round trips between distant regions.
ANSWER_MARGIN_S = 0.4
# Changes kept for VMs that know an older revision; a release of 650 targets
# makes about as many.
MAX_LOGGED_CHANGES = 1300
FEED = "feed"  # Stands for all kinds in events of the store's loss.
ALL_OBJECTS = -1  # In place of a revision: all objects are named.
STORE = "store"  # Origin of what was not learned from a VM.

Send = Callable[[str, object], None]


@attrs.frozen
class Origin:
    """Where something was asked for, and when.

    Attributes:
        name: `store`, or the VM that was asked.
        asked_s: When it was asked, in seconds.
    """

    name: str
    asked_s: float


@attrs.define
class Mirror:
    """Objects of one kind, with their latest changes.

    Attributes:
        revision: Revision of the store that the objects show.
        floor: Changes after this revision are known.
        objects: Objects by name.
        log: Changes, each with the revision that it led to.
    """

    revision: int = ALL_OBJECTS
    floor: int = ALL_OBJECTS
    objects: dict[str, documents.StoredObject] = attrs.field(factory=dict)
    log: collections.deque[tuple[int, stores.Change]] = attrs.field(
        factory=collections.deque
    )

    def replace(self, listing: stores.Listing) -> None:
        """Takes a complete list over, unless it is older."""
        if listing.revision < self.revision:
            return
        known = self.objects
        listed = {stored.metadata.name: stored for stored in listing.objects}
        if self.revision == ALL_OBJECTS:
            self.floor = listing.revision
        else:
            for name, stored in known.items():
                if name not in listed:
                    self._append(listing.revision, stores.Change(stored, True))
            for name, stored in listed.items():
                if _revision(known.get(name)) != _revision(stored):
                    change = stores.Change(stored, False)
                    self._append(listing.revision, change)
        self.objects = listed
        self.revision = listing.revision

    def apply(self, changes: stores.Changes) -> None:
        """Takes changes over."""
        for change in changes.changes:
            name = change.stored.metadata.name
            if change.deleted:
                self.objects.pop(name, None)
            else:
                self.objects[name] = change.stored
            self._append(changes.revision, change)
        self.revision = max(self.revision, changes.revision)

    def _append(self, revision: int, change: stores.Change) -> None:
        self.log.append((revision, change))
        if len(self.log) > MAX_LOGGED_CHANGES:
            self.floor, _ = self.log.popleft()

    def part(self, kind: str, known: int) -> feed_messages.FeedPart | None:
        """Returns what is newer than a revision; None if nothing is."""
        if self.revision <= known or self.revision == ALL_OBJECTS:
            return None
        if known < self.floor:
            return self._all(kind, known)
        newer = [change for revision, change in self.log if revision > known]
        return feed_messages.FeedPart(kind, known, self.revision, _fed(newer))

    def _all(self, kind: str, known: int) -> feed_messages.FeedPart:
        """Returns all objects, by name only where the receiver knows them.

        A VM that begins to lead does not know what was removed before; whole
        objects would occupy the links of a large group for seconds.
        """
        newer = []
        kept = []
        for name, stored in self.objects.items():
            if stored.metadata.revision > known:
                newer.append(stores.Change(stored, False))
            else:
                kept.append(name)
        return feed_messages.FeedPart(
            kind, ALL_OBJECTS, self.revision, _fed(newer), tuple(kept)
        )


def _fed(changes: list[stores.Change]) -> tuple[feed_messages.FedObject, ...]:
    return tuple(
        feed_messages.FedObject(
            documents.encode_stored_object(change.stored), change.deleted
        )
        for change in changes
    )


def _revision(stored: documents.StoredObject | None) -> int:
    return ALL_OBJECTS if stored is None else stored.metadata.revision


@attrs.define
class _Waiting:
    ask: feed_messages.FeedAsk
    since_s: float


class Feeder:
    """Answers VMs that learn from this one.

    Attributes:
        mirrors: What this VM knows of each kind, while it leads.
        leads: Whether others may learn from this VM.
        checked_s: When the last call that reached the store was sent, in
            seconds.
        waiting: Asks that wait for news, by VM.
        regained_s: When it could be followed again, in seconds.
    """

    def __init__(
        self,
        send: Send,
        now_s: Callable[[], float],
        reports: reporting.Reports,
    ) -> None:
        self.send = send
        self.now_s = now_s
        self.reports = reports
        self.mirrors: dict[str, Mirror] = {}
        self.leads = False
        self.checked_s = -math.inf
        self.waiting: dict[str, _Waiting] = {}
        self.regained_s = -math.inf

    def lead(self) -> None:
        """Keeps what this VM reads for others from now on."""
        self.leads = True

    def stop(self) -> None:
        """Tells the others that this VM does not lead any more."""
        self.leads = False
        self.mirrors.clear()
        for name in list(self.waiting):
            self._finish(name)

    def listed(self, kind: str, listing: stores.Listing) -> None:
        """Takes a list that this VM read."""
        if self.leads:
            self.mirrors.setdefault(kind, Mirror()).replace(listing)
            self._answer_all()

    def changed(self, kind: str, changes: stores.Changes) -> None:
        """Takes changes that this VM read."""
        if kind in self.mirrors:
            self.mirrors[kind].apply(changes)
            self._answer_all()

    def checked(self, sent_s: float) -> None:
        """Notes that a call that was sent then has reached the store.

        What changed before would have been told to the watches of this VM, so
        that each ask can be answered.
        """
        self.checked_s = sent_s
        for name, waiting in list(self.waiting.items()):
            if self._knows_all_of(waiting.ask):
                self._finish(name)

    def regained(self) -> None:
        """Notes that the store can be followed again."""
        self.regained_s = self.now_s()

    def ask(self, sender: str, ask: feed_messages.FeedAsk) -> None:
        """Answers an ask at once, or when there is news."""
        self.waiting[sender] = _Waiting(ask, self.now_s())
        self._answer(sender)

    def decline(self, sender: str) -> None:
        """Answers an ask without news, if it still waits."""
        if sender in self.waiting:
            self._finish(sender)

    def expire(self) -> None:
        """Answers asks that have waited for long."""
        now_s = self.now_s()
        for name, waiting in list(self.waiting.items()):
            if now_s >= waiting.since_s + HOLD_S:
                self._finish(name)

    def _answer_all(self) -> None:
        for name in list(self.waiting):
            self._answer(name)

    def _answer(self, name: str) -> None:
        """Sends what is newer, or keeps the ask waiting.

        Until all kinds were read, an answer would say that this VM does not
        lead, and send the asker to another one.
        """
        if not self._knows_all_of(self.waiting[name].ask):
            return
        parts = []
        for known in self.waiting[name].ask.known:
            mirror = self.mirrors[known.kind]
            part = mirror.part(known.kind, known.revision)
            if part is not None and (part.objects or part.since < 0):
                parts.append(part)
        if parts:
            self._finish(name, tuple(parts))

    def _knows_all_of(self, ask: feed_messages.FeedAsk) -> bool:
        return self.leads and all(
            known.kind in self.mirrors for known in ask.known
        )

    def _finish(
        self, name: str, parts: tuple[feed_messages.FeedPart, ...] = ()
    ) -> None:
        waiting = self.waiting.pop(name)
        now_s = self.now_s()
        knows_all = self._knows_all_of(waiting.ask)
        answer = feed_messages.FeedAnswer(
            echo_s=waiting.ask.sent_s,
            waited_s=now_s - waiting.since_s,
            checked_age_s=now_s - self.checked_s if knows_all else None,
            regained_age_s=now_s - self.regained_s,
            parts=parts,
        )
        try:
            self.send(name, answer)
        except errors.MessageError as error:
            # The follower hears nothing and reads the store itself.
            reason = str(error)
            self.reports.write("store", "Too much to tell.", reason=reason)


class Subscription:
    """Learns from the VM that leads the group.

    Attributes:
        positions: Revision that is known of each kind, shared with the
            followers of the store.
        answers: Answers that arrived and are not applied yet.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        send: Send,
        apply: Callable[[feed_messages.FeedPart, Origin], None],
        positions: dict[str, int],
    ) -> None:
        self.loop = loop
        self.send = send
        self.apply = apply
        self.positions = positions
        self.source = ""
        self.regained_s = -math.inf
        self.answers: collections.deque[feed_messages.FeedAnswer] = (
            collections.deque()
        )
        self.arrived = gevent.event.Event()

    def receive(self, sender: str, answer: feed_messages.FeedAnswer) -> None:
        """Takes an answer of the VM that leads."""
        if sender == self.source:
            self.answers.append(answer)
            self.arrived.set()

    def run(self, source: str) -> None:
        """Asks a VM again and again, until it fails."""
        self.source = source
        self.answers.clear()
        while True:
            self.arrived.clear()
            known = tuple(
                feed_messages.KnownRevision(kind, revision)
                for kind, revision in self.positions.items()
            )
            self.send(source, feed_messages.FeedAsk(known, self.loop.now_s()))
            if not self.arrived.wait(HOLD_S + ANSWER_MARGIN_S):
                self._failed(declined=False)
                return
            while self.answers:
                if not self._take(self.answers.popleft()):
                    self._failed(declined=True)
                    return

    def _take(self, answer: feed_messages.FeedAnswer) -> bool:
        """Applies an answer; returns whether its sender leads."""
        self._note_regained(answer)
        origin = Origin(self.source, answer.echo_s)
        for part in answer.parts:
            self.apply(part, origin)
        if answer.checked_age_s is None:
            return False
        # The ask may have arrived at once, and the answer have travelled long.
        answered_s = answer.echo_s + answer.waited_s
        checked_s = answered_s - answer.checked_age_s
        self.loop.submit(
            events.SourceChecked(self.loop.now_s(), self.source, checked_s)
        )
        return True

    def _note_regained(self, answer: feed_messages.FeedAnswer) -> None:
        """Notes a return of the store before what was read after it.

        Entries that are missing then may still come back.
        """
        now_s = self.loop.now_s()
        regained_s = now_s - answer.regained_age_s
        is_news = regained_s > self.regained_s + targets.EXPIRED_ENTRY_GRACE_S
        if is_news and answer.regained_age_s < targets.EXPIRED_ENTRY_GRACE_S:
            self.regained_s = regained_s
            self.loop.submit(events.StoreRegained(regained_s, FEED, 0.0))

    def _failed(self, declined: bool) -> None:
        now_s = self.loop.now_s()
        self.loop.submit(events.SourceFailed(now_s, self.source, declined))
