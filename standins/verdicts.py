"""Checks the run logs of targets for violations of guarantees."""

import collections
import collections.abc

import attrs

from standins.target import behaviour

NOT_RUN = "shed"

Runs = collections.abc.Iterable[behaviour.Run]


@attrs.frozen
class Repeat:
    """A single-run request that ran more than once.

    Attributes:
        account: Client account.
        run_id: Run identifier that the caller chose.
        runs: Number of runs.
    """

    account: str
    run_id: str
    runs: int


def ran(runs: Runs) -> list[behaviour.Run]:
    """Returns the requests that targets ran instead of shedding them."""
    return [run for run in runs if run.outcome != NOT_RUN]


def repeats(runs: Runs) -> list[Repeat]:
    """Returns single-run requests that ran more than once."""
    counts = collections.Counter(
        (run.account, run.run_id) for run in ran(runs) if run.run_id
    )
    return [
        Repeat(account, run_id, count)
        for (account, run_id), count in counts.items()
        if count > 1
    ]


def excess(
    times_s: collections.abc.Iterable[float], rate_per_s: float, burst: float
) -> float:
    """Returns by how much arrivals exceed a rate and burst.

    Args:
        times_s: Times of arrival, in seconds.
        rate_per_s: Allowed rate, in requests per second.
        burst: Allowed burst, in requests.

    Returns:
        The maximum of count - (burst + rate x window) over all windows, in
        requests; 0 or less if the limit was kept.
    """
    lowest = float("inf")
    worst = -float(burst)
    for index, time_s in enumerate(sorted(times_s)):
        level = index - rate_per_s * time_s
        lowest = min(lowest, level)
        worst = max(worst, level - lowest + 1 - burst)
    return worst


def leaks(
    runs: Runs, secrets: collections.abc.Collection[str]
) -> list[behaviour.Run]:
    """Returns the requests whose path or headers carried a key to a target.

    Args:
        runs: Logged requests.
        secrets: All keys that callers used.
    """
    return [
        run
        for run in runs
        if any(
            secret in text
            for secret in secrets
            for text in (run.path, *(value for _, value in run.headers))
        )
    ]


def work_after(runs: Runs, target: str, time_s: float) -> list[behaviour.Run]:
    """Returns the requests that reached a target after a time.

    Args:
        runs: Logged requests.
        target: Name of the target.
        time_s: Monotonic time, in seconds.
    """
    return [
        run for run in runs if run.target == target and run.start_s > time_s
    ]


def false_refusals(
    runs: Runs, refused_ids: collections.abc.Collection[str]
) -> list[behaviour.Run]:
    """Returns the runs of requests that were refused as "not run".

    Args:
        runs: Logged requests.
        refused_ids: Identifiers of requests refused as "not run".
    """
    return [run for run in ran(runs) if run.request_id in refused_ids]
