"""Latency outlier detection: finds targets that are slow for their routes.

A target may work several times as slowly as the others of its service without
returning errors or exceeding its slots, so only the latency of its requests
shows it.
"""

import math

import attrs

# Weight of a new latency in the mean of its route; a VM sees a few requests
# of a route per second.
ROUTE_EWMA_WEIGHT = 0.05
# Weight of a new ratio in the estimate of a target; three requests at five
# times the mean latency suffice to classify it as slow.
TARGET_EWMA_WEIGHT = 0.25
# Bounds the ratio, so that one very late response is not enough to classify a
# target as slow.
MAX_RATIO = 6.0
# Decay of the estimate, after which a slow target is tried again.
DECAY_S = 4.0
# A target takes two to three times the mean latency for an object that it does
# not know; a higher ratio means that the target itself is slow.
SLOW_RATIO = 2.5


@attrs.define
class LatencyRatio:
    """Latency of a target relative to the mean of the routes that it serves.

    Attributes:
        ratio: Estimate at the last observation; 1 for a mean latency.
        observed_s: Time of the last observation, in seconds.
    """

    ratio: float = 1.0
    observed_s: float = -math.inf

    def decayed(self, now_s: float) -> float:
        """Returns the estimate, which decays to 1 without observations."""
        factor = math.exp(-(now_s - self.observed_s) / DECAY_S)
        return 1.0 + (self.ratio - 1.0) * factor

    def is_slow(self, now_s: float) -> bool:
        """Returns whether other targets are preferred to this one."""
        return self.ratio > SLOW_RATIO and self.decayed(now_s) > SLOW_RATIO


@attrs.define
class RouteLatencies:
    """Mean latency of the attempts of each route.

    Attributes:
        mean_s: Mean latencies, in seconds, by name of the route.
    """

    mean_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, latency_s: float) -> float:
        """Records a latency; returns its ratio to the mean before it."""
        mean_s = self.mean_s.get(route, latency_s)
        ratio = min(MAX_RATIO, latency_s / mean_s) if mean_s > 0 else 1.0
        # Latencies of slow targets are capped, so that they do not raise the
        # mean until slow targets look normal.
        capped_s = min(latency_s, SLOW_RATIO * mean_s)
        self.mean_s[route] = mean_s + ROUTE_EWMA_WEIGHT * (capped_s - mean_s)
        return ratio


def observe(latency: LatencyRatio, now_s: float, ratio: float) -> None:
    """Updates the estimate of a target with the latency of a request.

    Args:
        latency: Estimate of the target, changed in place.
        now_s: Current time, in seconds.
        ratio: Latency relative to the mean of the route.
    """
    before = latency.decayed(now_s)
    latency.ratio = before + TARGET_EWMA_WEIGHT * (ratio - before)
    latency.observed_s = now_s
