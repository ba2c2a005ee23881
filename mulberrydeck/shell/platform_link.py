"""Keeps this VM in step with the platform's object API.

Watchers hold one long poll on the control objects; the other VMs of a zone
learn documents from their peers and read the platform rarely.
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
        runtime: Receives what was read.
        objects: Client of the platform.
        revision: Revision up to which control objects were read, or None.
        oldest_by_object: Oldest version of each document that is taken.
    """

    def __init__(
        self, runtime: runtime_module.Runtime, objects: client.ObjectClient
    ) -> None:
        self.runtime = runtime
        self.objects = objects
        self.revision: int | None = None
        self.oldest_by_object: dict[str, int] = {}
        self.zone_key = names.zone_lease(runtime.state.settings.zone)
        self._writes = gevent.pool.Group()
        self._greenlets: list[gevent.Greenlet] = []
        runtime.handlers[effects.WriteZoneLease] = self._spawn_claim

    def start(self) -> None:
        """Starts reading in the background."""
        self._greenlets.append(gevent.spawn(self._watch_for_ever))
        self._greenlets.append(gevent.spawn(self._list_for_ever))

    def stop(self) -> None:
        """Stops reading."""
        gevent.killall(self._greenlets)

    def is_watcher(self) -> bool:
        """Returns whether this VM watches for its zone."""
        state = self.runtime.state
        return zones.is_watcher(state.members, state.zone, state.now_s)

    def _watch_for_ever(self) -> None:
        while True:
            if not self._watch_once():
                self.revision = None
                gevent.sleep(WATCH_RETRY_S * random.uniform(0.5, 1.5))

    def _watch_once(self) -> bool:
        """Returns whether the platform answered."""
        if self.revision is None and not self._read_all():
            return False
        if not self.is_watcher():
            gevent.sleep(MEMBER_READ_INTERVAL_S * random.uniform(0.5, 1.5))
            return self._read_all()
        answer = self.objects.watch(
            names.CONTROL_PREFIX, self.revision, WATCH_WAIT_S
        )
        match answer:
            case result.Success(changes) if changes.revision >= self.revision:
                self.revision = changes.revision
                return self._take(changes)
            case result.Success(_):
                logs.write("documents", "Watches lag; read anew.")
        return False

    def _read_all(self) -> bool:
        """Reads all control objects; returns whether the platform answered."""
        match self.objects.list(names.CONTROL_PREFIX):
            case result.Success(found):
                self.revision = max((item.version for item in found), default=0)
            case _:
                return False
        for key in names.document_name_by_key:
            if not self._read_document(key):
                return False
        return self._read_zone()

    def _take(self, changes: records.ObjectChanges) -> bool:
        answered = True
        for change in changes.changes:
            if change.key in names.document_name_by_key:
                answered = self._read_document(change.key) and answered
            elif change.key == self.zone_key:
                answered = self._read_zone() and answered
        if answered:
            self._confirm_documents()
        return answered

    def _confirm_documents(self) -> None:
        """Reports that documents without a change are still the latest."""
        now_s = self.runtime.now_s()
        for document in self.runtime.state.documents.by_name.values():
            event = events.DocumentConfirmed(
                now_s, document.name, document.version
            )
            self.runtime.submit(event)

    def _read_document(self, key: str) -> bool:
        if not self._learn_oldest(key):
            return False
        asked_s = self.runtime.now_s()
        match self.objects.get(key):
            case result.Success(stored):
                if stored.version < self.oldest_by_object[key]:
                    logs.write("documents", f"Reads of {key} lag; ignored.")
                    return True
                event = events.DocumentRead(
                    asked_s,
                    names.document_name_by_key[key],
                    stored.version,
                    stored.content,
                )
                self.runtime.submit(event)
                return True
            case answer:
                return _is_absent(answer)

    def _learn_oldest(self, key: str) -> bool:
        """Asks once which version of a document is current.

        A process that has just started holds no version yet by which it could
        tell an answer from the past.
        """
        if key not in self.oldest_by_object:
            match self.objects.current_version(key):
                case result.Success(version):
                    self.oldest_by_object[key] = version
        return key in self.oldest_by_object

    def _read_zone(self) -> bool:
        match self.objects.get(self.zone_key):
            case result.Success(stored):
                lease = msgspec.json.decode(
                    stored.content, type=events.ZoneLease
                )
                version = stored.version
            case answer if _is_absent(answer):
                lease = None
                version = 0
            case _:
                return False
        event = events.ZoneLeaseRead(self.runtime.now_s(), version, lease)
        self.runtime.submit(event)
        return True

    def _list_for_ever(self) -> None:
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

    def _spawn_claim(self, effect: effects.WriteZoneLease) -> None:
        self._writes.spawn(self.claim_zone, effect)

    def wait_written(self, timeout_s: float) -> None:
        """Waits for writes in progress, at most `timeout_s` seconds."""
        self._writes.join(timeout_s)

    def claim_zone(self, effect: effects.WriteZoneLease) -> None:
        """Writes the zone's lease and reads back what is in force."""
        content = msgspec.json.encode(effect.lease)
        written = resolve.put_and_resolve(
            self.objects, self.zone_key, content, effect.expected_version
        )
        if not isinstance(written, result.Success):
            logs.write("zone", "The zone lease was not written.")
        self._read_zone()


def _is_absent(answer: result.Result) -> bool:
    match answer:
        case result.Failure(errors.NotFoundError()):
            return True
    return False
