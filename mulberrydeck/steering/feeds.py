"""Passes what the store holds on from the VM that follows it to others."""

import collections
from collections.abc import Callable
import math

import attrs
import gevent
import gevent.event

from mulberrydeck import errors
from mulberrydeck.peers import messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import events
from mulberrydeck.steering import reporting
from mulberrydeck.steering import targets

# An ask without news is answered after this time, as a sign of life.
HOLD_S = 1.0
# Beyond the hold; twenty round trips between distant regions.
ANSWER_MARGIN_S = 0.5
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

    def part(self, kind: str, known: int) -> messages.FeedPart | None:
        """Returns what is newer than a revision; None if nothing is."""
        if self.revision <= known or self.revision == ALL_OBJECTS:
            return None
        if known < self.floor:
            everything = [
                stores.Change(stored, False) for stored in self.objects.values()
            ]
            return self._part(kind, ALL_OBJECTS, everything)
        newer = [change for revision, change in self.log if revision > known]
        return self._part(kind, known, newer)

    def _part(
        self, kind: str, since: int, changes: list[stores.Change]
    ) -> messages.FeedPart:
        objects = tuple(
            messages.FedObject(
                documents.encode_stored_object(change.stored), change.deleted
            )
            for change in changes
        )
        return messages.FeedPart(kind, since, self.revision, objects)


def _revision(stored: documents.StoredObject | None) -> int:
    return ALL_OBJECTS if stored is None else stored.metadata.revision


@attrs.define
class _Waiting:
    ask: messages.FeedAsk
    until_s: float


class Feeder:
    """Answers VMs that follow this one.

    Attributes:
        mirrors: What this VM knows of each kind, while it follows the store.
        waiting: Asks that wait for news, by VM.
        is_lost: Whether the store cannot be followed.
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
        self.waiting: dict[str, _Waiting] = {}
        self.is_lost = False
        self.regained_s = -math.inf

    def listed(self, kind: str, listing: stores.Listing) -> None:
        """Takes a list that this VM read."""
        self.mirrors.setdefault(kind, Mirror()).replace(listing)
        self._answer_all()

    def changed(self, kind: str, changes: stores.Changes) -> None:
        """Takes changes that this VM read."""
        self.mirrors[kind].apply(changes)
        if changes.changes:
            self._answer_all()

    def lost(self) -> None:
        """Tells the followers that the store cannot be followed."""
        if not self.is_lost:
            self.is_lost = True
            for name in list(self.waiting):
                self._finish(name)

    def regained(self) -> None:
        """Notes that the store can be followed again."""
        if self.is_lost:
            self.is_lost = False
            self.regained_s = self.now_s()

    def stop(self) -> None:
        """Forgets what was followed; another VM is the source from now on."""
        self.mirrors.clear()

    def ask(self, sender: str, ask: messages.FeedAsk) -> None:
        """Answers an ask at once, or when there is news."""
        self.waiting[sender] = _Waiting(ask, self.now_s() + HOLD_S)
        self._answer(sender)

    def expire(self) -> None:
        """Answers asks that have waited for long, as a sign of life."""
        now_s = self.now_s()
        for name, waiting in list(self.waiting.items()):
            if now_s >= waiting.until_s:
                self._finish(name)

    def _answer_all(self) -> None:
        for name in list(self.waiting):
            self._answer(name)

    def _answer(self, name: str) -> None:
        """Sends what is newer; keeps the ask waiting if nothing is."""
        parts = []
        for known in self.waiting[name].ask.known:
            mirror = self.mirrors.get(known.kind)
            part = mirror.part(known.kind, known.revision) if mirror else None
            if part is not None and (part.objects or part.since < 0):
                parts.append(part)
        if parts:
            self._finish(name, tuple(parts))

    def _finish(
        self, name: str, parts: tuple[messages.FeedPart, ...] = ()
    ) -> None:
        del self.waiting[name]
        answer = messages.FeedAnswer(
            reaches_store=bool(self.mirrors) and not self.is_lost,
            regained_age_s=self.now_s() - self.regained_s,
            parts=parts,
        )
        try:
            self.send(name, answer)
        except errors.MessageError as error:
            # The follower hears nothing and reads the store itself.
            reason = str(error)
            self.reports.write("store", "Too much to tell.", reason=reason)


class Subscription:
    """Follows a VM that follows the store.

    Attributes:
        positions: Revision that is known of each kind, shared with the
            followers of the store.
        answers: Answers that arrived and are not applied yet.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        send: Send,
        apply: Callable[[messages.FeedPart, Origin], None],
        positions: dict[str, int],
    ) -> None:
        self.loop = loop
        self.send = send
        self.apply = apply
        self.positions = positions
        self.source = ""
        self.regained_s = -math.inf
        self.answers: collections.deque[messages.FeedAnswer] = (
            collections.deque()
        )
        self.arrived = gevent.event.Event()

    def receive(self, sender: str, answer: messages.FeedAnswer) -> None:
        """Takes an answer of the VM that is followed."""
        if sender == self.source:
            self.answers.append(answer)
            self.arrived.set()

    def run(self, source: str) -> None:
        """Asks a VM again and again, until it fails."""
        self.source = source
        self.answers.clear()
        while True:
            self.arrived.clear()
            origin = Origin(source, self.loop.now_s())
            known = tuple(
                messages.KnownRevision(kind, revision)
                for kind, revision in self.positions.items()
            )
            self.send(source, messages.FeedAsk(known))
            if not self.arrived.wait(HOLD_S + ANSWER_MARGIN_S):
                self._failed("it does not answer")
                return
            while self.answers:
                answer = self.answers.popleft()
                self._note_regained(answer)
                for part in answer.parts:
                    self.apply(part, origin)
                if not answer.reaches_store:
                    self._failed("it does not reach the store")
                    return

    def _note_regained(self, answer: messages.FeedAnswer) -> None:
        """Notes a return of the store before what was read after it.

        Entries that are missing then may still come back.
        """
        now_s = self.loop.now_s()
        regained_s = now_s - answer.regained_age_s
        is_news = regained_s > self.regained_s + targets.LAPSED_GRACE_S
        if is_news and answer.regained_age_s < targets.LAPSED_GRACE_S:
            self.regained_s = regained_s
            self.loop.submit(events.StoreRegained(regained_s, FEED, 0.0))

    def _failed(self, reason: str) -> None:
        now_s = self.loop.now_s()
        self.loop.submit(events.SourceFailed(now_s, self.source, reason))
