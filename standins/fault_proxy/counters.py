"""Byte counts between zones, in total and over time."""

import collections
import time

import attrs

SLICE_S = 0.1
SLICES_KEPT = 9000


@attrs.define
class Series:
    """Bytes sent over one kind of link from one zone to another.

    Attributes:
        kind: Kind of link.
        source: Sending zone.
        destination: Receiving zone.
        total_bytes: Bytes since the start.
        slices: Time slices, each with its start on the monotonic clock, in
            seconds, and the bytes sent in it.
    """

    kind: str
    source: str
    destination: str
    total_bytes: int = 0
    slices: collections.deque[list[float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=SLICES_KEPT)
    )

    def add(self, size_bytes: int) -> None:
        """Counts bytes in the current time slice."""
        self.total_bytes += size_bytes
        start = int(time.monotonic() / SLICE_S) * SLICE_S
        if not self.slices or self.slices[-1][0] != start:
            self.slices.append([start, 0])
        self.slices[-1][1] += size_bytes


class Counters:
    """All byte series, and the number of connections by kind of link.

    Attributes:
        series: Series by kind of link, sending zone and receiving zone.
        opened: Connections accepted so far, by kind of link.
    """

    def __init__(self) -> None:
        self.series: dict[tuple[str, str, str], Series] = {}
        self.opened: collections.Counter[str] = collections.Counter()

    def series_of(self, kind: str, source: str, destination: str) -> Series:
        """Returns the series for a kind of link and a pair of zones."""
        key = (kind, source, destination)
        if key not in self.series:
            self.series[key] = Series(*key)
        return self.series[key]

    def report(self, since_s: float) -> dict[str, object]:
        """Returns everything as JSON-ready data.

        Args:
            since_s: Monotonic time, in seconds; earlier slices are omitted.
        """
        listed = []
        for series in self.series.values():
            data = attrs.asdict(series)
            data["slices"] = [
                entry for entry in series.slices if entry[0] >= since_s
            ]
            listed.append(data)
        return {"series": listed, "opened": dict(self.opened)}
