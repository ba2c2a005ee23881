"""Follows the platform's store and registers this VM there."""

from collections.abc import Callable
import secrets

import attrs
import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.peers import messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import feeding
from mulberrydeck.steering import feeds
from mulberrydeck.steering import registry
from mulberrydeck.steering import reporting

RETRY_DELAY_S = 0.1  # 25 undisturbed answers of the store.
# With the time to connect, a VM is back 0.8 s after its cut has healed.
MAX_RETRY_DELAY_S = 0.3
# A call is priced, also one that only waited; the kernel's probes of the
# connection find a dead store sooner than the end of the wait does.
WATCH_WAIT_S = 20.0
# A VM before this one tries too, which tells it as soon as it succeeds.
PATIENT_RETRY_DELAY_S = 1.5
SECRET_BYTES = 24
# Changes that come close together, as in a release, cost one call. Well below
# the seconds that a target has until it must be left.
TARGETS_REST_S = 0.1
# Fleets start and restart within seconds; nothing is urgent in their list.
VMS_REST_S = 1.0


def retry_delay_s(failures: int) -> float:
    """Returns how long to wait after failed calls in a row, in seconds.

    Args:
        failures: Calls that failed since the last success.
    """
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2 ** min(failures - 1, 10))


@attrs.frozen
class Followed:
    """How objects of a kind become events.

    Attributes:
        kind: Kind of the objects.
        listed: Returns the events of a complete list.
        changed: Returns the events of one change.
        stale: Whether data may be seconds old, which is cheaper.
        rest_s: Pause after changes, in seconds.
    """

    kind: str
    listed: Callable[[float, stores.Listing], list[object]]
    changed: Callable[[float, stores.Change], list[object]]
    stale: bool = False
    rest_s: float = 0.0


class Follower:
    """Keeps the state up to date with one kind of object.

    Attributes:
        followed: The kind and its events.
        following: What all kinds share.
    """

    def __init__(self, followed: Followed, following: "Following") -> None:
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
        listed = self.following.client.list(self.followed.kind)
        match listed:
            case result.Success(listing):
                self._answered()
                self.following.listed(self.followed, listing)
                self.following.feeder.listed(self.followed.kind, listing)
                return listing.revision
        self._failed(listed.failure())
        return None

    def _watch(self, revision: int) -> int | None:
        kind = self.followed.kind
        watched = self.following.client.watch(
            kind, revision, WATCH_WAIT_S, self.followed.stale
        )
        match watched:
            case result.Success(changes):
                self._answered()
                self.following.changed(self.followed, changes)
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
            gevent.sleep(retry_delay_s(self.failures))


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
        self.followed: dict[str, Followed] = {}
        self.positions: dict[str, int] = {}
        self.feeder = feeds.Feeder(send, loop.now_s, reports)
        self.subscription = feeds.Subscription(
            loop, send, self._fed, self.positions
        )
        self._direct: list[gevent.Greenlet] = []
        self._asking: gevent.Greenlet | None = None

    def add(self, followed: Followed) -> None:
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

    def _follow(self, followed: Followed) -> None:
        self._direct.append(self.spawn(Follower(followed, self).run))

    def listed(self, followed: Followed, listing: stores.Listing) -> None:
        """Submits the events of a complete list."""
        now_s = self.loop.now_s()
        for event in followed.listed(now_s, listing):
            self.loop.submit(event)
        self.positions[followed.kind] = listing.revision
        self._report_unreadable(followed.kind, listing.unreadable)

    def changed(self, followed: Followed, changes: stores.Changes) -> None:
        """Submits the events of changes."""
        now_s = self.loop.now_s()
        for change in changes.changes:
            for event in followed.changed(now_s, change):
                self.loop.submit(event)
        known = self.positions[followed.kind]
        self.positions[followed.kind] = max(known, changes.revision)
        self._report_unreadable(followed.kind, changes.unreadable)

    def _fed(self, part: messages.FeedPart) -> None:
        """Applies what another VM read, unless something is missing before."""
        followed = self.followed.get(part.kind)
        known = self.positions.get(part.kind, feeds.ALL_OBJECTS)
        if followed is None or part.revision <= known or part.since > known:
            return
        stored = [documents.stored_object(one.content) for one in part.objects]
        if part.since == feeds.ALL_OBJECTS:
            listing = stores.Listing(tuple(stored), (), part.revision)
            self.listed(followed, listing)
            return
        pairs = zip(stored, part.objects, strict=True)
        changes = tuple(stores.Change(one, fed.deleted) for one, fed in pairs)
        self.changed(followed, stores.Changes(changes, (), part.revision))

    def _report_unreadable(self, kind: str, reasons: tuple[str, ...]) -> None:
        for reason in reasons:
            self.reports.write(
                "store", "An object was ignored.", kind=kind, reason=reason
            )


@attrs.define(eq=False)
class Sources:
    """Turns stored objects into events of the reducer.

    Attributes:
        reports: Log lines of objects that are ignored.
        zones: Evacuated zones.
        records: Registered VMs by name.
    """

    reports: reporting.Reports
    zones: set[str] = attrs.field(factory=set)
    records: dict[str, registry.VmRecord] = attrs.field(factory=dict)

    def work(self) -> tuple[Followed, ...]:
        """Returns the kinds that requests depend on."""
        return (
            Followed(
                documents.CONFIGURATION_KIND,
                self._configurations,
                self._configuration_changed,
            ),
            Followed(
                documents.TARGETS_KIND,
                self._targets,
                self._target_changed,
                rest_s=TARGETS_REST_S,
            ),
            Followed(
                documents.EVACUATIONS_KIND,
                self._evacuations,
                self._evacuation_changed,
            ),
        )

    def vms(self) -> Followed:
        """Returns the kind that lists the entry VMs."""
        return Followed(
            documents.VMS_KIND,
            self._vms,
            self._vm_changed,
            stale=True,
            rest_s=VMS_REST_S,
        )

    def _configurations(
        self, now_s: float, listing: stores.Listing
    ) -> list[object]:
        produced: list[object] = []
        for stored in listing.objects:
            produced += self._configuration(now_s, stored)
        return produced

    def _configuration_changed(
        self, now_s: float, change: stores.Change
    ) -> list[object]:
        if change.deleted:
            return []
        return self._configuration(now_s, change.stored)

    def _configuration(
        self, now_s: float, stored: documents.StoredObject
    ) -> list[object]:
        if stored.metadata.name != documents.CONFIGURATION_NAME:
            return []
        try:
            table = documents.configuration(stored)
        except documents.UnreadableError as error:
            self._ignored(documents.CONFIGURATION_KIND, stored, error)
            return []
        revision = stored.metadata.revision
        return [events.TableLoaded(now_s, table, revision)]

    def _targets(self, now_s: float, listing: stores.Listing) -> list[object]:
        entries = []
        for stored in listing.objects:
            try:
                entries.append(documents.target(stored))
            except documents.UnreadableError as error:
                self._ignored(documents.TARGETS_KIND, stored, error)
        return [events.TargetsListed(now_s, tuple(entries), listing.revision)]

    def _target_changed(
        self, now_s: float, change: stores.Change
    ) -> list[object]:
        stored = change.stored
        name = stored.metadata.name
        revision = stored.metadata.revision
        if change.deleted:
            return [events.TargetRemoved(now_s, name, revision)]
        try:
            entry = documents.target(stored)
        except documents.UnreadableError as error:
            self._ignored(documents.TARGETS_KIND, stored, error)
            return [events.TargetRemoved(now_s, name, revision)]
        return [events.TargetChanged(now_s, entry, revision)]

    def _evacuations(
        self, now_s: float, listing: stores.Listing
    ) -> list[object]:
        self.zones = {stored.metadata.name for stored in listing.objects}
        return [self._evacuated(now_s, listing.revision)]

    def _evacuation_changed(
        self, now_s: float, change: stores.Change
    ) -> list[object]:
        zone = change.stored.metadata.name
        if change.deleted:
            self.zones.discard(zone)
        else:
            self.zones.add(zone)
        return [self._evacuated(now_s, change.stored.metadata.revision)]

    def _evacuated(self, now_s: float, revision: int) -> events.ZonesEvacuated:
        return events.ZonesEvacuated(now_s, frozenset(self.zones), revision)

    def _vms(self, now_s: float, listing: stores.Listing) -> list[object]:
        self.records = {}
        for stored in listing.objects:
            self._note_vm(stored)
        return [self._vms_listed(now_s, listing.revision)]

    def _vm_changed(self, now_s: float, change: stores.Change) -> list[object]:
        if change.deleted:
            self.records.pop(change.stored.metadata.name, None)
        else:
            self._note_vm(change.stored)
        return [self._vms_listed(now_s, change.stored.metadata.revision)]

    def _note_vm(self, stored: documents.StoredObject) -> None:
        try:
            record = documents.vm_record(stored)
        except documents.UnreadableError as error:
            self._ignored(documents.VMS_KIND, stored, error)
            return
        self.records[record.name] = record

    def _vms_listed(self, now_s: float, revision: int) -> events.VmsListed:
        return events.VmsListed(now_s, tuple(self.records.values()), revision)

    def _ignored(
        self, kind: str, stored: documents.StoredObject, error: Exception
    ) -> None:
        self.reports.write(
            "store",
            "An object was ignored.",
            kind=kind,
            object=stored.metadata.name,
            revision=stored.metadata.revision,
            reason=str(error),
        )


class Registration:
    """Registers this VM, and learns or creates the fleet's secret."""

    def __init__(
        self,
        client: stores.StoreClient,
        record: registry.VmRecord,
        reports: reporting.Reports,
    ) -> None:
        self.client = client
        self.record = record
        self.reports = reports

    def register(self) -> None:
        """Writes the record of this VM; returns when it is stored."""
        spec = documents.encode_vm_record(self.record)
        kind, name = documents.VMS_KIND, self.record.name
        failures = 0
        while True:
            written = self.client.create(kind, name, spec)
            if _exists_already(written):
                written = self.client.replace(kind, name, spec)
            match written:
                case result.Success(_):
                    self.reports.write("fleet", "This VM is registered.")
                    return
            failures += 1
            self._wait("register", failures, written.failure())

    def deregister(self) -> None:
        """Removes the record of this VM, so that others take its part over.

        A failure only leaves the part unused until the VM is back.
        """
        removed = self.client.delete(documents.VMS_KIND, self.record.name)
        if isinstance(removed, result.Failure):
            reason = str(removed.failure())
            self.reports.write("fleet", "The record stays.", reason=reason)

    def fleet_secret(self) -> str:
        """Returns the secret that all VMs share; the first VM creates it."""
        kind, name = documents.FLEET_KIND, "secret"
        failures = 0
        while True:
            found = self.client.get(kind, name)
            if isinstance(found, result.Failure) and isinstance(
                found.failure(), errors.NotFoundError
            ):
                drawn = secrets.token_hex(SECRET_BYTES)
                spec = documents.encode_fleet_secret(drawn)
                found = self.client.create(kind, name, spec)
            match found:
                case result.Success(stored):
                    return documents.fleet_secret(stored)
            failures += 1
            if not _exists_already(found):
                self._wait("read the secret", failures, found.failure())

    def _wait(self, what: str, failures: int, error: Exception) -> None:
        if failures == 1:
            reason = str(error)
            self.reports.write(
                "fleet", "The store is awaited.", to=what, reason=reason
            )
        gevent.sleep(retry_delay_s(failures))


def _exists_already(answered: result.Result) -> bool:
    return isinstance(answered, result.Failure) and isinstance(
        answered.failure(), errors.ConflictError
    )
