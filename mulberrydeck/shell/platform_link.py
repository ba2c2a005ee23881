"""Synchronises this VM with the platform's object API.

Watchers keep one long poll on the control objects; the other VMs of a zone
receive documents from their peers and read the platform at a longer interval.
"""

import random

import gevent
import gevent.pool
import msgspec
from returns import result

from mulberrydeck import errors
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import zones
from mulberrydeck.observability import logs
from mulberrydeck.platformapi import client
from mulberrydeck.platformapi import names
from mulberrydeck.platformapi import records
from mulberrydeck.platformapi import resolve
from mulberrydeck.shell import runtime as runtime_module

WATCH_WAIT_S = 10.0
WATCH_RETRY_S = 0.5
LIST_INTERVAL_S = 1.0
MEMBER_READ_INTERVAL_S = 10.0


class PlatformLink:
    """Reads control objects and the list of VMs, and writes the zone lease.

    Attributes:
        runtime: Event loop that receives what was read.
        objects: Client of the object API.
        revision: Revision up to which control objects were read; None if they
            must be read again.
        min_version_by_key: Oldest accepted version of each document, by the
            key of its object.
    """

    def __init__(
        self, runtime: runtime_module.Runtime, objects: client.ObjectClient
    ) -> None:
        self.runtime = runtime
        self.objects = objects
        self.revision: int | None = None
        self.min_version_by_key: dict[str, int] = {}
        self.zone_key = names.zone_lease(runtime.state.settings.zone)
        self._writes = gevent.pool.Group()
        self._greenlets: list[gevent.Greenlet] = []
        runtime.handlers[effects.WriteZoneLease] = self._spawn_lease_write

    def start(self) -> None:
        """Starts watching and listing in the background."""
        self._greenlets.append(gevent.spawn(self._watch_forever))
        self._greenlets.append(gevent.spawn(self._list_forever))

    def stop(self) -> None:
        """Stops watching and listing."""
        gevent.killall(self._greenlets)

    def is_watcher(self) -> bool:
        """Returns whether this VM watches the platform for its zone."""
        state = self.runtime.state
        return zones.is_watcher(state.members, state.zone, state.now_s)

    def _watch_forever(self) -> None:
        while True:
            if not self._watch_once():
                self.revision = None
                gevent.sleep(WATCH_RETRY_S * random.uniform(0.5, 1.5))

    def _watch_once(self) -> bool:
        """Watches or reads all objects once; returns whether it succeeded."""
        if self.revision is None and not self._read_all():
            return False
        if not self.is_watcher():
            gevent.sleep(MEMBER_READ_INTERVAL_S * random.uniform(0.5, 1.5))
            return self._read_all()
        response = self.objects.watch(
            names.CONTROL_PREFIX, self.revision, WATCH_WAIT_S
        )
        match response:
            case result.Success(changes) if changes.revision >= self.revision:
                self.revision = changes.revision
                return self._apply_changes(changes)
            case result.Success(_):
                logs.write(
                    "documents",
                    "A watch returned a stale revision; reading again.",
                )
        return False

    def _read_all(self) -> bool:
        """Reads all control objects; returns whether the platform responded."""
        match self.objects.list(names.CONTROL_PREFIX):
            case result.Success(objects):
                self.revision = max(
                    (item.version for item in objects), default=0
                )
            case _:
                return False
        for key in names.document_name_by_key:
            if not self._read_document(key):
                return False
        return self._read_zone()

    def _apply_changes(self, changes: records.ObjectChanges) -> bool:
        succeeded = True
        for change in changes.changes:
            if change.key in names.document_name_by_key:
                succeeded = self._read_document(change.key) and succeeded
            elif change.key == self.zone_key:
                succeeded = self._read_zone() and succeeded
        if succeeded:
            self._confirm_documents()
        return succeeded

    def _confirm_documents(self) -> None:
        """Confirms the accepted versions of all documents as the latest."""
        now_s = self.runtime.now_s()
        for document in self.runtime.state.documents.by_name.values():
            event = events.DocumentConfirmed(
                now_s, document.name, document.version
            )
            self.runtime.submit(event)

    def _read_document(self, key: str) -> bool:
        if not self._read_min_version(key):
            return False
        requested_s = self.runtime.now_s()
        match self.objects.get(key):
            case result.Success(stored):
                if stored.version < self.min_version_by_key[key]:
                    logs.write(
                        "documents", f"Ignored a stale version of {key}."
                    )
                    return True
                event = events.DocumentRead(
                    requested_s,
                    names.document_name_by_key[key],
                    stored.version,
                    stored.content,
                )
                self.runtime.submit(event)
                return True
            case response:
                return _is_absent(response)

    def _read_min_version(self, key: str) -> bool:
        """Fetches the current version once; returns whether it is known.

        After process start there is no known version to compare a response
        with, so a stale read could not be detected otherwise.
        """
        if key not in self.min_version_by_key:
            match self.objects.current_version(key):
                case result.Success(version):
                    self.min_version_by_key[key] = version
        return key in self.min_version_by_key

    def _read_zone(self) -> bool:
        match self.objects.get(self.zone_key):
            case result.Success(stored):
                lease = msgspec.json.decode(
                    stored.content, type=events.ZoneLease
                )
                version = stored.version
            case response if _is_absent(response):
                lease = None
                version = 0
            case _:
                return False
        event = events.ZoneLeaseRead(self.runtime.now_s(), version, lease)
        self.runtime.submit(event)
        return True

    def _list_forever(self) -> None:
        while True:
            self._list_once()
            interval_s = MEMBER_READ_INTERVAL_S
            if self.is_watcher():
                interval_s = LIST_INTERVAL_S
            gevent.sleep(interval_s * random.uniform(0.8, 1.2))

    def _list_once(self) -> None:
        match self.objects.vms():
            case result.Success(entries):
                now_s = self.runtime.now_s()
                self.runtime.submit(events.VmsListed(now_s, entries))

    def _spawn_lease_write(self, effect: effects.WriteZoneLease) -> None:
        self._writes.spawn(self.write_zone_lease, effect)

    def wait_for_writes(self, timeout_s: float) -> None:
        """Waits for writes in progress, for at most `timeout_s` seconds."""
        self._writes.join(timeout_s)

    def write_zone_lease(self, effect: effects.WriteZoneLease) -> None:
        """Writes the zone lease and reads back the lease that is in force."""
        content = msgspec.json.encode(effect.lease)
        written = resolve.put_and_resolve(
            self.objects, self.zone_key, content, effect.expected_version
        )
        if not isinstance(written, result.Success):
            logs.write("zone", "The zone lease was not written.")
        self._read_zone()


def _is_absent(response: result.Result) -> bool:
    match response:
        case result.Failure(errors.NotFoundError()):
            return True
    return False
