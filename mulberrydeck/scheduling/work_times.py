"""Expected work times, by route and by whether the object is cached.

Targets do not tell whether they had an object cached, so that durations are
divided into two groups: those near the mean of cached objects, and those near
the mean of others.
"""

import math

import attrs

# Weight of a new duration in a mean, once enough were observed.
EWMA_WEIGHT = 0.05
# Until durations of both kinds were observed, work on a cached object is
# expected to take this fraction of the work on another.
CACHED_FRACTION = 0.35
# Expected before the first observation, in seconds.
INITIAL_S = 0.5
# Caps a duration relative to the mean, so that the few requests with a long
# tail of work do not dominate it.
MAX_RATIO = 3.0
# Shortest duration; other durations are divided by expected ones.
MIN_DURATION_S = 0.001


@attrs.define
class WorkTimes:
    """Mean durations of attempts.

    Attributes:
        mean_s: Mean duration, in seconds, by route and whether the object was
            cached.
        counts: Number of durations in each mean.
    """

    mean_s: dict[tuple[str, bool], float] = attrs.field(factory=dict)
    counts: dict[tuple[str, bool], int] = attrs.field(factory=dict)

    def expected_s(
        self, route: str, cached: bool, initial_s: float = INITIAL_S
    ) -> float:
        """Returns the expected duration at the usual speed, in seconds.

        Args:
            route: Name of the route.
            cached: Whether the target has the object cached.
            initial_s: Duration without the object cached, before the first
                observation, in seconds.
        """
        known = self.mean_s.get((route, cached))
        if known is not None:
            return known
        other = self.mean_s.get((route, not cached))
        if other is None:
            return initial_s * CACHED_FRACTION if cached else initial_s
        return other * CACHED_FRACTION if cached else other / CACHED_FRACTION

    def was_cached(self, route: str, duration_s: float) -> bool:
        """Returns whether a duration indicates that the object was cached."""
        if (route, False) not in self.mean_s:
            return False
        cached_s = self.expected_s(route, True)
        uncached_s = self.expected_s(route, False)
        return duration_s < math.sqrt(cached_s * uncached_s)

    def record(self, route: str, duration_s: float) -> None:
        """Records a duration at the usual speed, in seconds."""
        duration_s = max(MIN_DURATION_S, duration_s)
        group = (route, self.was_cached(route, duration_s))
        mean_s = self.mean_s.get(group, duration_s)
        count = self.counts.get(group, 0) + 1
        weight = max(EWMA_WEIGHT, 1.0 / count)
        capped_s = min(duration_s, MAX_RATIO * mean_s)
        self.mean_s[group] = mean_s + weight * (capped_s - mean_s)
        self.counts[group] = count
