"""The platform's list of VMs, which lags behind the truth."""

import collections
import time

import attrs

PAST_LISTS_KEPT = 256


@attrs.frozen
class ListedVm:
    """One VM as the platform lists it.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        peer_address: Where it receives peer messages, `ip:port`.
        leaving: Whether it is about to stop.
    """

    name: str
    zone: str
    peer_address: str
    leaving: bool = False


class VmList:
    """All states of the list, so that old ones can be shown."""

    def __init__(self) -> None:
        self.past: collections.deque[tuple[float, tuple[ListedVm, ...]]] = (
            collections.deque([(0.0, ())], maxlen=PAST_LISTS_KEPT)
        )

    def replace(self, vms: tuple[ListedVm, ...]) -> None:
        """Sets the list from now on."""
        self.past.append((time.monotonic(), vms))

    def shown(self, lag_s: float) -> tuple[ListedVm, ...]:
        """Returns the list as it was `lag_s` seconds ago."""
        then = time.monotonic() - lag_s
        for since, vms in reversed(self.past):
            if since <= then:
                return vms
        return self.past[0][1]
