"""Detectors that `bench.detectors` compares with the one in use."""

import math

import attrs

from mulberrydeck.routing import detectors


@attrs.define
class ConsecutiveFailures:
    """Signals after a number of consecutive failures.

    Attributes:
        limit: Consecutive failures at which it signals.
        consecutive: Failures since the last success.
    """

    limit: int = 5
    consecutive: int = 0


@attrs.define
class ShewhartChart:
    """Shewhart p-chart over batches of outcomes.

    Attributes:
        good_rate: Error rate of a good target.
        batch_size: Outcomes per batch.
        factor: Width of the control limit, in standard deviations.
        count: Outcomes in the current batch.
        failures: Failures in the current batch.
    """

    good_rate: float = 0.01
    batch_size: int = 20
    factor: float = 6.0
    count: int = 0
    failures: int = 0


@attrs.define
class SequentialTest:
    """Wald's sequential probability ratio test, restarted when it accepts.

    Attributes:
        good_rate: Error rate of a good target.
        bad_rate: Error rate of a target that must be detected.
        false_alarm: Probability that one test signals on a good target.
        miss: Probability that one test accepts a bad target.
        score: Log likelihood ratio of bad against good so far.
    """

    good_rate: float = 0.01
    bad_rate: float = 0.3
    false_alarm: float = 1e-5
    miss: float = 0.01
    score: float = 0.0


@attrs.define
class ReportOnly:
    """Relies on health reports alone, which here never report a fault."""


Detector = (
    ConsecutiveFailures
    | ShewhartChart
    | SequentialTest
    | ReportOnly
    | detectors.FailureWindow
)


def observe(detector: Detector, failed: bool) -> bool:
    """Records one outcome and returns whether the target counts as bad.

    A detector that has signalled is reset.

    Args:
        detector: The detector, changed in place.
        failed: Whether the request failed because of the target.
    """
    match detector:
        case ConsecutiveFailures():
            return _observe_consecutive(detector, failed)
        case ReportOnly():
            return False
        case detectors.FailureWindow():
            return detectors.observe(detector, failed)
        case ShewhartChart():
            return _observe_batch(detector, failed)
        case SequentialTest():
            return _observe_sequence(detector, failed)


def _observe_consecutive(detector: ConsecutiveFailures, failed: bool) -> bool:
    detector.consecutive = detector.consecutive + 1 if failed else 0
    if detector.consecutive < detector.limit:
        return False
    detector.consecutive = 0
    return True


def _observe_batch(detector: ShewhartChart, failed: bool) -> bool:
    detector.count += 1
    detector.failures += failed
    if detector.count < detector.batch_size:
        return False
    observed = detector.failures / detector.count
    variance = detector.good_rate * (1 - detector.good_rate) / detector.count
    detector.count = 0
    detector.failures = 0
    return observed > detector.good_rate + detector.factor * math.sqrt(variance)


def _observe_sequence(detector: SequentialTest, failed: bool) -> bool:
    if failed:
        ratio = detector.bad_rate / detector.good_rate
    else:
        ratio = (1 - detector.bad_rate) / (1 - detector.good_rate)
    detector.score += math.log(ratio)
    if detector.score >= math.log((1 - detector.miss) / detector.false_alarm):
        detector.score = 0.0
        return True
    if detector.score <= math.log(detector.miss / (1 - detector.false_alarm)):
        detector.score = 0.0
    return False
