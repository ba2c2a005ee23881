"""Expected work times, by route and by whether the object is cached."""

import attrs

# Weight of a new duration in the mean; a scheduler sees tens of requests of a
# route per second.
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
    """

    mean_s: dict[tuple[str, bool], float] = attrs.field(factory=dict)

    def expected_s(
        self, route: str, cached: bool, initial_s: float = INITIAL_S
    ) -> float:
        """Returns the expected duration at the usual speed, in seconds.

        Args:
            route: Name of the route.
            cached: Whether the target is expected to have the object cached.
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

    def record(self, route: str, cached: bool, duration_s: float) -> float:
        """Records a duration; returns its ratio to the expected one.

        Args:
            route: Name of the route.
            cached: Whether the target was expected to have the object cached.
            duration_s: Duration at the usual speed, in seconds.
        """
        duration_s = max(MIN_DURATION_S, duration_s)
        mean_s = self.mean_s.get((route, cached))
        if mean_s is None:
            self.mean_s[route, cached] = duration_s
            return 1.0
        ratio = duration_s / mean_s
        capped_s = min(ratio, MAX_RATIO) * mean_s
        self.mean_s[route, cached] = mean_s + EWMA_WEIGHT * (capped_s - mean_s)
        return ratio
