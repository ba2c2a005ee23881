"""Bytes between zones, in total and over time."""

import collections
import time

import attrs

SLICE_S = 0.1
SLICES_KEPT = 9000


@attrs.define
class Series:
    """Bytes of one kind from one zone to another.

    Attributes:
        kind: Kind of link.
        source: Zone that sent.
        destination: Zone that received.
        total_bytes: Bytes since the start.
        slices: Start of a time slice on the monotonic clock, in seconds, and
            bytes in it.
    """

    kind: str
    source: str
    destination: str
    total_bytes: int = 0
    slices: collections.deque[list[float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=SLICES_KEPT)
    )

    def add(self, size_bytes: int) -> None:
        """Counts bytes now."""
        self.total_bytes += size_bytes
        start = int(time.monotonic() / SLICE_S) * SLICE_S
        if not self.slices or self.slices[-1][0] != start:
            self.slices.append([start, 0])
        self.slices[-1][1] += size_bytes


class Counters:
    """All series and the number of connections by kind.

    Attributes:
        series: Series by kind, sending and receiving zone.
        opened: Connections so far, by kind.
    """

    def __init__(self) -> None:
        self.series: dict[tuple[str, str, str], Series] = {}
        self.opened: collections.Counter[str] = collections.Counter()

    def series_of(self, kind: str, source: str, destination: str) -> Series:
        """Returns the series for a kind and a pair of zones."""
        key = (kind, source, destination)
        if key not in self.series:
            self.series[key] = Series(*key)
        return self.series[key]

    def report(self, since_s: float) -> dict[str, object]:
        """Returns everything as JSON-ready data.

        Args:
            since_s: Leave out slices that start before this monotonic time.
        """
        series = []
        for item in self.series.values():
            data = attrs.asdict(item)
            data["slices"] = [one for one in item.slices if one[0] >= since_s]
            series.append(data)
        return {"series": series, "opened": dict(self.opened)}
