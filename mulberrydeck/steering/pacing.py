"""Limits over all VMs that need no coordination: cold targets and retries.

They handle a zone whose targets all return cold at the same time, and a
service whose targets reject or fail requests while callers retry. Each VM
enforces a fixed share of the limit without any message, so the limit also
holds for a VM that is cut off. Both limits leave enough room for such shares;
the limits of client accounts do not, and are lent instead
(`mulberrydeck.quota`).
"""

import math

import attrs

from mulberrydeck.routing import hashing
from mulberrydeck.steering import stale_pacing

# Fraction of a limit that is used; the rest covers VMs that start or stop.
USED_FRACTION = 0.8
MIN_VMS = 1


@attrs.define
class ColdPacer:
    """Spaces the requests of this VM to each cold target.

    Attributes:
        vm_digest: Hash of the name of this VM.
        vm_digests: Hashes of the names of all VMs.
        overage: Factor on the rate of a cold target up to which it tolerates
            requests.
        extra: Requests per second that it tolerates beyond that.
        next_send_s: Earliest time of the next request, in seconds, by name of
            the target.
        stale: Limits requests to targets that this VM may wrongly believe to
            be warm.
    """

    vm_digest: int
    overage: float
    extra: float
    vm_digests: tuple[int, ...] = ()
    next_send_s: dict[str, float] = attrs.field(factory=dict)
    stale: stale_pacing.StalePacer = attrs.field(
        factory=stale_pacing.StalePacer
    )

    def may_send(
        self, now_s: float, name: str, digest: int, rate_per_s: float
    ) -> bool:
        """Returns whether this VM may send a request to a cold target now.

        At most as many VMs send as the target tolerates requests per second.
        No window of one second holds more than one request of each, whenever
        they are written (`admission.SEND_WITHIN_S`).

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            digest: Hash of its name.
            rate_per_s: Requests per second that it takes; 0 if unlimited.
        """
        if rate_per_s <= 0:
            return True
        if now_s < self.next_send_s.get(name, -math.inf):
            return False
        senders = self.max_senders(rate_per_s)
        if len(self.vm_digests) <= senders:
            return True
        ranked = sorted(
            self.vm_digests, key=lambda vm: hashing.combine(vm, digest)
        )
        return self.vm_digest in ranked[:senders]

    def may_send_warm(self, now_s: float, name: str, rate_per_s: float) -> bool:
        """Returns whether this VM may send to a target believed to be warm.

        Args:
            now_s: Current time, in seconds.
            name: Name of the target.
            rate_per_s: Requests per second that it takes while it is cold; 0
                if unlimited.
        """
        return rate_per_s <= 0 or self.stale.may_send(
            now_s,
            name,
            self.limit_per_s(rate_per_s),
            self.max_senders(rate_per_s),
        )

    def record_sent(self, now_s: float, name: str, rate_per_s: float) -> None:
        """Records a request to a cold target."""
        if rate_per_s <= 0:
            return
        max_senders = self.max_senders(rate_per_s)
        senders = max(MIN_VMS, min(max_senders, len(self.vm_digests)))
        spacing_s = max(stale_pacing.WINDOW_S, senders / rate_per_s)
        self.next_send_s[name] = now_s + spacing_s

    def limit_per_s(self, rate_per_s: float) -> float:
        """Returns how many requests per second a cold target tolerates."""
        return rate_per_s * self.overage + self.extra

    def max_senders(self, rate_per_s: float) -> int:
        """Returns how many VMs may send to a cold target in one second."""
        return max(1, int(self.limit_per_s(rate_per_s) * USED_FRACTION))

    def drop_expired(self, now_s: float) -> None:
        """Drops targets whose spacing has passed."""
        self.next_send_s = {
            name: at_s
            for name, at_s in self.next_send_s.items()
            if at_s > now_s
        }


@attrs.define
class RetryBudget:
    """Token bucket for the retries of this VM to one service.

    Attributes:
        tokens: Retries that may be sent now.
        capacity: Maximum number of tokens.
        ratio: Tokens added per request.
    """

    tokens: float
    capacity: float
    ratio: float

    def resize(self, other: "RetryBudget") -> None:
        """Takes over the size of another budget; adds no tokens."""
        self.capacity = other.capacity
        self.ratio = other.ratio
        self.tokens = min(self.tokens, self.capacity)

    def deposit(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_withdraw(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_budget(ratio: float, extra: float, vm_count: int) -> RetryBudget:
    """Returns the share of one VM in the retry budget of a service.

    A VM spends at most the capacity plus the tokens added in a window, so the
    sum over all VMs stays below the limit in every window.

    Args:
        ratio: Retries per request that a service tolerates.
        extra: Retries beyond that in a window, over all VMs.
        vm_count: Number of VMs.
    """
    capacity = max(1.0, extra * USED_FRACTION / max(MIN_VMS, vm_count))
    return RetryBudget(
        tokens=capacity, capacity=capacity, ratio=ratio * USED_FRACTION
    )
