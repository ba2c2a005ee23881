"""Measures what this process uses of its machine."""

from collections.abc import Callable
import contextlib
import os
import pathlib
import resource

from mulberrydeck.steering import events

BYTES_PER_MB = 1_000_000
BITS_PER_MBIT = 1_000_000
BITS_PER_BYTE = 8
STATM_PATH = pathlib.Path("/proc/self/statm")
DESCRIPTORS_PATH = "/proc/self/fd"
MIN_ELAPSED_S = 1e-3
# A large body counts when it has been sent completely, although its transfer
# took seconds.
LINK_SMOOTHING = 0.5


class UseMeter:
    """Measures the memory, descriptors and link that the process uses.

    Attributes:
        transferred_bytes: Returns the bytes that callers have sent and received
            so far. A VM passes all of them on, so that its link carries their
            sum in each direction.
        measured_s: When the use was last measured, in seconds.
        memory_mb: Resident memory as last measured, in MB.
        link_mbps: Smoothed use of the link, in Mbit/s.
    """

    def __init__(
        self, transferred_bytes: Callable[[], int], now_s: float
    ) -> None:
        self.transferred_bytes = transferred_bytes
        self.known_bytes = transferred_bytes()
        self.measured_s = now_s
        self.memory_mb = 0.0
        self.link_mbps = 0.0

    def measure(self, now_s: float) -> events.UseMeasured:
        """Returns the use, of the link since the last measurement.

        Args:
            now_s: Current time, in seconds.
        """
        elapsed_s = max(MIN_ELAPSED_S, now_s - self.measured_s)
        total_bytes = self.transferred_bytes()
        bits = (total_bytes - self.known_bytes) * BITS_PER_BYTE
        self.known_bytes = total_bytes
        self.measured_s = now_s
        rate_mbps = bits / elapsed_s / BITS_PER_MBIT
        self.link_mbps += LINK_SMOOTHING * (rate_mbps - self.link_mbps)
        self._measure_memory()
        return events.UseMeasured(
            now_s,
            memory_mb=self.memory_mb,
            descriptors=open_descriptors(),
            link_mbps=self.link_mbps,
        )

    def _measure_memory(self) -> None:
        # Without free descriptors, the file cannot be opened.
        with contextlib.suppress(OSError):
            pages = int(STATM_PATH.read_bytes().split()[1])
            self.memory_mb = pages * resource.getpagesize() / BYTES_PER_MB


def open_descriptors() -> int:
    """Returns the number of open file descriptors of this process."""
    try:
        # The listing itself has one open.
        return len(os.listdir(DESCRIPTORS_PATH)) - 1
    except OSError:
        # No descriptor is free for the listing.
        return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
