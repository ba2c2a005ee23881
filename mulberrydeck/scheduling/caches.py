"""What the targets of a service probably have cached.

Targets announce neither the size nor the content of their caches. A scheduler
knows which objects it has sent to a target and learns from durations up to
which recency an object is still cached there.
"""

import collections
import math

import attrs

# Objects of a target that are tracked; more than any cache is expected to hold.
MAX_TRACKED = 40
RANKS_PER_BUCKET = 2
# Assumed until observed: the most recent objects are cached, older ones may be.
RECENT_RANKS = 8
RECENT_PROBABILITY = 0.9
OLDER_PROBABILITY = 0.5
# Number of observations that the assumption counts for.
PRIOR_WEIGHT = 4.0
# A cache that is full evicts an object. This costs less the longer the object
# has not been requested.
EVICTION_PERIOD_S = 10.0


@attrs.define(eq=False)
class TargetCache:
    """Objects for which requests were sent to a target.

    Attributes:
        used_s: Time of the last request for each object, in seconds, by its
            hash, least recently used first.
    """

    used_s: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict
    )

    def use(self, now_s: float, object_digest: int | None) -> None:
        """Records that the target processes a request for an object."""
        if object_digest is None:
            return
        self.used_s[object_digest] = now_s
        self.used_s.move_to_end(object_digest)
        if len(self.used_s) > MAX_TRACKED:
            self.used_s.popitem(last=False)

    def discard(self, object_digest: int | None) -> None:
        """Records that the target did not process a request for an object."""
        self.used_s.pop(object_digest, None)

    def rank(self, object_digest: int | None) -> int | None:
        """Returns how many objects were used since one; None if it was not."""
        if object_digest not in self.used_s:
            return None
        for rank, digest in enumerate(reversed(self.used_s)):
            if digest == object_digest:
                return rank
        return None


def _prior(bucket: int) -> float:
    if bucket * RANKS_PER_BUCKET < RECENT_RANKS:
        return RECENT_PROBABILITY
    return OLDER_PROBABILITY


@attrs.define(eq=False)
class CacheModel:
    """Which objects the targets of a service probably still have cached.

    Attributes:
        cached: Number of runs with the object cached, by bucket of ranks.
        runs: Number of runs, by bucket of ranks.
    """

    cached: list[float] = attrs.field(
        factory=lambda: [
            PRIOR_WEIGHT * _prior(bucket)
            for bucket in range(MAX_TRACKED // RANKS_PER_BUCKET)
        ]
    )
    runs: list[float] = attrs.field(
        factory=lambda: [PRIOR_WEIGHT] * (MAX_TRACKED // RANKS_PER_BUCKET)
    )

    def probability(self, rank: int | None) -> float:
        """Returns the probability that an object of a rank is cached."""
        if rank is None:
            return 0.0
        bucket = rank // RANKS_PER_BUCKET
        return self.cached[bucket] / self.runs[bucket]

    def record(self, rank: int | None, was_cached: bool) -> None:
        """Records whether an object of a rank was cached."""
        if rank is None:
            return
        bucket = rank // RANKS_PER_BUCKET
        self.runs[bucket] += 1.0
        self.cached[bucket] += was_cached

    def capacity(self) -> int:
        """Returns the number of objects that a target probably caches."""
        for bucket, runs in enumerate(self.runs):
            if self.cached[bucket] < 0.5 * runs:
                return max(1, bucket * RANKS_PER_BUCKET)
        return MAX_TRACKED


def eviction_cost(cache: TargetCache, now_s: float, capacity: int) -> float:
    """Returns the cost of caching another object, between 0 and 1.

    Args:
        cache: Objects of the target.
        now_s: Current time, in seconds.
        capacity: Number of objects that the target caches.
    """
    if len(cache.used_s) < capacity:
        return 0.0
    for rank, used_s in enumerate(reversed(cache.used_s.values())):
        if rank == capacity - 1:
            return math.exp(-(now_s - used_s) / EVICTION_PERIOD_S)
    return 0.0
