"""Results of the callers' requests in an emulation."""

import collections

import attrs

WINDOW_S = 2.0


@attrs.frozen
class CompletedRequest:
    """Result of a caller's request.

    Attributes:
        kind: Name of its kind.
        region: Region of the caller.
        account: Client account of the caller.
        arrived_s: Time at which the caller first sent it, in seconds.
        latency_s: Time until the final response, in seconds.
        status: HTTP status of the final response.
        on_time: Whether it succeeded within the latency goal of its kind.
    """

    kind: str
    region: str
    account: str
    arrived_s: float
    latency_s: float
    status: int
    on_time: bool


@attrs.frozen
class GroupSummary:
    """Summary of a group of requests.

    Attributes:
        asked: Number of requests.
        served: Fraction that succeeded.
        on_time: Fraction that succeeded within the latency goal.
        refused: Fraction whose final response was a refusal (429 or 503).
        median_s: Median latency of the successful requests, in seconds.
        p99_s: 99th percentile of that latency, in seconds.
    """

    asked: int
    served: float
    on_time: float
    refused: float
    median_s: float
    p99_s: float


@attrs.define
class Results:
    """Results of all requests of an emulation.

    Attributes:
        completed: All completed requests.
        cache_miss_fraction: Fraction of the runs whose object was not in the
            target's cache.
        attempts: Number of attempts at targets.
        remote_attempts: Number of those at targets of another region than that
            of the VM.
    """

    completed: list[CompletedRequest] = attrs.field(factory=list)
    cache_miss_fraction: float = 0.0
    attempts: int = 0
    remote_attempts: int = 0

    @property
    def remote_fraction(self) -> float:
        """Fraction of the attempts that crossed a link between regions."""
        return self.remote_attempts / max(1, self.attempts)

    def overall(self) -> GroupSummary:
        """Returns the summary of all requests."""
        return summarize(self.completed)

    def by_attribute(self, attribute: str) -> dict[str, GroupSummary]:
        """Returns a summary for each `kind`, `region` or `account`."""
        groups: dict[str, list[CompletedRequest]] = collections.defaultdict(
            list
        )
        for request in self.completed:
            groups[getattr(request, attribute)].append(request)
        return {name: summarize(groups[name]) for name in sorted(groups)}

    def worst_window(self) -> GroupSummary:
        """Returns the summary of the 2 s with the lowest on-time fraction."""
        groups: dict[int, list[CompletedRequest]] = collections.defaultdict(
            list
        )
        for request in self.completed:
            groups[int(request.arrived_s / WINDOW_S)].append(request)
        summaries = [summarize(group) for group in groups.values()]
        return min(summaries, key=lambda summary: summary.on_time)


def summarize(completed: list[CompletedRequest]) -> GroupSummary:
    """Returns the summary of a group of requests."""
    count = max(1, len(completed))
    latencies = sorted(
        request.latency_s for request in completed if request.status == 200
    )
    return GroupSummary(
        asked=len(completed),
        served=len(latencies) / count,
        on_time=sum(request.on_time for request in completed) / count,
        refused=sum(request.status in (429, 503) for request in completed)
        / count,
        median_s=_quantile(latencies, 0.5),
        p99_s=_quantile(latencies, 0.99),
    )


def _quantile(values: list[float], fraction: float) -> float:
    return values[int(fraction * (len(values) - 1))] if values else 0.0


def format_table(results: Results) -> str:
    """Returns the results as a text table."""
    lines = [
        f"{'':24}{'asked':>8}{'served':>8}{'on time':>9}{'refused':>9}"
        f"{'p50 ms':>8}{'p99 ms':>8}"
    ]
    lines.append(_format_row("whole day", results.overall()))
    for attribute in ("kind", "region", "account"):
        for name, group in results.by_attribute(attribute).items():
            lines.append(_format_row(f"{attribute} {name}", group))
    lines.append(_format_row("worst 2 s", results.worst_window()))
    lines.append(
        f"objects not known: {results.cache_miss_fraction:.1%} of the runs; "
        f"in another region: {results.remote_fraction:.1%} of the attempts"
    )
    return "\n".join(lines)


def _format_row(name: str, group: GroupSummary) -> str:
    return (
        f"{name:24}{group.asked:8}{group.served:8.3f}{group.on_time:9.3f}"
        f"{group.refused:9.3f}{group.median_s * 1000:8.0f}"
        f"{group.p99_s * 1000:8.0f}"
    )
