"""Results of the callers' requests in an emulation."""

import collections
import statistics

import attrs

WINDOW_S = 2.0
# The printed table sums up accounts beyond those with the most requests.
MAX_PRINTED_ACCOUNTS = 8


@attrs.define(eq=False)
class Wait:
    """Whether a request waited at targets.

    Attributes:
        waited: Whether it waited for a slot of a target.
        beside_free_slot: Whether another target of the service and region had a
            free slot during that time.
    """

    waited: bool = False
    beside_free_slot: bool = False


@attrs.frozen
class CompletedRequest:
    """Result of a caller's request.

    Attributes:
        kind: Name of its kind.
        region: Region of the caller.
        account: Client account of the caller.
        arrived_s: Time at which the caller first sent it, in seconds.
        latency_s: Time until the final response, in seconds.
        status: HTTP status of the final response; 0 if there was none.
        on_time: Whether it succeeded within the latency goal of its kind.
        value: Value of the response.
        max_value: Value of a response on time.
        waited: Whether it waited for a slot of a target.
        waited_beside_free: Whether it did while another target of the service
            and region had a free slot.
    """

    kind: str
    region: str
    account: str
    arrived_s: float
    latency_s: float
    status: int
    on_time: bool
    value: float = 0.0
    max_value: float = 0.0
    waited: bool = False
    waited_beside_free: bool = False

    @property
    def late(self) -> bool:
        """Whether it succeeded after the latency goal of its kind."""
        return self.status == 200 and not self.on_time


@attrs.frozen
class GroupSummary:
    """Summary of a group of requests.

    Attributes:
        asked: Number of requests.
        served: Fraction that succeeded.
        on_time: Fraction that succeeded within the latency goal.
        late: Fraction that succeeded after the latency goal.
        refused: Fraction whose final response was a refusal (429 or 503).
        median_s: Median latency of the successful requests, in seconds.
        p99_s: 99th percentile of that latency, in seconds.
        value: Value of all responses as a fraction of the highest possible one.
        waited: Fraction that waited for a slot of a target.
        waited_beside_free: Fraction that did while another target of the
            service and region had a free slot.
    """

    asked: int
    served: float
    on_time: float
    late: float
    refused: float
    median_s: float
    p99_s: float
    value: float
    waited: float
    waited_beside_free: float


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
        target_rejections: Number of attempts that full targets rejected.
        started: Number of requests that callers sent, without repetitions.
        unevenness: 95th percentile less median of the slots in use over the
            targets of a service and region, in each window, by service and
            region.
    """

    completed: list[CompletedRequest] = attrs.field(factory=list)
    cache_miss_fraction: float = 0.0
    attempts: int = 0
    remote_attempts: int = 0
    target_rejections: int = 0
    started: int = 0
    unevenness: dict[tuple[str, str], list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    @property
    def remote_fraction(self) -> float:
        """Fraction of the attempts that crossed a link between regions."""
        return self.remote_attempts / max(1, self.attempts)

    @property
    def unanswered(self) -> int:
        """Number of requests without a final response."""
        return sum(request.status == 0 for request in self.completed)

    def mean_unevenness(self) -> float:
        """Returns the mean unevenness over all windows, in slots.

        Each service and region counts equally.
        """
        means = [statistics.fmean(each) for each in self.unevenness.values()]
        return statistics.fmean(means) if means else 0.0

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
        late=sum(request.late for request in completed) / count,
        refused=sum(request.status in (429, 503) for request in completed)
        / count,
        median_s=_quantile(latencies, 0.5),
        p99_s=_quantile(latencies, 0.99),
        value=sum(request.value for request in completed)
        / (sum(request.max_value for request in completed) or 1.0),
        waited=sum(request.waited for request in completed) / count,
        waited_beside_free=sum(
            request.waited_beside_free for request in completed
        )
        / count,
    )


def _quantile(values: list[float], fraction: float) -> float:
    return values[int(fraction * (len(values) - 1))] if values else 0.0


def format_table(results: Results) -> str:
    """Returns the results as a text table."""
    lines = [
        f"{'':24}{'asked':>8}{'served':>8}{'on time':>9}{'late':>8}"
        f"{'refused':>9}{'value':>8}{'waited':>8}{'beside free':>12}"
        f"{'p50 ms':>8}{'p99 ms':>8}"
    ]
    lines.append(_format_row("whole day", results.overall()))
    for attribute in ("kind", "region"):
        for name, group in results.by_attribute(attribute).items():
            lines.append(_format_row(f"{attribute} {name}", group))
    lines += _format_accounts(results)
    lines.append(_format_row("worst 2 s", results.worst_window()))
    lines.append(
        f"objects not known: {results.cache_miss_fraction:.1%} of the runs; "
        f"in another region: {results.remote_fraction:.1%} of the attempts; "
        f"rejected by full targets: {results.target_rejections}; "
        f"without a response: {results.unanswered}"
    )
    lines.append(
        "slots in use, 95th percentile less median: "
        f"{results.mean_unevenness():.2f}"
    )
    for (service, region), values in sorted(results.unevenness.items()):
        lines.append(f"  {service} {region}: {statistics.fmean(values):.2f}")
    return "\n".join(lines)


def _format_accounts(results: Results) -> list[str]:
    """Returns a row for each large account and one for all others."""
    groups = results.by_attribute("account")
    names = sorted(groups, key=lambda name: -groups[name].asked)
    printed = sorted(names[:MAX_PRINTED_ACCOUNTS])
    lines = [_format_row(f"account {name}", groups[name]) for name in printed]
    others = set(names[MAX_PRINTED_ACCOUNTS:])
    if others:
        rest = [each for each in results.completed if each.account in others]
        name = f"{len(others)} other accounts"
        lines.append(_format_row(name, summarize(rest)))
    return lines


def _format_row(name: str, group: GroupSummary) -> str:
    return (
        f"{name:24}{group.asked:8}{group.served:8.3f}{group.on_time:9.3f}"
        f"{group.late:8.3f}{group.refused:9.3f}{group.value:8.3f}"
        f"{group.waited:8.3f}{group.waited_beside_free:12.3f}"
        f"{group.median_s * 1000:8.0f}"
        f"{group.p99_s * 1000:8.0f}"
    )
