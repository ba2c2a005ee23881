"""Decaying estimate of the rate at which a resource is wanted."""

import math

import attrs

TIME_CONSTANT_S = 2.0
NEGLIGIBLE_RATIO = 1e-3


@attrs.define
class DemandEstimate:
    """Exponentially weighted rate of arrivals.

    Attributes:
        rate_per_s: Estimate at `updated_s`, in amounts per second.
        updated_s: Time of the last change, in seconds.
    """

    rate_per_s: float = 0.0
    updated_s: float = 0.0

    def add(self, now_s: float, amount: float) -> None:
        """Counts an arrival of `amount` at `now_s`, in seconds."""
        self.rate_per_s = self.at(now_s) + amount / TIME_CONSTANT_S
        self.updated_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the estimate at `now_s`, in amounts per second."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.rate_per_s * math.exp(-elapsed_s / TIME_CONSTANT_S)
