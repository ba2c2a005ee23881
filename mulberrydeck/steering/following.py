"""Learns what the store holds, from it or from another VM."""

from collections.abc import Callable

import gevent
import gevent.event
from returns import result

from mulberrydeck import errors
from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import backoff
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import feeds
from mulberrydeck.steering import reporting
from mulberrydeck.steering import store_kinds
from mulberrydeck.steering import sync_plans

# A call is priced, also one that only waited; the kernel's probes of the
# connection find a dead store sooner than the end of the wait does.
WATCH_WAIT_S = 20.0
# A third of the age up to which a VM relies on another one.
CHECK_INTERVAL_S = 0.4
# Four times the answer of a store that is slowed sixty times.
CHECK_TIMEOUT_S = 1.0
CHECK = "check"  # Stands for all kinds in events of a store out of reach.
# After standing still for as long, a VM can't know whether its watches still
# wait at the store; nor can it after the store was out of reach.
STANDSTILL_S = 1.0
# Pause after changes of a VM that does not lead: all VMs of a group may watch
# at once. A quarter of the shortest bound for versions and leaving targets.
DIRECT_REST_S = 0.5


class Follower:
    """Keeps the state up to date with one kind of object.

    Attributes:
        followed: The kind and its events.
        following: What all kinds share.
    """

    def __init__(
        self, followed: store_kinds.WatchedKind, following: "Following"
    ) -> None:
        self.followed = followed
        self.following = following

    def run(self) -> None:
        """Lists unless all objects are known, then watches, for ever."""
        revision = self.following.watched_from(self.followed.kind)
        while True:
            while revision is not None:
                revision = self._watch(revision)
            revision = self._list()

    def _list(self) -> int | None:
        kind = self.followed.kind
        origin = self.following.origin()
        listed = self.following.client.list(kind)
        match listed:
            case result.Success(listing):
                self.following.reached(kind)
                self.following.listed(self.followed, listing, origin)
                self.following.feed_server.apply_list(kind, listing)
                return listing.revision
        self._failed(listed.failure())
        return None

    def _watch(self, revision: int) -> int | None:
        kind = self.followed.kind
        origin = self.following.origin()
        wait_s = self.following.wait_s(self.followed)
        watched = self.following.client.watch(
            kind, revision, wait_s, self.followed.allow_stale
        )
        match watched:
            case result.Success(changes):
                self.following.reached(kind)
                self.following.changed(self.followed, changes, origin)
                self.following.feed_server.apply_changes(kind, changes)
                if changes.changes:
                    gevent.sleep(self.following.rest_s(self.followed))
                return max(revision, changes.revision)
        error = watched.failure()
        if isinstance(error, stores.HistoryLostError):
            self.following.reports.write("store", "Listing anew.", kind=kind)
            return None
        self._failed(error)
        return revision

    def _failed(self, error: errors.MulberrydeckError) -> None:
        failures = self.following.missed(self.followed.kind, error)
        gevent.sleep(backoff.retry_delay_s(failures))
        # Of a store out of reach, only the cheap checks are made.
        self.following.reachable.wait()


class Checker:
    """Makes sure that silence of the store means that nothing changed.

    Without it, a VM that is cut off would take the silence of its watches for
    the lack of news until the kernel's probes fail.

    Attributes:
        following: What is checked for.
    """

    def __init__(self, following: "Following") -> None:
        self.following = following

    def run(self) -> None:
        """Checks the store, for ever."""
        following = self.following
        while True:
            sent_s = following.loop.now_s()
            checked = following.client.check(CHECK_TIMEOUT_S)
            match checked:
                case result.Success():
                    if CHECK in following.lost:
                        following.watch_anew()
                    following.reached(CHECK)
                    following.checked(sent_s)
                case _:
                    following.missed(CHECK, checked.failure())
            due_s = following.loop.now_s() + CHECK_INTERVAL_S
            gevent.sleep(CHECK_INTERVAL_S)
            if following.loop.now_s() > due_s + STANDSTILL_S:
                following.watch_anew()


class Following:
    """Learns what the store holds, from it or from another VM.

    Attributes:
        client: Calls the store.
        loop: Takes the events.
        reports: Log lines of objects that are ignored.
        feed_server: Tells other VMs what this one read.
        feed_client: Asks the VM that this one follows.
        spawn: Runs a part in the background.
        plan: How the store is followed now.
        followed: The kinds, by name.
        positions: Revision that is known of each kind.
        names: Names of the objects that are known of each kind.
        failures: Failed calls in a row, by kind.
        lost: Since when a kind can't be followed, in seconds.
        reachable: Cleared while checks of the store fail.
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
        self.plan = sync_plans.SyncPlan()
        self.followed: dict[str, store_kinds.WatchedKind] = {}
        self.positions: dict[str, int] = {}
        self.names: dict[str, set[str]] = {}
        self.failures: dict[str, int] = {}
        self.lost: dict[str, float] = {}
        self.reachable = gevent.event.Event()
        self.reachable.set()
        self.feed_server = feeds.FeedServer(send, loop.now_s, reports)
        self.feed_client = feeds.FeedClient(
            loop, send, self.fed, self.positions
        )
        self._direct: list[gevent.Greenlet] = []
        self._checking: gevent.Greenlet | None = None
        self._asking: gevent.Greenlet | None = None

    def add(self, followed: store_kinds.WatchedKind) -> None:
        """Follows one more kind."""
        self.followed[followed.kind] = followed
        self.positions.setdefault(followed.kind, feeds.ALL_OBJECTS)
        self.names.setdefault(followed.kind, set())
        if self.plan.direct:
            self._follow(followed)
            self._check(True)

    def apply(self, effect: effects.FollowStore) -> None:
        """Follows the store in another way."""
        before, self.plan = self.plan, effect.plan
        begins_to_lead = self.plan.leads and not before.leads
        if begins_to_lead:
            self.feed_server.start()
        elif before.leads and not self.plan.leads:
            self.feed_server.stop()
        if not self.plan.direct:
            self._stop_watching()
        elif begins_to_lead or not before.direct:
            self._watch_all()
        self._check(self.plan.direct)
        if before.source != self.plan.source:
            self._ask(self.plan.source)

    def asked(self, sender: str, ask: feed_messages.FeedAsk) -> None:
        """Answers another VM, or begins to lead so that it can be answered."""
        self.feed_server.handle_request(sender, ask)
        if self.lost:
            self.feed_server.decline(sender)
        else:
            self.loop.submit(events.NewsAsked(self.loop.now_s()))

    def watch_anew(self) -> None:
        """Replaces the watches, which may have been lost unnoticed."""
        self.reports.write("store", "Watching anew.")
        self._watch_all()

    def _watch_all(self) -> None:
        self._stop_watching()
        for followed in self.followed.values():
            self._follow(followed)

    def _stop_watching(self) -> None:
        for greenlet in self._direct:
            greenlet.kill(block=False)
        self._direct = []

    def _check(self, wanted: bool) -> None:
        if wanted and self._checking is None:
            self._checking = self.spawn(Checker(self).run)
        elif not wanted and self._checking is not None:
            self._checking.kill(block=False)
            self._checking = None
            self.reachable.set()

    def _ask(self, source: str) -> None:
        if self._asking is not None:
            self._asking.kill(block=False)
            self._asking = None
        if source:
            self._asking = self.spawn(lambda: self.feed_client.run(source))

    def _follow(self, followed: store_kinds.WatchedKind) -> None:
        self._direct.append(self.spawn(Follower(followed, self).run))

    def watched_from(self, kind: str) -> int | None:
        """Returns the revision from which to watch a kind; None to list it.

        A VM that leads needs all objects, not only what is new.
        """
        if self.plan.leads:
            mirror = self.feed_server.mirrors.get(kind)
            return None if mirror is None else mirror.revision
        revision = self.positions[kind]
        return None if revision == feeds.ALL_OBJECTS else revision

    def wait_s(self, followed: store_kinds.WatchedKind) -> float:
        """Returns how long to wait for changes of a kind, in seconds."""
        if followed.kind in self.lost:
            # A watch that waits would not show that the store is back.
            return 0.0
        if self.plan.leads:
            return min(WATCH_WAIT_S, followed.leader_wait_s)
        return WATCH_WAIT_S

    def rest_s(self, followed: store_kinds.WatchedKind) -> float:
        """Returns the pause after changes of a kind, in seconds."""
        if self.plan.shared and not self.plan.leads and followed.pause_s:
            return max(DIRECT_REST_S, followed.pause_s)
        return followed.pause_s

    def reached(self, kind: str) -> None:
        """Notes that a call for a kind was answered."""
        if kind == CHECK:
            self.reachable.set()
        self.failures[kind] = 0
        lost_s = self.lost.pop(kind, None)
        if lost_s is not None:
            now_s = self.loop.now_s()
            self.loop.submit(events.StoreRegained(now_s, kind, now_s - lost_s))
            self.feed_server.store_regained()

    def checked(self, sent_s: float) -> None:
        """Notes that a check that was sent then has reached the store."""
        self.loop.submit(events.StoreChecked(self.loop.now_s(), sent_s))
        self.feed_server.check_succeeded(sent_s)

    def missed(self, kind: str, error: errors.MulberrydeckError) -> int:
        """Notes that a call for a kind failed; returns how many did so."""
        if kind == CHECK:
            self.reachable.clear()
        self.failures[kind] = self.failures.get(kind, 0) + 1
        if kind not in self.lost:
            now_s = self.loop.now_s()
            self.lost[kind] = now_s
            self.loop.submit(events.StoreLost(now_s, kind, str(error)))
        return self.failures[kind]

    def origin(self) -> feeds.Origin:
        """Returns the origin of what the store is asked for now."""
        return feeds.Origin(feeds.STORE_ORIGIN, self.loop.now_s())

    def listed(
        self,
        followed: store_kinds.WatchedKind,
        listing: stores.Listing,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of a complete list, unless it is older."""
        if listing.revision < self.positions[followed.kind]:
            return
        now_s = self.loop.now_s()
        for event in followed.list_events(now_s, listing):
            self.loop.submit(event)
        self._report_read(
            followed.kind, listing.revision, len(listing.objects), True, origin
        )
        self.positions[followed.kind] = listing.revision
        self.names[followed.kind] = {
            stored.metadata.name for stored in listing.objects
        }
        self._report_unreadable(followed.kind, listing.unreadable)

    def changed(
        self,
        followed: store_kinds.WatchedKind,
        changes: stores.Changes,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of changes, unless all of them are known."""
        known = self.positions[followed.kind]
        if changes.revision <= known:
            return
        now_s = self.loop.now_s()
        for change in changes.changes:
            for event in followed.change_events(now_s, change):
                self.loop.submit(event)
            name = change.stored.metadata.name
            if change.deleted:
                self.names[followed.kind].discard(name)
            else:
                self.names[followed.kind].add(name)
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
            asked_age_s=round(self.loop.now_s() - origin.requested_s, 3),
            objects=count,
            revision=revision,
            known_revision=self.positions[kind],
        )

    def fed(self, part: feed_messages.FeedPart, origin: feeds.Origin) -> None:
        """Applies what another VM read, unless something is missing before."""
        followed = self.followed.get(part.kind)
        known = self.positions.get(part.kind, feeds.ALL_OBJECTS)
        if followed is None or part.revision <= known or part.since > known:
            return
        stored = [documents.stored_object(one.content) for one in part.objects]
        if part.since == known == feeds.ALL_OBJECTS:
            listing = stores.Listing(tuple(stored), (), part.revision)
            self.listed(followed, listing, origin)
            return
        pairs = zip(stored, part.objects, strict=True)
        changes = [stores.Change(one, fed.deleted) for one, fed in pairs]
        if part.since == feeds.ALL_OBJECTS:
            named = {one.metadata.name for one in stored}.union(part.kept)
            for name in sorted(self.names[part.kind] - named):
                removed = documents.removed_object(name, part.revision)
                changes.append(stores.Change(removed, True))
        news = stores.Changes(tuple(changes), (), part.revision)
        self.changed(followed, news, origin)

    def _report_unreadable(self, kind: str, reasons: tuple[str, ...]) -> None:
        for reason in reasons:
            self.reports.write(
                "store", "An object was ignored.", kind=kind, reason=reason
            )
