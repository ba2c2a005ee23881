"""The zone lease: its holder owns the zone's quota and assigns its targets.

The lease is an object in the platform, changed only by conditional updates. It
does not expire, so that a zone cut off from the platform keeps its holder.
Another process takes it over when the holder is known to be gone: it released
the lease, its VM runs a new process, or the platform no longer lists it and no
heartbeats of it arrive.
"""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import members

LEASE_WRITE_INTERVAL_S = 1.0
WATCHERS_PER_ZONE = 2


@attrs.define
class ZoneState:
    """State of the zone lease as known to this VM.

    Attributes:
        zone: Availability zone of this VM.
        vm_name: Name of this VM.
        incarnation: Identifier of this process.
        takeover_s: How long a holder must be missing from the platform's list
            before it is replaced, in seconds.
        handover_s: Time after which all loans and target grants of the
            previous holder have expired, in seconds.
        lease: Content of the lease object, or None if it is absent.
        version: Version of the lease object; 0 if it is absent.
        was_read: Whether the lease object was ever read.
        usable_from_s: When this VM may use the zone's quota as its holder, in
            seconds: all loans of earlier holders have expired by then.
        last_write_s: When this VM last wrote the lease, in seconds, or -inf.
    """

    zone: str
    vm_name: str
    incarnation: str
    takeover_s: float
    handover_s: float
    lease: events.ZoneLease | None = None
    version: int = 0
    was_read: bool = False
    usable_from_s: float = float("inf")
    last_write_s: float = float("-inf")

    @property
    def epoch(self) -> int:
        """Epoch of the lease if this process holds it, else 0."""
        if self.lease is None or self.lease.incarnation != self.incarnation:
            return 0
        return self.lease.epoch

    @property
    def holder(self) -> str:
        """Name of the VM that holds the lease, or empty."""
        return self.lease.holder if self.lease else ""


def apply_lease(state: ZoneState, event: events.ZoneLeaseRead) -> bool:
    """Applies the lease object as read, unless that read is outdated.

    Returns:
        Whether it was applied.
    """
    if state.was_read and event.version <= state.version:
        return False
    epoch_before = state.epoch
    state.was_read = True
    state.version = event.version
    state.lease = event.lease
    if state.epoch and state.epoch != epoch_before:
        state.usable_from_s = event.at_s + state.handover_s
    return True


def step_down_if_fenced(state: ZoneState, epoch: int) -> bool:
    """Steps down when a peer of the zone holds a higher epoch.

    Returns:
        Whether this VM held the lease until now.
    """
    if not state.epoch or epoch <= state.epoch:
        return False
    state.lease = None
    return True


def claim_if_free(
    state: ZoneState,
    membership: members.MembersState,
    now_s: float,
    leaving: bool,
) -> list[object]:
    """Claims the lease if its holder is known to be gone."""
    if leaving or not state.was_read or state.epoch:
        return []
    if now_s - state.last_write_s < LEASE_WRITE_INTERVAL_S:
        return []
    if not _is_free(state, membership, now_s):
        return []
    state.last_write_s = now_s
    epoch = state.lease.epoch + 1 if state.lease else 1
    division = state.lease.division if state.lease else ()
    lease = events.ZoneLease(state.vm_name, state.incarnation, epoch, division)
    return [effects.WriteZoneLease(state.version, lease)]


def _is_free(
    state: ZoneState, membership: members.MembersState, now_s: float
) -> bool:
    if state.lease is None or not state.lease.holder:
        return True
    holder = state.lease.holder
    if holder == state.vm_name:
        return True
    peer = membership.peers.get(holder)
    if peer is None:
        return _is_confirmed_unlisted(state, membership, now_s)
    if membership.is_alive(holder, now_s) or peer.unlisted_since_s is None:
        return False
    return now_s - peer.unlisted_since_s >= state.takeover_s


def _is_confirmed_unlisted(
    state: ZoneState, membership: members.MembersState, now_s: float
) -> bool:
    if state.lease.holder in membership.listed_zones:
        return False
    observed_s = membership.list_read_s - membership.list_first_read_s
    return observed_s >= state.takeover_s


def release(state: ZoneState) -> list[object]:
    """Releases the lease, for a planned stop."""
    if not state.epoch:
        return []
    lease = attrs.evolve(state.lease, holder="", incarnation="")
    return [effects.WriteZoneLease(state.version, lease)]


def record_division(
    state: ZoneState, division: tuple[str, ...], now_s: float
) -> list[object]:
    """Records a division of quota in the lease that this VM holds."""
    if now_s - state.last_write_s < LEASE_WRITE_INTERVAL_S:
        return []
    state.last_write_s = now_s
    lease = attrs.evolve(state.lease, division=division)
    return [effects.WriteZoneLease(state.version, lease)]


def is_watcher(
    membership: members.MembersState, state: ZoneState, now_s: float
) -> bool:
    """Returns whether this VM watches the platform for its zone.

    The holder does, and so do the first live VMs of the zone in name order.
    """
    if state.epoch:
        return True
    names = [
        peer.name
        for peer in membership.live_peers(now_s)
        if peer.zone == state.zone and not peer.leaving
    ]
    earlier = sum(name < state.vm_name for name in names)
    return earlier < WATCHERS_PER_ZONE
