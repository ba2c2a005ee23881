"""Tables and checks of the demonstration."""

import collections

import attrs
from hdrh import histogram

from mulberrydeck.model import configuration
from standins import traffic
from standins import verdicts
from standins.target import behaviour

DRAIN_BOUND_S = 3.0
WITHDRAWAL_BOUND_S = 4.0
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
RATE_LIMITED = "rate-limited"
ROW = "{:<15} {:>6} {:>7} {:>8} {:>6} {:>8} {:>8}  {}"
PROMISE_ROW = "{:<58} {:>6}  {}"


@attrs.frozen
class OperatorAction:
    """A successful command of an operator.

    Attributes:
        name: Target or client account that it changed.
        time_s: Monotonic time at which the command returned, in seconds.
    """

    name: str
    time_s: float


@attrs.frozen
class Observations:
    """Everything that was recorded during the demonstration.

    Attributes:
        records: Requests as callers recorded them.
        runs: Runs of requests as targets recorded them.
        keys: Key of each client account.
        limits: Limit of each client account.
        drained: The drain of a target.
        withdrawn: The withdrawal of an account's key.
    """

    records: list[traffic.Record]
    runs: list[behaviour.Run]
    keys: dict[str, str]
    limits: dict[str, configuration.LimitRule]
    drained: OperatorAction
    withdrawn: OperatorAction


@attrs.frozen
class Promise:
    """A promise and how often it was broken.

    Attributes:
        text: Statement of the promise.
        broken: Number of violations.
    """

    text: str
    broken: int

    @property
    def is_kept(self) -> bool:
        """Returns whether there is no violation."""
        return self.broken == 0


def traffic_table(observed: Observations) -> str:
    """Returns a table of the outcomes of each account's requests."""
    by_account = collections.defaultdict(list)
    for record in observed.records:
        by_account[record.stream.account].append(record)
    head = ("account", "sent", "served", "refused", "lost", "p50 ms", "p99 ms")
    lines = [ROW.format(*head, "reasons")]
    for account in sorted(by_account):
        lines.append(account_row(account, by_account[account]))
    lines.append(account_row("all", observed.records))
    return "\n".join(lines)


def account_row(name: str, records: list[traffic.Record]) -> str:
    """Returns one row of the traffic table."""
    served = [record for record in records if not record.kind]
    lost = [record for record in records if is_lost(record)]
    kinds = collections.Counter(
        record.kind for record in records if record.kind
    )
    latencies = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for record in served:
        latencies.record_value(int(record.latency_s * 1e6))
    reasons = ", ".join(f"{kind} {n}" for kind, n in sorted(kinds.items()))
    return ROW.format(
        name,
        len(records),
        len(served),
        len(records) - len(served) - len(lost),
        len(lost),
        f"{latencies.get_value_at_percentile(50) / 1e3:.1f}",
        f"{latencies.get_value_at_percentile(99) / 1e3:.1f}",
        reasons or "-",
    )


def wrongful_refusals(observed: Observations) -> str:
    """Returns a sentence on refusals of accounts within their rate."""
    offered = collections.Counter()
    for stream in {record.stream for record in observed.records}:
        offered[stream.account] += stream.rate_per_s
    within = [
        record
        for record in observed.records
        if offered[record.stream.account]
        <= observed.limits[record.stream.account].rate_per_s
    ]
    refused = [record for record in within if record.kind == RATE_LIMITED]
    percent = 100 * len(refused) / max(1, len(within))
    return (
        f"Refused although within the rate: {len(refused)} of {len(within)} "
        f"({percent:.2f}%)."
    )


def is_lost(record: traffic.Record) -> bool:
    """Returns whether the outcome of a request is unknown to its caller."""
    return bool(record.kind) and not record.not_run


def check_promises(observed: Observations) -> list[Promise]:
    """Returns every promise with the number of its violations."""
    runs = observed.runs
    refused = {
        record.request_id for record in observed.records if record.not_run
    }
    runs_after_drain = verdicts.work_after(
        runs,
        observed.drained.name,
        observed.drained.time_s + DRAIN_BOUND_S,
    )
    lost = [record for record in observed.records if is_lost(record)]
    mismatched = [record for record in observed.records if record.is_mismatched]
    false_refusals = verdicts.false_refusals(runs, refused)
    leaks = verdicts.leaks(runs, list(observed.keys.values()))
    results = (
        ("No request is lost", lost),
        ("Fees and permits run at most once", verdicts.repeats(runs)),
        ("A request refused as not run was not run", false_refusals),
        ("Each response is complete and belongs to its request", mismatched),
        ("No target sees a key", leaks),
        ("No account gets more than rate and burst", over_limit(observed)),
        ("A drained target gets no new work after 3 s", runs_after_drain),
        ("A withdrawn key stops working within 4 s", late_runs(observed)),
    )
    return [Promise(text, len(violations)) for text, violations in results]


def promise_table(promises: list[Promise]) -> str:
    """Returns a table of all promises."""
    lines = ["", PROMISE_ROW.format("promise", "broken", "")]
    for promise in promises:
        verdict = "kept" if promise.is_kept else "BROKEN"
        lines.append(PROMISE_ROW.format(promise.text, promise.broken, verdict))
    return "\n".join(lines)


def over_limit(observed: Observations) -> list[str]:
    """Returns the accounts that got more than their rate and burst."""
    times = collections.defaultdict(list)
    for run in verdicts.ran(observed.runs):
        times[run.account].append(run.start_s)
    return [
        account
        for account, limit in observed.limits.items()
        if verdicts.excess(times[account], limit.rate_per_s, limit.burst) > 0
    ]


def late_runs(observed: Observations) -> list[behaviour.Run]:
    """Returns the runs of an account past the bound of its key's withdrawal."""
    deadline_s = observed.withdrawn.time_s + WITHDRAWAL_BOUND_S
    return [
        run
        for run in verdicts.ran(observed.runs)
        if run.account == observed.withdrawn.name and run.start_s > deadline_s
    ]
