"""Limits requests to targets that may have turned cold without notice.

VMs that are cut off from the store, and from all VMs that reach it, still
receive requests. The rate that a cold target takes is a sum over all VMs. VMs
that know that the target is cold space their requests (`pacing`). The others
divide the rest of the rate among themselves, which protects the target and
rejects few requests of their callers.
"""

import collections
import math

import attrs

from mulberrydeck.steering import admission
from mulberrydeck.steering import members

# A failing check of the store ends up to 1.4 s after the last successful one,
# and heartbeats then have to tell which other VMs lost the store as well.
STALE_AFTER_S = 2.5
# A second, plus the largest difference between the delays with which its first
# and its last request are written.
WINDOW_S = 1.0 + admission.SEND_WITHIN_S


@attrs.frozen
class Group:
    """Number of VMs by whether they know about changes of targets.

    Attributes:
        uninformed: VMs with stale data, including this one; 0 if the data of
            this VM is not stale.
        informed: Other VMs, which reach the store or are unreachable from
            here.
    """

    uninformed: int = 0
    informed: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether uninformed VMs limit their requests to targets.

        If most VMs are uninformed, the store is unavailable to all of them. No
        target could then report that it is warm, and a limit would reject
        requests without need.
        """
        return 0 < self.uninformed < self.informed


@attrs.define
class StalePacer:
    """Limits the requests of this VM to each target while its data is stale.

    Attributes:
        group: VMs among which the limit is divided.
        sent_s: Times of the latest requests, in seconds, by target.
    """

    group: Group = Group()
    sent_s: dict[str, collections.deque[float]] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )

    def may_send(
        self, now_s: float, name: str, limit_per_s: float, senders: int
    ) -> bool:
        """Returns whether this VM may send a request to a target now.

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            limit_per_s: Requests per second that it takes from all VMs while
                it is cold.
            senders: Number of VMs that send to it if all of them know that it
                is cold, each at most one request per second.
        """
        if not self.group.is_limited:
            return True
        informed = min(self.group.informed, senders)
        share_per_s = (limit_per_s - informed) / self.group.uninformed
        if share_per_s <= 0:
            return False
        max_count = max(1, int(share_per_s))
        window_s = max(WINDOW_S, max_count / share_per_s)
        latest = self.sent_s[name]
        while latest and latest[0] <= now_s - window_s:
            latest.popleft()
        return len(latest) < max_count

    def record_sent(self, now_s: float, name: str) -> None:
        """Records a request to a target."""
        if self.group.is_limited:
            self.sent_s[name].append(now_s)

    def set_group(self, group: Group) -> bool:
        """Replaces the group; returns whether `is_limited` has changed."""
        changed = group.is_limited != self.group.is_limited
        self.group = group
        if not group.is_limited:
            self.sent_s.clear()
        return changed


def current_group(
    fleet: members.Fleet, now_s: float, staleness_s: float
) -> Group:
    """Returns how many VMs have stale data, and how many may have current data.

    Args:
        fleet: Known VMs.
        now_s: Current time, in seconds.
        staleness_s: Time for which changes in the store may have gone
            unnoticed by this VM, in seconds.
    """
    if not STALE_AFTER_S < staleness_s < math.inf:
        return Group()
    uninformed = sum(
        fleet.is_alive(peer, now_s) and not peer.reaches_store
        for peer in fleet.peers.values()
    )
    return Group(uninformed + 1, len(fleet.peers) - uninformed)
