"""The platform's list of VMs, which can lag behind the actual VMs."""

import collections
import time

import attrs

LISTS_KEPT = 256


@attrs.frozen
class ListedVm:
    """One VM as the platform lists it.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        peer_address: Where it receives peer messages, `ip:port`.
        leaving: Whether it is about to be stopped.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False


class VmList:
    """The current list and past ones, so that a stale list can be returned."""

    def __init__(self) -> None:
        self.past: collections.deque[tuple[float, tuple[ListedVm, ...]]] = (
            collections.deque([(0.0, ())], maxlen=LISTS_KEPT)
        )

    def replace(self, vms: tuple[ListedVm, ...]) -> None:
        """Sets the list."""
        self.past.append((time.monotonic(), vms))

    def lagged(self, lag_s: float) -> tuple[ListedVm, ...]:
        """Returns the list as it was `lag_s` seconds ago."""
        as_of_s = time.monotonic() - lag_s
        for since_s, vms in reversed(self.past):
            if since_s <= as_of_s:
                return vms
        return self.past[0][1]
