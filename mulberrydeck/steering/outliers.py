"""How long requests take on each target, beside those of its route.

Load answered: targets that work, but several times as slowly as the others of
their service. They answer no error and stay within their slots, so only the
time of their requests tells.
"""

import math

import attrs

# Weight of a new time of a route; a VM sees some requests of it a second.
ROUTE_WEIGHT = 0.05
# Weight of a new time at a target; three at five times the usual suffice.
TARGET_WEIGHT = 0.25
# One very late answer must not condemn a target alone.
MOST_SLOWNESS = 6.0
# A target that is avoided is tried again after some seconds.
FADE_S = 4.0
# An unknown object takes two to three times the usual; more is the target's
# own slowness.
SLOW_RATIO = 2.5


@attrs.define
class LatencyRatio:
    """Slowness of a target, 1 if it takes as long as others.

    Attributes:
        slowness: Its estimate when it was last seen.
        seen_s: When that was, in seconds.
    """

    slowness: float = 1.0
    seen_s: float = -math.inf

    def at(self, now_s: float) -> float:
        """Returns the estimate, which fades while nothing is seen."""
        faded = math.exp(-(now_s - self.seen_s) / FADE_S)
        return 1.0 + (self.slowness - 1.0) * faded

    def is_slow(self, now_s: float) -> bool:
        """Returns whether requests had better go elsewhere."""
        return self.slowness > SLOW_RATIO and self.at(now_s) > SLOW_RATIO


@attrs.define
class RouteLatencies:
    """Mean time of the attempts of each route.

    Attributes:
        mean_s: Mean times, in seconds, by name of the route.
    """

    mean_s: dict[str, float] = attrs.field(factory=dict)

    def relative(self, route: str, taken_s: float) -> float:
        """Returns a time relative to the mean of its route, and notes it."""
        mean_s = self.mean_s.get(route, taken_s)
        relative = min(MOST_SLOWNESS, taken_s / mean_s) if mean_s > 0 else 1.0
        # A slow target's times count no more than their bound, so that they
        # do not become the usual ones.
        noted_s = min(taken_s, SLOW_RATIO * mean_s)
        self.mean_s[route] = mean_s + ROUTE_WEIGHT * (noted_s - mean_s)
        return relative


def observe(pace: LatencyRatio, now_s: float, relative: float) -> None:
    """Notes how long a request took at a target, relative to its route."""
    before = pace.at(now_s)
    pace.slowness = before + TARGET_WEIGHT * (relative - before)
    pace.seen_s = now_s
