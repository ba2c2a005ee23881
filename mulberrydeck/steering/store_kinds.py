"""Converts stored objects of each kind into events of the reducer."""

from collections.abc import Callable
import math

import attrs

from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import events
from mulberrydeck.steering import registry
from mulberrydeck.steering import reporting

# Batches changes in quick succession, as in a release, into one call. Well
# below the seconds after which a leaving target must no longer get requests.
TARGETS_PAUSE_S = 0.1
# The store responds to a watch of a VM that leads after this time also without
# changes, so that a silent connection is detected in time. With the margin
# until the response counts as lost, it stays below the propagation bounds in
# large fleets: 3 s for configuration versions and leaving targets, 5 s for
# evacuations.
LEADER_WAIT_S = 1.0
EVACUATIONS_LEADER_WAIT_S = 2.5
# Batches the changes of a fleet's start or restart, which take seconds; the
# list of VMs is not urgent.
VMS_PAUSE_S = 1.0


@attrs.frozen
class WatchedKind:
    """How a kind is watched, and how its objects become events.

    Attributes:
        kind: Kind of the objects.
        list_events: Returns the events of a complete list.
        change_events: Returns the events of one change.
        allow_stale: Whether responses may be seconds old, which the store
            prices lower.
        pause_s: Pause after changes, in seconds.
        complete_events: Whether the event of a change holds all objects, so
            that the last of several changes suffices.
        leader_wait_s: Longest time for which a VM that leads lets a watch wait
            for changes, in seconds.
    """

    kind: str
    list_events: Callable[[float, stores.Listing], list[object]]
    change_events: Callable[[float, stores.Change], list[object]]
    allow_stale: bool = False
    pause_s: float = 0.0
    complete_events: bool = False
    leader_wait_s: float = math.inf


@attrs.define(eq=False)
class StoreKinds:
    """Kinds of stored objects that a VM watches.

    Attributes:
        reports: Writes log lines about objects that are ignored.
        evacuated_zones: Evacuated zones.
        records: Registered VMs by name.
    """

    reports: reporting.Reports
    evacuated_zones: set[str] = attrs.field(factory=set)
    records: dict[str, registry.VmRecord] = attrs.field(factory=dict)

    def request_kinds(self) -> tuple[WatchedKind, ...]:
        """Returns the kinds that the handling of requests depends on."""
        return (
            WatchedKind(
                documents.CONFIGURATION_KIND,
                self._configurations,
                self._configuration_changed,
                leader_wait_s=LEADER_WAIT_S,
            ),
            WatchedKind(
                documents.TARGETS_KIND,
                self._targets,
                self._target_changed,
                pause_s=TARGETS_PAUSE_S,
                leader_wait_s=LEADER_WAIT_S,
            ),
            WatchedKind(
                documents.EVACUATIONS_KIND,
                self._evacuations,
                self._evacuation_changed,
                leader_wait_s=EVACUATIONS_LEADER_WAIT_S,
            ),
        )

    def vms_kind(self) -> WatchedKind:
        """Returns the kind that lists the entry VMs."""
        return WatchedKind(
            documents.VMS_KIND,
            self._vms,
            self._vm_changed,
            allow_stale=True,
            pause_s=VMS_PAUSE_S,
            complete_events=True,
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
            table = documents.decode_configuration(stored)
        except documents.InvalidDocumentError as error:
            self._report_ignored(documents.CONFIGURATION_KIND, stored, error)
            return []
        revision = stored.metadata.revision
        return [events.TableLoaded(now_s, table, revision)]

    def _targets(self, now_s: float, listing: stores.Listing) -> list[object]:
        entries = []
        for stored in listing.objects:
            try:
                entries.append(documents.decode_target(stored))
            except documents.InvalidDocumentError as error:
                self._report_ignored(documents.TARGETS_KIND, stored, error)
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
            entry = documents.decode_target(stored)
        except documents.InvalidDocumentError as error:
            self._report_ignored(documents.TARGETS_KIND, stored, error)
            return [events.TargetRemoved(now_s, name, revision)]
        return [events.TargetChanged(now_s, entry, revision)]

    def _evacuations(
        self, now_s: float, listing: stores.Listing
    ) -> list[object]:
        self.evacuated_zones = {
            stored.metadata.name for stored in listing.objects
        }
        return [self._zones_evacuated(now_s, listing.revision)]

    def _evacuation_changed(
        self, now_s: float, change: stores.Change
    ) -> list[object]:
        zone = change.stored.metadata.name
        if change.deleted:
            self.evacuated_zones.discard(zone)
        else:
            self.evacuated_zones.add(zone)
        return [self._zones_evacuated(now_s, change.stored.metadata.revision)]

    def _zones_evacuated(
        self, now_s: float, revision: int
    ) -> events.ZonesEvacuated:
        return events.ZonesEvacuated(
            now_s, frozenset(self.evacuated_zones), revision
        )

    def _vms(self, now_s: float, listing: stores.Listing) -> list[object]:
        self.records = {}
        for stored in listing.objects:
            self._update_vm(stored)
        return [self._vms_listed(now_s, listing.revision)]

    def _vm_changed(self, now_s: float, change: stores.Change) -> list[object]:
        if change.deleted:
            self.records.pop(change.stored.metadata.name, None)
        else:
            self._update_vm(change.stored)
        return [self._vms_listed(now_s, change.stored.metadata.revision)]

    def _update_vm(self, stored: documents.StoredObject) -> None:
        try:
            record = documents.decode_vm_record(stored)
        except documents.InvalidDocumentError as error:
            self._report_ignored(documents.VMS_KIND, stored, error)
            return
        self.records[record.name] = record

    def _vms_listed(self, now_s: float, revision: int) -> events.VmsListed:
        return events.VmsListed(now_s, tuple(self.records.values()), revision)

    def _report_ignored(
        self, kind: str, stored: documents.StoredObject, error: Exception
    ) -> None:
        self.reports.object_ignored(
            kind,
            str(error),
            object=stored.metadata.name,
            revision=stored.metadata.revision,
        )
