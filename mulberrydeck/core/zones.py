"""The zone lease: which VM owns the quota and targets of its zone.

The lease is an object in the platform, changed only by conditional updates. It
has no expiry, so that a zone cut off from the platform keeps its holder. It is
taken over when the holder is known to be gone: it released the lease, its VM
runs another process, or the platform no longer lists it and no peer hears it.
"""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import members

CLAIM_INTERVAL_S = 1.0
WATCHERS_PER_ZONE = 2


@attrs.define
class ZoneState:
    """What this VM knows of its zone's lease.

    Attributes:
        zone: Availability zone of this VM.
        vm_name: Name of this VM.
        incarnation: This process.
        takeover_s: How long a holder must be missing before takeover.
        handover_s: Time after which quota lent and targets granted by the
            previous holder have expired.
        lease: Content of the lease object, or None.
        version: Version of the lease object.
        known: Whether the object was read at all.
        usable_from_s: When no loan of an earlier holder can be valid any more.
        claimed_at_s: When a claim was last sent.
    """

    zone: str
    vm_name: str
    incarnation: str
    takeover_s: float
    handover_s: float
    lease: events.ZoneLease | None = None
    version: int = 0
    known: bool = False
    usable_from_s: float = float("inf")
    claimed_at_s: float = float("-inf")

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


def lease_read(state: ZoneState, event: events.ZoneLeaseRead) -> bool:
    """Takes a reading of the lease object; returns whether it was newer."""
    if state.known and event.version <= state.version:
        return False
    held_before = state.epoch
    state.known = True
    state.version = event.version
    state.lease = event.lease
    if state.epoch and state.epoch != held_before:
        state.usable_from_s = event.at_s + state.handover_s
    return True


def fenced_by(state: ZoneState, epoch: int) -> bool:
    """Steps down when a peer of the zone holds a higher epoch.

    Returns:
        Whether this VM has held the lease until now.
    """
    if not state.epoch or epoch <= state.epoch:
        return False
    state.lease = None
    return True


def claim_if_free(
    state: ZoneState, peers: members.MembersState, now_s: float, leaving: bool
) -> list[object]:
    """Claims the lease when its holder is known to be gone."""
    if leaving or not state.known or state.epoch:
        return []
    if now_s - state.claimed_at_s < CLAIM_INTERVAL_S:
        return []
    if not _is_free(state, peers, now_s):
        return []
    state.claimed_at_s = now_s
    epoch = state.lease.epoch + 1 if state.lease else 1
    division = state.lease.division if state.lease else ()
    lease = events.ZoneLease(state.vm_name, state.incarnation, epoch, division)
    return [effects.WriteZoneLease(state.version, lease)]


def _is_free(
    state: ZoneState, peers: members.MembersState, now_s: float
) -> bool:
    if state.lease is None or not state.lease.holder:
        return True
    holder = state.lease.holder
    if holder == state.vm_name:
        return True
    peer = peers.peers.get(holder)
    if peer is None:
        return _is_unlisted(state, peers, now_s)
    if peers.is_alive(holder, now_s) or peer.missing_since_s is None:
        return False
    return now_s - peer.missing_since_s >= state.takeover_s


def _is_unlisted(
    state: ZoneState, peers: members.MembersState, now_s: float
) -> bool:
    if state.lease.holder in peers.listed_zones:
        return False
    observed_s = peers.listed_at_s - peers.first_listed_at_s
    return observed_s >= state.takeover_s


def release(state: ZoneState) -> list[object]:
    """Releases the lease on a planned stop."""
    if not state.epoch:
        return []
    lease = attrs.evolve(state.lease, holder="", incarnation="")
    return [effects.WriteZoneLease(state.version, lease)]


def record_division(
    state: ZoneState, division: tuple[str, ...], now_s: float
) -> list[object]:
    """Writes a new division of quota into the lease that this VM holds."""
    if now_s - state.claimed_at_s < CLAIM_INTERVAL_S:
        return []
    state.claimed_at_s = now_s
    lease = attrs.evolve(state.lease, division=division)
    return [effects.WriteZoneLease(state.version, lease)]


def is_watcher(
    peers: members.MembersState, state: ZoneState, now_s: float
) -> bool:
    """Returns whether this VM watches the platform for its zone.

    The holder watches, and the first live VMs of the zone in name order.
    """
    if state.epoch:
        return True
    names = [
        peer.name
        for peer in peers.live_peers(now_s)
        if peer.zone == state.zone and not peer.leaving
    ]
    earlier = sum(name < state.vm_name for name in names)
    return earlier < WATCHERS_PER_ZONE
