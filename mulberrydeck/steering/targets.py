"""Directory of the registered targets, with the observed state of each."""

import collections
from collections.abc import Iterable
import math

import attrs

from mulberrydeck.routing import detectors
from mulberrydeck.routing import hashing
from mulberrydeck.steering import outliers
from mulberrydeck.steering import registry

# A third of the usual time of a request, so that the requests of other VMs
# leave the estimate about as fast as they end.
LOAD_DECAY_S = 0.3
# First ejection after a failed connection; doubled on each further failure.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# A target that returns is treated as cold for this long; by then, its entry has
# been updated, since a target reports every 1.5 s.
RETURN_COLD_S = 2.0
# Entries that expired during an outage of the store are registered again about
# 2 s after the outage, the end of which a VM notices up to 0.8 s late. A VM
# that was itself cut off must stop using a removed target within 3 s.
EXPIRED_ENTRY_GRACE_S = 1.9
# Targets write their entries every 1.5 s; after two of these intervals, what
# the store lost with its return from an older copy is written again.
RESTORE_S = 3.0
# What a process said of itself is kept without its entry for this long.
MAX_NOTICE_AGE_S = 600.0


@attrs.define(eq=False)
class Notice:
    """What is known of a process of a target besides its entry.

    Attributes:
        leaving: Whether it is about to stop.
        paused_until_s: Time until which it wants no requests, in seconds.
        removed_s: When its entry was removed, in seconds.
        noted_s: When any of this was last noted, in seconds.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf
    removed_s: float = -math.inf
    noted_s: float = -math.inf


@attrs.define(eq=False)
class Target:
    """A registered target with its observed load, failures and latency.

    Attributes:
        entry: Its entry in the registry.
        region: Region of its zone.
        digest: Hash of its name.
        in_flight: Requests of this VM that are in progress.
        others_load: Requests of other VMs at the last report of its load.
        load_reported_s: Time of that report, in seconds.
        cold_until_s: End of its warm-up according to its entry, in seconds.
        maybe_cold_until_s: Time until which it may be cold although its entry
            does not say so, in seconds.
        ejected_until_s: End of its ejection, in seconds.
        connect_failures: Consecutive failures to reach it.
        outcomes: Latest outcomes of requests.
        missing_since_s: Time at which its entry was found missing, in seconds;
            None if it is present.
        latency_ratio: Latency of its requests relative to their routes.
        notice: What its process has said of itself.
    """

    entry: registry.TargetEntry
    region: str
    digest: int
    in_flight: int = 0
    others_load: float = 0.0
    load_reported_s: float = -math.inf
    cold_until_s: float = -math.inf
    maybe_cold_until_s: float = -math.inf
    ejected_until_s: float = -math.inf
    connect_failures: int = 0
    outcomes: detectors.FailureWindow = attrs.field(
        factory=detectors.FailureWindow
    )
    missing_since_s: float | None = None
    latency_ratio: outliers.LatencyRatio = attrs.field(
        factory=outliers.LatencyRatio
    )
    notice: Notice = attrs.field(factory=Notice)

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests at the target."""
        age_s = now_s - self.load_reported_s
        return self.in_flight + self.others_load * math.exp(
            -age_s / LOAD_DECAY_S
        )

    def is_cold(self, now_s: float) -> bool:
        """Returns whether it is or may be cold."""
        return self.cold_remaining_s(now_s) > 0

    def cold_remaining_s(self, now_s: float) -> float:
        """Returns for how long it is or may be cold, in seconds."""
        return max(
            0.0, self.cold_until_s - now_s, self.maybe_cold_until_s - now_s
        )


@attrs.define
class TargetDirectory:
    """All registered targets.

    Attributes:
        region_by_zone: Region of each zone.
        by_name: Targets by name.
        by_service: Targets of each service.
        missing: Targets whose entries were found missing, by name.
        evacuated: Evacuated zones, whose targets get no requests.
        returning: End of the evacuation, in seconds, by zone.
        grace_until_s: Time until which missing entries may be registered
            again, in seconds.
        listed: Whether the targets were listed since the process started.
        notices: What is known of processes besides their entries, by
            `_process`. It outlives the entries, which may expire and return.
        restored_until_s: Time until which the store may lack what was written
            shortly before it came back from an older copy, in seconds.
        held_entries: Entries that may be older than what is known, by name.
            They apply after `restored_until_s`.
    """

    region_by_zone: dict[str, str]
    by_name: dict[str, Target] = attrs.field(factory=dict)
    by_service: dict[str, list[Target]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    missing: dict[str, Target] = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    returning: dict[str, float] = attrs.field(factory=dict)
    grace_until_s: float = -math.inf
    listed: bool = False
    notices: dict[tuple[str, int, str], Notice] = attrs.field(factory=dict)
    restored_until_s: float = -math.inf
    held_entries: dict[str, registry.TargetEntry] = attrs.field(factory=dict)


def replace_all(
    directory: TargetDirectory,
    now_s: float,
    entries: Iterable[registry.TargetEntry],
) -> None:
    """Applies a complete list of the registered targets.

    Args:
        directory: Known targets, changed in place.
        now_s: Current time, in seconds.
        entries: Entries of all targets.
    """
    listed_names = set()
    for entry in entries:
        listed_names.add(entry.name)
        apply(directory, now_s, entry)
    for name in (*directory.by_name, *directory.held_entries):
        if name not in listed_names:
            remove(directory, now_s, name)
    directory.listed = True


def apply(
    directory: TargetDirectory, now_s: float, entry: registry.TargetEntry
) -> None:
    """Applies a new or changed entry.

    Args:
        directory: Known targets, changed in place.
        now_s: Current time, in seconds.
        entry: The entry.
    """
    directory.held_entries.pop(entry.name, None)
    target = directory.by_name.get(entry.name)
    if now_s < directory.restored_until_s and _is_older(
        directory, target, entry
    ):
        directory.held_entries[entry.name] = entry
        return
    cold_until_s = now_s + entry.cold_s
    if target is not None and _is_same_process(target.entry, entry):
        if entry == target.entry:
            # An unchanged entry that is read again may be old; it never
            # shortens the cold time.
            cold_until_s = max(cold_until_s, target.cold_until_s)
        target.entry = entry
        target.missing_since_s = None
        directory.missing.pop(entry.name, None)
    else:
        if target is not None:
            _drop(directory, target)
        region = directory.region_by_zone.get(entry.zone, "")
        target = Target(entry, region, hashing.digest(entry.name))
        target.notice = directory.notices.get(_process(entry), target.notice)
        directory.by_name[entry.name] = target
        directory.by_service[entry.service].append(target)
    target.cold_until_s = cold_until_s


def remove(directory: TargetDirectory, now_s: float, name: str) -> None:
    """Applies the removal of an entry.

    Shortly after an outage of the store, the entry may have expired and may be
    registered again, so that its target is kept until `grace_until_s`.
    """
    directory.held_entries.pop(name, None)
    target = directory.by_name.get(name)
    if target is None:
        return
    if now_s < directory.grace_until_s and not target.entry.draining:
        if target.missing_since_s is None:
            target.missing_since_s = now_s
            directory.missing[name] = target
    else:
        target.notice.removed_s = now_s
        _note(directory, target, now_s)
        _drop(directory, target)


def _is_older(
    directory: TargetDirectory,
    target: Target | None,
    entry: registry.TargetEntry,
) -> bool:
    """Returns whether an entry seems older than what is known of its process.

    It is ready, while the process was draining or its entry was removed.
    """
    if entry.draining:
        return False
    if target is not None:
        is_same = _process(target.entry) == _process(entry)
        return is_same and target.entry.draining
    notice = directory.notices.get(_process(entry))
    return notice is not None and notice.removed_s > -math.inf


def store_restored(directory: TargetDirectory, now_s: float) -> None:
    """Starts the time in which older entries do not apply."""
    directory.restored_until_s = now_s + RESTORE_S
    store_regained(directory, now_s)


def apply_held(directory: TargetDirectory, now_s: float) -> None:
    """Applies the held entries once everything was written again."""
    if directory.held_entries and now_s >= directory.restored_until_s:
        for entry in list(directory.held_entries.values()):
            apply(directory, now_s, entry)


def drop_missing(directory: TargetDirectory, now_s: float) -> list[str]:
    """Drops targets whose entries were not registered again in time.

    Returns:
        Names of the dropped targets.
    """
    missing = [
        target
        for target in directory.missing.values()
        if _is_grace_over(directory, target, now_s)
    ]
    for target in missing:
        _drop(directory, target)
    return [target.entry.name for target in missing]


def store_regained(directory: TargetDirectory, now_s: float) -> None:
    """Starts the grace period for missing entries after a store outage."""
    directory.grace_until_s = now_s + EXPIRED_ENTRY_GRACE_S


def set_evacuated(
    directory: TargetDirectory, now_s: float, zones: set[str]
) -> None:
    """Applies the set of evacuated zones.

    Targets of a zone that is no longer evacuated may be cold before their
    entries say so.
    """
    for zone in directory.evacuated - zones:
        for target in directory.by_name.values():
            if target.entry.zone == zone:
                _mark_maybe_cold(target, now_s + RETURN_COLD_S)
    directory.evacuated = zones


def is_usable(directory: TargetDirectory, target: Target, now_s: float) -> bool:
    """Returns whether new requests may go to a target."""
    return now_s >= target.notice.paused_until_s and may_run(
        directory, target, now_s
    )


def may_run(directory: TargetDirectory, target: Target, now_s: float) -> bool:
    """Returns whether a target is usable but for a pause that it asked for."""
    return (
        not target.entry.draining
        and not target.notice.leaving
        and now_s >= target.ejected_until_s
        and not _is_grace_over(directory, target, now_s)
        and target.entry.zone not in directory.evacuated
    )


def note_leaving(
    directory: TargetDirectory, target: Target, now_s: float
) -> bool:
    """Records that a target is about to stop; returns whether that is new."""
    is_new = not target.notice.leaving
    target.notice.leaving = True
    _note(directory, target, now_s)
    return is_new


def note_pause(
    directory: TargetDirectory, target: Target, now_s: float, pause_s: float
) -> None:
    """Records that a target wants no requests for a time, in seconds."""
    notice = target.notice
    notice.paused_until_s = max(notice.paused_until_s, now_s + pause_s)
    _note(directory, target, now_s)


def _note(directory: TargetDirectory, target: Target, now_s: float) -> None:
    target.notice.noted_s = now_s
    directory.notices[_process(target.entry)] = target.notice


def drop_old_notices(directory: TargetDirectory, now_s: float) -> None:
    """Forgets what was noted of processes that are probably gone."""
    expired_s = now_s - MAX_NOTICE_AGE_S
    for process, notice in list(directory.notices.items()):
        if max(notice.noted_s, notice.paused_until_s) < expired_s:
            del directory.notices[process]


def _process(entry: registry.TargetEntry) -> tuple[str, int, str]:
    """Returns what identifies the process that an entry describes."""
    return (entry.name, entry.started_ms, entry.address)


def _is_grace_over(
    directory: TargetDirectory, target: Target, now_s: float
) -> bool:
    """Returns whether an entry has been missing beyond the grace period.

    After an outage, the kinds of objects are regained one by one, and each of
    them extends `grace_until_s`; an entry gets one grace period at most.
    """
    if target.missing_since_s is None:
        return False
    until_s = min(
        directory.grace_until_s, target.missing_since_s + EXPIRED_ENTRY_GRACE_S
    )
    return now_s >= until_s


def observe_load(target: Target, now_s: float, reported_load: float) -> None:
    """Records the load that a target reported, less this VM's requests."""
    target.others_load = max(0.0, reported_load - target.in_flight)
    target.load_reported_s = now_s


def mark_reachable(target: Target) -> None:
    """Resets the count of failures after a response of the target."""
    target.connect_failures = 0


def eject_unreachable(target: Target, now_s: float) -> None:
    """Ejects a target that is unreachable or whose address was reassigned.

    When it returns, its process may have been restarted and be cold.
    """
    ejection_s = min(
        MAX_EJECTION_S, BASE_EJECTION_S * 2**target.connect_failures
    )
    target.connect_failures += 1
    target.ejected_until_s = now_s + ejection_s
    _mark_maybe_cold(target, target.ejected_until_s + RETURN_COLD_S)


def _mark_maybe_cold(target: Target, until_s: float) -> None:
    """Treats a target as cold for a time that its entry cannot shorten."""
    target.maybe_cold_until_s = max(target.maybe_cold_until_s, until_s)


def record_outcome(target: Target, now_s: float, was_failure: bool) -> bool:
    """Records an outcome; ejects the target if too many requests fail.

    Returns:
        Whether the target was ejected.
    """
    if not detectors.observe(target.outcomes, was_failure):
        return False
    target.ejected_until_s = now_s + MAX_EJECTION_S
    return True


def _is_same_process(
    previous: registry.TargetEntry, entry: registry.TargetEntry
) -> bool:
    return (
        previous.started_ms == entry.started_ms
        and previous.address == entry.address
        and previous.service == entry.service
    )


def _drop(directory: TargetDirectory, target: Target) -> None:
    del directory.by_name[target.entry.name]
    directory.missing.pop(target.entry.name, None)
    directory.by_service[target.entry.service].remove(target)
