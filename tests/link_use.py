"""Bytes that VMs sent over a link, as counted by the fault proxy."""

import collections

from standins import fleet
from standins.fault_proxy import counters

MIN_WINDOW_S = 1.0


def between(
    running: fleet.Fleet, source: str, destination: str
) -> dict[int, int]:
    """Returns the bytes from one region to another by index of time slice."""
    zones = running.layout.zone_numbers
    region_of = {
        zone: running.layout.deployment.region_of(zone) for zone in zones
    }
    used = collections.Counter()
    for series in running.stand_ins.traffic()["series"]:
        regions = (
            region_of.get(series["source"]),
            region_of.get(series["destination"]),
        )
        if regions == (source, destination):
            for start_s, size_bytes in series["slices"]:
                used[round(start_s / counters.SLICE_S)] += size_bytes
    return dict(used)


def excess_bytes(
    used: dict[int, int], rate_per_s: float, burst: float
) -> float:
    """Returns by how many bytes traffic exceeds a cap in any window.

    Args:
        used: Bytes by index of time slice.
        rate_per_s: Cap, in bytes per second.
        burst: Bytes allowed at once.

    Returns:
        The largest of bytes - (burst + cap x window) over all windows of at
        least `MIN_WINDOW_S`; 0 or less if the cap was kept.
    """
    if not used:
        return -burst
    first = min(used)
    sums = [0]
    for index in range(first, max(used) + 1):
        sums.append(sums[-1] + used.get(index, 0))
    min_slices = round(MIN_WINDOW_S / counters.SLICE_S)
    per_slice = rate_per_s * counters.SLICE_S
    worst = -burst
    for end in range(len(sums)):
        for begin in range(end - min_slices + 1):
            length = end - begin
            size = sums[end] - sums[begin]
            worst = max(worst, size - per_slice * length - burst)
    return worst
