"""Learns what the store holds, from it or from another VM."""

from collections.abc import Callable

import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.peers import messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import backoff
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import feeding
from mulberrydeck.steering import feeds
from mulberrydeck.steering import reporting
from mulberrydeck.steering import sources

# A call is priced, also one that only waited; the kernel's probes of the
# connection find a dead store sooner than the end of the wait does.
WATCH_WAIT_S = 20.0
# A VM before this one tries too, which tells it as soon as it succeeds.
PATIENT_RETRY_DELAY_S = 1.5


class Follower:
    """Keeps the state up to date with one kind of object.

    Attributes:
        followed: The kind and its events.
        following: What all kinds share.
    """

    def __init__(
        self, followed: sources.Followed, following: "Following"
    ) -> None:
        self.followed = followed
        self.following = following
        self.failures = 0
        self.lost_s: float | None = None

    def run(self) -> None:
        """Lists, then watches, for ever."""
        while True:
            revision = self._list()
            while revision is not None:
                revision = self._watch(revision)

    def _list(self) -> int | None:
        origin = self.following.origin()
        listed = self.following.client.list(self.followed.kind)
        match listed:
            case result.Success(listing):
                self._answered()
                self.following.listed(self.followed, listing, origin)
                self.following.feeder.listed(self.followed.kind, listing)
                return listing.revision
        self._failed(listed.failure())
        return None

    def _watch(self, revision: int) -> int | None:
        kind = self.followed.kind
        origin = self.following.origin()
        # A watch that waits would not show that the store is back.
        wait_s = WATCH_WAIT_S if self.lost_s is None else 0.0
        watched = self.following.client.watch(
            kind, revision, wait_s, self.followed.stale
        )
        match watched:
            case result.Success(changes):
                self._answered()
                self.following.changed(self.followed, changes, origin)
                self.following.feeder.changed(kind, changes)
                if changes.changes:
                    gevent.sleep(self.followed.rest_s)
                return max(revision, changes.revision)
        error = watched.failure()
        if isinstance(error, stores.HistoryLostError):
            self.following.reports.write("store", "Listing anew.", kind=kind)
            return None
        self._failed(error)
        return revision

    def _answered(self) -> None:
        if self.lost_s is not None:
            now_s = self.following.loop.now_s()
            kind, lost_s = self.followed.kind, now_s - self.lost_s
            self.following.loop.submit(
                events.StoreRegained(now_s, kind, lost_s)
            )
            self.following.feeder.regained()
        self.failures = 0
        self.lost_s = None

    def _failed(self, error: errors.MulberrydeckError) -> None:
        self.failures += 1
        if self.lost_s is None:
            self.lost_s = self.following.loop.now_s()
            self.following.loop.submit(
                events.StoreLost(self.lost_s, self.followed.kind, str(error))
            )
            self.following.feeder.lost()
        if self.following.plan.patient:
            gevent.sleep(PATIENT_RETRY_DELAY_S)
        else:
            gevent.sleep(backoff.retry_delay_s(self.failures))


class Following:
    """Learns what the store holds, from it or from another VM.

    Attributes:
        client: Calls the store.
        loop: Takes the events.
        reports: Log lines of objects that are ignored.
        feeder: Tells other VMs what this one read.
        subscription: Asks the VM that this one follows.
        spawn: Runs a part in the background.
        plan: How the store is followed now.
        followed: The kinds, by name.
        positions: Revision that is known of each kind.
    """

    def __init__(
        self,
        client: stores.StoreClient,
        loop: event_loop.EventLoop,
        reports: reporting.Reports,
        send: feeds.Send,
        spawn: Callable[[Callable[[], None]], gevent.Greenlet],
    ) -> None:
        self.client = client
        self.loop = loop
        self.reports = reports
        self.spawn = spawn
        self.plan = feeding.Plan()
        self.followed: dict[str, sources.Followed] = {}
        self.positions: dict[str, int] = {}
        self.feeder = feeds.Feeder(send, loop.now_s, reports)
        self.subscription = feeds.Subscription(
            loop, send, self._fed, self.positions
        )
        self._direct: list[gevent.Greenlet] = []
        self._asking: gevent.Greenlet | None = None

    def add(self, followed: sources.Followed) -> None:
        """Follows one more kind."""
        self.followed[followed.kind] = followed
        self.positions.setdefault(followed.kind, feeds.ALL_OBJECTS)
        if self.plan.direct:
            self._follow(followed)

    def apply(self, effect: effects.FollowStore) -> None:
        """Follows the store in another way."""
        before, self.plan = self.plan, effect.plan
        if before.direct and not self.plan.direct:
            for greenlet in self._direct:
                greenlet.kill(block=False)
            self._direct = []
            self.feeder.stop()
        elif self.plan.direct and not before.direct:
            for followed in self.followed.values():
                self._follow(followed)
        if before.source != self.plan.source:
            self._ask(self.plan.source)

    def _ask(self, source: str) -> None:
        if self._asking is not None:
            self._asking.kill(block=False)
            self._asking = None
        if source:
            self._asking = self.spawn(lambda: self.subscription.run(source))

    def _follow(self, followed: sources.Followed) -> None:
        self._direct.append(self.spawn(Follower(followed, self).run))

    def origin(self) -> feeds.Origin:
        """Returns the origin of what the store is asked for now."""
        return feeds.Origin(feeds.STORE, self.loop.now_s())

    def listed(
        self,
        followed: sources.Followed,
        listing: stores.Listing,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of a complete list, unless it is older."""
        if listing.revision < self.positions[followed.kind]:
            return
        now_s = self.loop.now_s()
        for event in followed.listed(now_s, listing):
            self.loop.submit(event)
        self._report_read(
            followed.kind, listing.revision, len(listing.objects), True, origin
        )
        self.positions[followed.kind] = listing.revision
        self._report_unreadable(followed.kind, listing.unreadable)

    def changed(
        self,
        followed: sources.Followed,
        changes: stores.Changes,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of changes, unless all of them are known."""
        known = self.positions[followed.kind]
        if changes.revision <= known:
            return
        now_s = self.loop.now_s()
        for change in changes.changes:
            for event in followed.changed(now_s, change):
                self.loop.submit(event)
        if changes.changes:
            count = len(changes.changes)
            self._report_read(
                followed.kind, changes.revision, count, False, origin
            )
        self.positions[followed.kind] = changes.revision
        self._report_unreadable(followed.kind, changes.unreadable)

    def _report_read(
        self,
        kind: str,
        revision: int,
        count: int,
        whole: bool,
        origin: feeds.Origin,
    ) -> None:
        """Reports news of a kind, from where it came and how long that took.

        The known revision shows whether what was read is older.
        """
        self.reports.write(
            "store",
            "All objects were read." if whole else "Changes were read.",
            kind=kind,
            origin=origin.name,
            asked_age_s=round(self.loop.now_s() - origin.asked_s, 3),
            objects=count,
            revision=revision,
            known_revision=self.positions[kind],
        )

    def _fed(self, part: messages.FeedPart, origin: feeds.Origin) -> None:
        """Applies what another VM read, unless something is missing before."""
        followed = self.followed.get(part.kind)
        known = self.positions.get(part.kind, feeds.ALL_OBJECTS)
        if followed is None or part.revision <= known or part.since > known:
            return
        stored = [documents.stored_object(one.content) for one in part.objects]
        if part.since == feeds.ALL_OBJECTS:
            listing = stores.Listing(tuple(stored), (), part.revision)
            self.listed(followed, listing, origin)
            return
        pairs = zip(stored, part.objects, strict=True)
        changes = tuple(stores.Change(one, fed.deleted) for one, fed in pairs)
        news = stores.Changes(changes, (), part.revision)
        self.changed(followed, news, origin)

    def _report_unreadable(self, kind: str, reasons: tuple[str, ...]) -> None:
        for reason in reasons:
            self.reports.write(
                "store", "An object was ignored.", kind=kind, reason=reason
            )
