"""Sums over all VMs that are divided in advance: cold rates and retries.

Loads answered: a zone of targets that return cold together, and a service
whose targets shed or fail while callers come back. Both bounds leave room for
a fixed part per VM, which holds without a message, also for a VM that is cut
off; the limits of client accounts do not, and are lent (`mulberrydeck.quota`).
"""

import math

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import stale_pacing

# Part of a bound that is used; the rest covers VMs that start or stop.
USED_PART = 0.8
MIN_VMS = 1


@attrs.define
class ColdPacer:
    """Spaces the requests of this VM to each cold target.

    Attributes:
        vm_digest: Hash of this VM's name.
        vm_digests: Hashes of the names of all VMs.
        overage: Factor on a target's rate that it still bears.
        extra: Requests a second beyond that which it still bears.
        next_s: When the next request may go to a target, by its name.
        stale: Bounds requests to targets that this VM may wrongly believe to
            be warm.
    """

    vm_digest: int
    overage: float
    extra: float
    vm_digests: tuple[int, ...] = ()
    next_s: dict[str, float] = attrs.field(factory=dict)
    stale: stale_pacing.StalePacer = attrs.field(
        factory=stale_pacing.StalePacer
    )

    def may_send(
        self, now_s: float, name: str, digest: int, rate_per_s: float
    ) -> bool:
        """Returns whether this VM may send a request to a cold target now.

        As many VMs as the target bears in one second may send to it, each one
        request per spacing, so that no second holds more than one of each.

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            digest: Hash of its name.
            rate_per_s: Requests per second that it takes; 0 if unlimited.
        """
        if rate_per_s <= 0:
            return True
        if now_s < self.next_s.get(name, -math.inf):
            return False
        most = self.most_senders(rate_per_s)
        if len(self.vm_digests) <= most:
            return True
        ranked = sorted(
            self.vm_digests, key=lambda vm: hashing.combine(vm, digest)
        )
        return self.vm_digest in ranked[:most]

    def may_send_warm(self, now_s: float, name: str, rate_per_s: float) -> bool:
        """Returns whether this VM may send to a target believed to be warm.

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            rate_per_s: Requests per second that it takes when cold; 0 if
                unlimited.
        """
        return rate_per_s <= 0 or self.stale.may_send(
            now_s,
            name,
            self.bound_per_s(rate_per_s),
            self.most_senders(rate_per_s),
        )

    def sent(self, now_s: float, name: str, rate_per_s: float) -> None:
        """Notes a request to a cold target."""
        if rate_per_s <= 0:
            return
        most = self.most_senders(rate_per_s)
        senders = max(MIN_VMS, min(most, len(self.vm_digests)))
        spacing_s = max(1.0, senders / rate_per_s)
        self.next_s[name] = now_s + spacing_s

    def bound_per_s(self, rate_per_s: float) -> float:
        """Returns how many requests a second a cold target bears."""
        return rate_per_s * self.overage + self.extra

    def most_senders(self, rate_per_s: float) -> int:
        """Returns how many VMs may send to a target in one second."""
        return max(1, int(self.bound_per_s(rate_per_s) * USED_PART))

    def drop_expired(self, now_s: float) -> None:
        """Drops targets whose spacing has passed."""
        self.next_s = {
            name: at_s for name, at_s in self.next_s.items() if at_s > now_s
        }


@attrs.define
class RetryBudget:
    """Retries that this VM may send to one service.

    Attributes:
        tokens: Retries that may be sent now.
        depth: Most tokens that are kept.
        ratio: Tokens earned per request.
    """

    tokens: float
    depth: float
    ratio: float

    def resize(self, other: "RetryBudget") -> None:
        """Takes the size of another budget over; what was spent stays spent."""
        self.depth = other.depth
        self.ratio = other.ratio
        self.tokens = min(self.tokens, self.depth)

    def earn(self) -> None:
        """Counts a request."""
        self.tokens = min(self.depth, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_budget(ratio: float, extra: float, vm_count: int) -> RetryBudget:
    """Returns the part of one VM of a service's retry budget.

    Spent in one window are at most the depth and what is earned in it, so the
    parts of all VMs stay below the bound in every window.

    Args:
        ratio: Retries per request that a service bears.
        extra: Retries beyond that in a window, over all VMs.
        vm_count: Number of VMs.
    """
    depth = max(1.0, extra * USED_PART / max(MIN_VMS, vm_count))
    return RetryBudget(tokens=depth, depth=depth, ratio=ratio * USED_PART)
