"""Bounds what VMs send to targets that may have turned cold unheard.

Load answered: VMs that are cut off from the store and from the VMs that reach
it, while callers still come. A target bears a sum over all VMs while it is
cold. Those that know space their requests (`pacing`); those that do not know
share the rest, so that their callers lose little and the target is spared.
"""

import collections
import math

import attrs

from mulberrydeck.steering import members

# A check of the store that fails ends up to 1.4 s after the last one that did
# not, and the other VMs say in heartbeats that they have lost it as well.
STALE_AFTER_S = 2.5
WINDOW_S = 1.0


@attrs.frozen
class Group:
    """VMs that know as little as this one, and those that may know more.

    Attributes:
        uninformed: VMs whose news are old, this one included; 0 if this one's
            are not.
        informed: Other VMs, which reach the store or are not heard.
    """

    uninformed: int = 0
    informed: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether VMs of this group spare targets.

        Where most VMs know no more than this one, the store is away for all;
        no entry can tell then, and sparing would cost callers for nothing.
        """
        return 0 < self.uninformed < self.informed


@attrs.define
class StalePacer:
    """Bounds the requests of this VM to each target while its news are old.

    Attributes:
        group: Who shares the bound.
        sent_s: Times of the latest requests, in seconds, by target.
    """

    group: Group = Group()
    sent_s: dict[str, collections.deque[float]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def may_send(
        self, now_s: float, name: str, bound_per_s: float, senders: int
    ) -> bool:
        """Returns whether this VM may send a request to a target now.

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            bound_per_s: Requests per second that it bears when cold.
            senders: VMs that send to it when all know that it is cold, each
                one request in a second at most.
        """
        if not self.group.is_limited:
            return True
        informed = min(self.group.informed, senders)
        left_per_s = (bound_per_s - informed) / self.group.uninformed
        if left_per_s <= 0:
            return False
        count = max(1, int(left_per_s * WINDOW_S))
        window_s = max(WINDOW_S, count / left_per_s)
        latest = self.sent_s[name]
        while latest and latest[0] <= now_s - window_s:
            latest.popleft()
        return len(latest) < count

    def sent(self, now_s: float, name: str) -> None:
        """Notes a request to a target."""
        if self.group.is_limited:
            self.sent_s[name].append(now_s)

    def set_group(self, group: Group) -> bool:
        """Takes a group over; returns whether `is_limited` has changed."""
        changed = group.is_limited != self.group.is_limited
        self.group = group
        if not group.is_limited:
            self.sent_s.clear()
        return changed


def current_group(
    fleet: members.Fleet, now_s: float, news_age_s: float
) -> Group:
    """Returns which VMs share what this one does not know.

    Args:
        fleet: Known VMs.
        now_s: Current time, in seconds.
        news_age_s: For how long changes in the store may be unknown here, in
            seconds.
    """
    if not STALE_AFTER_S < news_age_s < math.inf:
        return Group()
    uninformed = sum(
        fleet.is_alive(peer, now_s) and not peer.reaches_store
        for peer in fleet.peers.values()
    )
    return Group(uninformed + 1, len(fleet.peers) - uninformed)
