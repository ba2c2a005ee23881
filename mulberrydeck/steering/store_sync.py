"""Keeps a VM in sync with the store, directly or through another VM.

Each kind of object is listed once and then watched from the revision of the
list. Independent checks show that the store is still reachable.
"""

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
from mulberrydeck.steering import mirrors
from mulberrydeck.steering import reporting
from mulberrydeck.steering import store_kinds
from mulberrydeck.steering import sync_plans

# Long, since each call is priced, also a watch that ends without changes; the
# kernel's keep-alive probes detect a dead store earlier.
WATCH_WAIT_S = 20.0
# A third of `source_selection.MAX_STALENESS_S`.
CHECK_INTERVAL_S = 0.4
# Four times the response time of a store that is slowed down 60 times.
CHECK_TIMEOUT_S = 1.0
CHECK_KIND = "check"  # Stands for all kinds while the store is unreachable.
# After a stall of this length, a VM cannot know whether its watches still wait
# at the store; the same holds after the store was unreachable.
STALL_S = 1.0
# Pause after changes on a VM that does not lead, as all VMs of a group may
# watch at the same time. A quarter of the shortest propagation bound of
# configuration versions and leaving targets.
DIRECT_PAUSE_S = 0.5


class KindWatcher:
    """Lists and watches one kind of object.

    Attributes:
        watched_kind: The kind, with its conversion to events.
        sync: State shared by all kinds.
    """

    def __init__(
        self, watched_kind: store_kinds.WatchedKind, sync: "StoreSync"
    ) -> None:
        self.watched_kind = watched_kind
        self.sync = sync

    def run(self) -> None:
        """Lists the kind unless it is known, then watches it, forever."""
        revision = self.sync.start_revision(self.watched_kind.kind)
        while True:
            while revision is not None:
                revision = self._watch(revision)
            revision = self._list()

    def list_once(self) -> None:
        """Lists the kind, and leaves a failure to the watch."""
        self._list()

    def _list(self) -> int | None:
        kind = self.watched_kind.kind
        origin = self.sync.store_origin()
        listed = self.sync.client.list(kind)
        match listed:
            case result.Success(listing):
                self.sync.call_succeeded(kind)
                self.sync.apply_list(self.watched_kind, listing, origin)
                self.sync.feed_server.apply_list(kind, listing)
                return listing.revision
        self._handle_failure(listed.failure())
        return None

    def _watch(self, revision: int) -> int | None:
        kind = self.watched_kind.kind
        origin = self.sync.store_origin()
        wait_s = self.sync.watch_wait_s(self.watched_kind)
        watched = self.sync.client.watch(
            kind, revision, wait_s, self.watched_kind.allow_stale
        )
        match watched:
            case result.Success(changes):
                self.sync.call_succeeded(kind)
                self.sync.apply_changes(self.watched_kind, changes, origin)
                self.sync.feed_server.apply_changes(kind, changes)
                if changes.changes:
                    gevent.sleep(self.sync.pause_s(self.watched_kind))
                return max(revision, changes.revision)
        error = watched.failure()
        if isinstance(error, stores.RevisionCompactedError):
            self.sync.reports.write("store", "Listing anew.", kind=kind)
            return None
        self._handle_failure(error)
        return revision

    def _handle_failure(self, error: errors.MulberrydeckError) -> None:
        failures = self.sync.call_failed(self.watched_kind.kind, error)
        gevent.sleep(backoff.retry_delay_s(failures))
        # While the store is unreachable, only the cheap checks are sent.
        self.sync.reachable.wait()


class StoreChecker:
    """Checks periodically that the store is reachable.

    Without the checks, a VM that is cut off could not tell its silent watches
    from a lack of changes until the kernel's keep-alive probes fail.

    Attributes:
        sync: Receives the results of the checks.
    """

    def __init__(self, sync: "StoreSync") -> None:
        self.sync = sync

    def run(self) -> None:
        """Checks the store, forever."""
        sync = self.sync
        while True:
            sent_s = sync.loop.now_s()
            checked = sync.client.check(CHECK_TIMEOUT_S)
            match checked:
                case result.Success():
                    if CHECK_KIND in sync.lost_since_s:
                        sync.restart_watches()
                    sync.call_succeeded(CHECK_KIND)
                    sync.check_succeeded(sent_s)
                case _:
                    sync.call_failed(CHECK_KIND, checked.failure())
            due_s = sync.loop.now_s() + CHECK_INTERVAL_S
            gevent.sleep(CHECK_INTERVAL_S)
            if sync.loop.now_s() > due_s + STALL_S:
                sync.restart_watches()


class StoreSync:
    """Keeps a VM in sync with the store, directly or through another VM.

    Attributes:
        client: Client of the store.
        loop: Event loop that receives the events.
        reports: Writes log lines.
        feed_server: Sends what this VM reads from the store to other VMs.
        feed_client: Gets updates from the VM that is the source.
        spawn: Runs a function in the background.
        plan: The plan in force.
        watched_kinds: Kinds by name.
        revisions: Known revision of each kind.
        object_names: Names of the known objects of each kind.
        failures: Number of consecutive failed calls, by kind.
        lost_since_s: When calls for a kind began to fail, in seconds; only
            kinds whose last call failed.
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
        self.plan = sync_plans.UNDECIDED
        self.watched_kinds: dict[str, store_kinds.WatchedKind] = {}
        self.revisions: dict[str, int] = {}
        self.object_names: dict[str, set[str]] = {}
        self.failures: dict[str, int] = {}
        self.lost_since_s: dict[str, float] = {}
        self.reachable = gevent.event.Event()
        self.reachable.set()
        self.feed_server = feeds.FeedServer(send, loop.now_s, reports)
        self.feed_client = feeds.FeedClient(
            loop, send, self.apply_part, self.revisions, self.feed_server
        )
        self._watchers: list[gevent.Greenlet] = []
        self._checker: gevent.Greenlet | None = None
        self._polling: gevent.Greenlet | None = None

    def add(self, watched_kind: store_kinds.WatchedKind) -> None:
        """Adds a kind, and watches it if the plan says so."""
        self.watched_kinds[watched_kind.kind] = watched_kind
        self.revisions.setdefault(watched_kind.kind, mirrors.ALL_OBJECTS)
        self.object_names.setdefault(watched_kind.kind, set())
        if self.plan.direct:
            self._start_watcher(watched_kind)
            self._enable_checker(True)

    def list_vms(self, _effect: effects.ListVms) -> None:
        """Lists the VMs anew, without the delay of a stale watch.

        VMs that get updates from another VM get this one from there.
        """
        watched_kind = self.watched_kinds.get(documents.VMS_KIND)
        if watched_kind is not None and self.plan.direct:
            self.spawn(KindWatcher(watched_kind, self).list_once)

    def apply(self, effect: effects.FollowStore) -> None:
        """Puts a new plan in force."""
        previous, self.plan = self.plan, effect.plan
        must_list = False
        if self.plan.leads and not previous.leads:
            must_list = not self.feed_server.start()
        elif self.plan.decided and not self.plan.leads:
            self.feed_server.stop()
        if not self.plan.direct:
            self._stop_watchers()
        elif must_list or not previous.direct:
            self._start_watchers()
        self._enable_checker(self.plan.direct)
        if previous.source != self.plan.source:
            self._restart_feed_client(self.plan.source)

    def handle_request(
        self, sender: str, request: feed_messages.FeedRequest
    ) -> None:
        """Handles a feed request: declines it, or makes this VM lead."""
        self.feed_server.handle_request(sender, request)
        if self.lost_since_s:
            self.feed_server.decline(sender)
        else:
            self.loop.submit(events.UpdatesRequested(self.loop.now_s()))

    def restart_watches(self) -> None:
        """Replaces all watches, as the store may have dropped them."""
        self.reports.write("store", "Watching anew.")
        self._start_watchers()

    def _start_watchers(self) -> None:
        self._stop_watchers()
        for watched_kind in self.watched_kinds.values():
            self._start_watcher(watched_kind)

    def _stop_watchers(self) -> None:
        for greenlet in self._watchers:
            greenlet.kill(block=False)
        self._watchers = []

    def _enable_checker(self, enabled: bool) -> None:
        if enabled and self._checker is None:
            self._checker = self.spawn(StoreChecker(self).run)
        elif not enabled and self._checker is not None:
            self._checker.kill(block=False)
            self._checker = None
            self.reachable.set()

    def _restart_feed_client(self, source: str) -> None:
        if self._polling is not None:
            self._polling.kill(block=False)
            self._polling = None
        if source:
            self._polling = self.spawn(lambda: self.feed_client.run(source))

    def _start_watcher(self, watched_kind: store_kinds.WatchedKind) -> None:
        self._watchers.append(self.spawn(KindWatcher(watched_kind, self).run))

    def start_revision(self, kind: str) -> int | None:
        """Returns the revision from which to watch a kind; None to list it.

        A VM that leads needs all objects, not only changes.
        """
        if self.plan.leads:
            mirror = self.feed_server.mirrors.get(kind)
            return None if mirror is None else mirror.revision
        revision = self.revisions[kind]
        return None if revision == mirrors.ALL_OBJECTS else revision

    def watch_wait_s(self, watched_kind: store_kinds.WatchedKind) -> float:
        """Returns how long a watch waits for changes of a kind, in seconds."""
        if watched_kind.kind in self.lost_since_s:
            # A watch that waits would not show that the store is reachable.
            return 0.0
        if self.plan.leads:
            return min(WATCH_WAIT_S, watched_kind.leader_wait_s)
        return WATCH_WAIT_S

    def pause_s(self, watched_kind: store_kinds.WatchedKind) -> float:
        """Returns the pause after changes of a kind, in seconds."""
        may_be_many = self.plan.shared or not self.plan.decided
        if may_be_many and not self.plan.leads and watched_kind.pause_s:
            return max(DIRECT_PAUSE_S, watched_kind.pause_s)
        return watched_kind.pause_s

    def call_succeeded(self, kind: str) -> None:
        """Records that a call for a kind succeeded."""
        if kind == CHECK_KIND:
            self.reachable.set()
        self.failures[kind] = 0
        since_s = self.lost_since_s.pop(kind, None)
        if since_s is not None:
            now_s = self.loop.now_s()
            self.loop.submit(events.StoreRegained(now_s, kind, now_s - since_s))
            self.feed_server.store_regained(now_s)

    def check_succeeded(self, sent_s: float) -> None:
        """Records that a check succeeded that was sent at `sent_s`."""
        self.loop.submit(events.StoreChecked(self.loop.now_s(), sent_s))
        self.feed_server.check_succeeded(sent_s)

    def call_failed(self, kind: str, error: errors.MulberrydeckError) -> int:
        """Records a failed call; returns the number of consecutive failures."""
        if kind == CHECK_KIND:
            self.reachable.clear()
        self.failures[kind] = self.failures.get(kind, 0) + 1
        if kind not in self.lost_since_s:
            now_s = self.loop.now_s()
            self.lost_since_s[kind] = now_s
            self.loop.submit(events.StoreLost(now_s, kind, str(error)))
        return self.failures[kind]

    def store_origin(self) -> feeds.Origin:
        """Returns the origin of data that is requested from the store now."""
        return feeds.Origin(feeds.STORE_ORIGIN, self.loop.now_s())

    def apply_list(
        self,
        watched_kind: store_kinds.WatchedKind,
        listing: stores.Listing,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of a complete list, unless it is outdated."""
        if listing.revision < self.revisions[watched_kind.kind]:
            return
        now_s = self.loop.now_s()
        for event in watched_kind.list_events(now_s, listing):
            self.loop.submit(event)
        self._report_read(
            watched_kind.kind,
            listing.revision,
            len(listing.objects),
            True,
            origin,
        )
        self.revisions[watched_kind.kind] = listing.revision
        self.object_names[watched_kind.kind] = {
            stored.metadata.name for stored in listing.objects
        }
        self._report_unreadable(watched_kind.kind, listing.decode_errors)

    def apply_changes(
        self,
        watched_kind: store_kinds.WatchedKind,
        changes: stores.Changes,
        origin: feeds.Origin,
    ) -> None:
        """Submits the events of changes, unless they are already known."""
        known_revision = self.revisions[watched_kind.kind]
        if changes.revision <= known_revision:
            return
        now_s = self.loop.now_s()
        pending: list[object] = []
        for change in changes.changes:
            if watched_kind.complete_events:
                pending.clear()
            pending += watched_kind.change_events(now_s, change)
            name = change.stored.metadata.name
            if change.deleted:
                self.object_names[watched_kind.kind].discard(name)
            else:
                self.object_names[watched_kind.kind].add(name)
        for event in pending:
            self.loop.submit(event)
        if changes.changes:
            count = len(changes.changes)
            self._report_read(
                watched_kind.kind, changes.revision, count, False, origin
            )
        self.revisions[watched_kind.kind] = changes.revision
        self._report_unreadable(watched_kind.kind, changes.decode_errors)

    def _report_read(
        self,
        kind: str,
        revision: int,
        count: int,
        complete: bool,
        origin: feeds.Origin,
    ) -> None:
        """Logs an update of a kind, with its origin and delay.

        The previously known revision shows whether the update is newer.
        """
        self.reports.write(
            "store",
            "All objects were read." if complete else "Changes were read.",
            kind=kind,
            origin=origin.name,
            asked_age_s=round(self.loop.now_s() - origin.requested_s, 3),
            objects=count,
            revision=revision,
            known_revision=self.revisions[kind],
        )

    def apply_part(
        self, part: feed_messages.FeedPart, origin: feeds.Origin
    ) -> None:
        """Applies updates of another VM, unless earlier ones are missing."""
        watched_kind = self.watched_kinds.get(part.kind)
        if watched_kind is None:
            return
        stored = [
            documents.decode_stored_object(encoded.content)
            for encoded in part.objects
        ]
        pairs = zip(stored, part.objects, strict=True)
        changes = [
            stores.Change(decoded, encoded.deleted)
            for decoded, encoded in pairs
        ]
        self.feed_server.apply_part(part, tuple(changes))
        known_revision = self.revisions[part.kind]
        if part.revision <= known_revision or part.since > known_revision:
            return
        if part.since == known_revision == mirrors.ALL_OBJECTS:
            listing = stores.Listing(tuple(stored), (), part.revision)
            self.apply_list(watched_kind, listing, origin)
            return
        if part.since == mirrors.ALL_OBJECTS:
            listed_names = {decoded.metadata.name for decoded in stored}.union(
                part.kept
            )
            for name in sorted(self.object_names[part.kind] - listed_names):
                removed = documents.deleted_object(name, part.revision)
                changes.append(stores.Change(removed, True))
        update = stores.Changes(tuple(changes), (), part.revision)
        self.apply_changes(watched_kind, update, origin)

    def _report_unreadable(self, kind: str, reasons: tuple[str, ...]) -> None:
        for reason in reasons:
            self.reports.object_ignored(kind, reason)
