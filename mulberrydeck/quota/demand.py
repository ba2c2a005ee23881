"""Exponentially weighted estimate of the demand for a resource.

Arrivals are modelled as shot noise: with an exponential kernel of time
constant T, the variance of the estimated rate is the rate of squared batch
sizes divided by 2 T (Campbell's theorem). Arrivals within a short window count
as one batch, so that a single burst is not mistaken for a sustained rate.
"""

import math

import attrs

TIME_CONSTANT_S = 2.0
BATCH_WINDOW_S = 0.02
STANDARD_ERRORS = 2.0  # between the estimate and its lower bound


@attrs.define
class DemandEstimate:
    """Exponentially weighted rate of arrivals with its standard error.

    Attributes:
        rate_per_s: Estimated rate at `updated_s`, per second.
        squared_batches_per_s: Rate of squared batch sizes at `updated_s`, per
            second.
        updated_s: Time of the last arrival, in seconds.
        batch: Amount in the current window.
        batch_start_s: Start of the current window, in seconds.
    """

    rate_per_s: float = 0.0
    squared_batches_per_s: float = 0.0
    updated_s: float = 0.0
    batch: float = 0.0
    batch_start_s: float = -math.inf

    def add(self, now_s: float, amount: float) -> None:
        """Records an arrival of `amount` at `now_s`, in seconds."""
        if now_s - self.batch_start_s >= BATCH_WINDOW_S:
            self.batch = 0.0
            self.batch_start_s = now_s
        decay = self._decay(now_s)
        batch = self.batch + amount
        added_squares_per_s = (batch**2 - self.batch**2) / TIME_CONSTANT_S
        self.squared_batches_per_s = (
            self.squared_batches_per_s * decay + added_squares_per_s
        )
        self.rate_per_s = self.rate_per_s * decay + amount / TIME_CONSTANT_S
        self.batch = batch
        self.updated_s = now_s

    def rate_at(self, now_s: float) -> float:
        """Returns the estimated rate at `now_s`, per second."""
        return self.rate_per_s * self._decay(now_s)

    def lower_bound_at(self, now_s: float) -> float:
        """Returns the lower confidence bound of the rate, per second."""
        decay = self._decay(now_s)
        squared_batches_per_s = self.squared_batches_per_s * decay
        error_per_s = math.sqrt(squared_batches_per_s / (2 * TIME_CONSTANT_S))
        return max(0.0, self.rate_per_s * decay - STANDARD_ERRORS * error_per_s)

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return math.exp(-elapsed_s / TIME_CONSTANT_S)
