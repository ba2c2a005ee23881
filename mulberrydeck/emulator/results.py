"""What callers got on an emulated day."""

import collections

import attrs

WINDOW_S = 2.0


@attrs.frozen
class Ended:
    """How a caller's request ended.

    Attributes:
        kind: Name of its kind.
        region: Region of the caller.
        account: Its client account.
        arrived_s: When the caller first sent it, in seconds.
        taken_s: Time until its final answer, in seconds.
        status: Status of the final answer.
        on_time: Whether it was a success within the goal.
    """

    kind: str
    region: str
    account: str
    arrived_s: float
    taken_s: float
    status: int
    on_time: bool


@attrs.frozen
class Share:
    """Requests of one group.

    Attributes:
        asked: Requests of callers.
        served: Part that got a success.
        on_time: Part that got it within the goal.
        refused: Part that ended as not run.
        median_s: Median time to a success, in seconds.
        p99_s: Its 99th percentile, in seconds.
    """

    asked: int
    served: float
    on_time: float
    refused: float
    median_s: float
    p99_s: float


@attrs.define
class Results:
    """All requests of a day.

    Attributes:
        ended: Every request that ended.
        unknown_part: Part of the runs on objects that the target did not know.
    """

    ended: list[Ended] = attrs.field(factory=list)
    unknown_part: float = 0.0

    def whole(self) -> Share:
        """Returns the share over the whole day."""
        return share(self.ended)

    def by(self, member: str) -> dict[str, Share]:
        """Returns the share of each `kind`, `region` or `account`."""
        groups: dict[str, list[Ended]] = collections.defaultdict(list)
        for each in self.ended:
            groups[getattr(each, member)].append(each)
        return {name: share(groups[name]) for name in sorted(groups)}

    def worst_window(self) -> Share:
        """Returns the two seconds with the smallest part on time."""
        groups: dict[int, list[Ended]] = collections.defaultdict(list)
        for each in self.ended:
            groups[int(each.arrived_s / WINDOW_S)].append(each)
        shares = [share(group) for group in groups.values()]
        return min(shares, key=lambda each: each.on_time)


def share(ended: list[Ended]) -> Share:
    """Returns the share of a group of requests."""
    count = max(1, len(ended))
    times = sorted(each.taken_s for each in ended if each.status == 200)
    return Share(
        asked=len(ended),
        served=len(times) / count,
        on_time=sum(each.on_time for each in ended) / count,
        refused=sum(each.status in (429, 503) for each in ended) / count,
        median_s=_quantile(times, 0.5),
        p99_s=_quantile(times, 0.99),
    )


def _quantile(times: list[float], part: float) -> float:
    return times[int(part * (len(times) - 1))] if times else 0.0


def table(results: Results) -> str:
    """Returns the results as text."""
    lines = [
        f"{'':24}{'asked':>8}{'served':>8}{'on time':>9}{'refused':>9}"
        f"{'p50 ms':>8}{'p99 ms':>8}"
    ]
    lines.append(_line("whole day", results.whole()))
    for member in ("kind", "region", "account"):
        for name, group in results.by(member).items():
            lines.append(_line(f"{member} {name}", group))
    lines.append(_line("worst 2 s", results.worst_window()))
    lines.append(f"objects not known: {results.unknown_part:.1%} of the runs")
    return "\n".join(lines)


def _line(name: str, group: Share) -> str:
    return (
        f"{name:24}{group.asked:8}{group.served:8.3f}{group.on_time:9.3f}"
        f"{group.refused:9.3f}{group.median_s * 1000:8.0f}"
        f"{group.p99_s * 1000:8.0f}"
    )
