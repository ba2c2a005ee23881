"""Compares detectors of bad targets on the same recorded outcomes.

Run `python -m bench.detectors`. All detectors observe the same seeded streams.
"""

from collections.abc import Callable
import random

import attrs

from bench import detector_candidates as candidates
from mulberrydeck.routing import detectors

SEED = 20261203
GOOD_RATE = 0.01
# Lengths, the warm-up and the horizon are numbers of requests.
GOOD_LENGTH = 500_000
ELEVATED_RATE = 0.03
BURST_LENGTH = 3
RUNS = 600
WARM_UP = 100
HORIZON = 2000
ONSET_LENGTH = 200
RATE_DENOMINATOR = 100_000


@attrs.frozen
class Stream:
    """Error rate of a target after it has turned bad.

    Attributes:
        name: Column heading in the table.
        rate_at: Error rate at a number of requests after the change.
    """

    name: str
    rate_at: Callable[[int], float]


@attrs.frozen
class Row:
    """Figures of one detector.

    Attributes:
        name: Name and parameters.
        false_ejections: False ejections per 100,000 requests: independent
            failures at 1%, in bursts at 1%, independent at 3%.
        delays: Median, 95th and 99th percentile of the delay in requests, by
            stream; the horizon if it was not detected.
    """

    name: str
    false_ejections: tuple[float, ...]
    delays: tuple[tuple[int, int, int], ...]


def _onset(position: int) -> float:
    share = min(1.0, position / ONSET_LENGTH)
    return GOOD_RATE + share * (0.5 - GOOD_RATE)


STREAMS = (
    Stream("20%", lambda _: 0.2),
    Stream("50%", lambda _: 0.5),
    Stream("100%", lambda _: 1.0),
    Stream("slow onset", _onset),
)

CANDIDATES: dict[str, Callable[[], object]] = {
    "misleading report alone": candidates.ReportOnly,
    "3 consecutive failures": lambda: candidates.ConsecutiveFailures(3),
    "5 consecutive failures": lambda: candidates.ConsecutiveFailures(5),
    "window, 4 of 20": lambda: detectors.FailureWindow(20, 4),
    "window, 5 of 20": lambda: detectors.FailureWindow(20, 5),
    "window, 8 of 50": lambda: detectors.FailureWindow(50, 8),
    "Shewhart, N=20, f=6": lambda: candidates.ShewhartChart(0.01, 20, 6.0),
    "Shewhart, N=20, f=8": lambda: candidates.ShewhartChart(0.01, 20, 8.0),
    "Shewhart, N=50, f=6": lambda: candidates.ShewhartChart(0.01, 50, 6.0),
    "SPRT, p*=20%, a=1e-4": lambda: _sprt(0.2, 1e-4),
    "SPRT, p*=20%, a=1e-5": lambda: _sprt(0.2, 1e-5),
    "SPRT, p*=20%, a=1e-6": lambda: _sprt(0.2, 1e-6),
    "SPRT, p*=30%, a=1e-4": lambda: _sprt(0.3, 1e-4),
    "SPRT, p*=30%, a=1e-5": lambda: _sprt(0.3, 1e-5),
    "SPRT, p*=50%, a=1e-5": lambda: _sprt(0.5, 1e-5),
}


def _sprt(bad_rate: float, false_alarm: float) -> candidates.SequentialTest:
    return candidates.SequentialTest(GOOD_RATE, bad_rate, false_alarm)


def record_good(rate: float, seed: int) -> list[bool]:
    """Returns outcomes of a good target whose failures are independent."""
    rng = random.Random(seed)
    return [rng.random() < rate for _ in range(GOOD_LENGTH)]


def record_bursts(seed: int) -> list[bool]:
    """Returns outcomes of a good target whose failures come in bursts."""
    rng = random.Random(seed)
    outcomes: list[bool] = []
    while len(outcomes) < GOOD_LENGTH:
        failed = rng.random() < GOOD_RATE / BURST_LENGTH
        outcomes.extend([True] * BURST_LENGTH if failed else [False])
    return outcomes[:GOOD_LENGTH]


def record_bad(stream: Stream, seed: int) -> list[list[bool]]:
    """Returns runs of a target that is good at first and then turns bad."""
    rng = random.Random(seed)
    runs = []
    for _ in range(RUNS):
        good = [rng.random() < GOOD_RATE for _ in range(WARM_UP)]
        bad = [
            rng.random() < stream.rate_at(position)
            for position in range(HORIZON)
        ]
        runs.append(good + bad)
    return runs


def false_ejections(detector: object, outcomes: list[bool]) -> float:
    """Returns the false ejections per 100,000 requests."""
    signals = sum(candidates.observe(detector, failed) for failed in outcomes)
    return signals * RATE_DENOMINATOR / len(outcomes)


def delay(detector: object, outcomes: list[bool]) -> int:
    """Returns the number of requests from the change to its detection."""
    for position, failed in enumerate(outcomes):
        if candidates.observe(detector, failed) and position >= WARM_UP:
            return position - WARM_UP + 1
    return HORIZON


def compare() -> list[Row]:
    """Runs all detectors over the same streams."""
    good = (
        record_good(GOOD_RATE, SEED),
        record_bursts(SEED),
        record_good(ELEVATED_RATE, SEED),
    )
    bad = [record_bad(stream, SEED) for stream in STREAMS]
    rows = []
    for name, make in CANDIDATES.items():
        delays = []
        for runs in bad:
            ranked = sorted(delay(make(), run) for run in runs)
            delays.append(
                tuple(ranked[int(RUNS * q)] for q in (0.5, 0.95, 0.99))
            )
        false_rates = tuple(
            false_ejections(make(), outcomes) for outcomes in good
        )
        rows.append(Row(name, false_rates, tuple(delays)))
    return rows


def render(rows: list[Row]) -> str:
    """Returns the comparison as a Markdown table."""
    headings = [stream.name for stream in STREAMS]
    lines = [
        "| detector | false at 1% | in bursts | at 3% | "
        + " | ".join(headings)
        + " |",
        "|---|---|---|---|" + "---|" * len(headings),
    ]
    for row in rows:
        false_rates = " | ".join(f"{rate:.1f}" for rate in row.false_ejections)
        delays = " | ".join(
            f"{p50} / {p95} / {p99}" for p50, p95, p99 in row.delays
        )
        lines.append(f"| {row.name} | {false_rates} | {delays} |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(render(compare()))
