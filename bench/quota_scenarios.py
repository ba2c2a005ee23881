"""Arrival patterns for the measurement of quota policy."""

import itertools
import random

import attrs

from mulberrydeck.quota import state
from mulberrydeck.quota.tests import fleet

VM_NAMES = tuple(itertools.chain(*fleet.VMS_BY_ZONE.values()))


@attrs.frozen
class Stream:
    """Poisson arrivals of one account.

    Attributes:
        bound: Rate and burst of the account.
        load: Rate of arrivals as a share of the account's rate.
        vms: VMs that the callers use, chosen uniformly at random.
        batch: Requests that arrive at the same instant.
    """

    bound: state.Bound
    load: float
    vms: tuple[str, ...] = VM_NAMES
    batch: int = 1


@attrs.frozen
class Scenario:
    """Streams of several accounts, with zones that are cut off.

    Attributes:
        name: Short description.
        streams: Arrivals of each account.
        duration_s: Length of the measurement, in seconds.
        cuts: Time from the start, in seconds, and zone that is then cut off.
    """

    name: str
    streams: tuple[Stream, ...]
    duration_s: float = 300.0
    cuts: tuple[tuple[float, str], ...] = ()

    @property
    def bounds(self) -> tuple[state.Bound, ...]:
        """Bounds of all accounts."""
        return tuple(stream.bound for stream in self.streams)

    def start_s(self) -> float:
        """Returns the time at which all buckets are full, in seconds."""
        fill_s = max(bound.burst / bound.rate_per_s for bound in self.bounds)
        return fleet.WARM_UP_S + fill_s + 1.0

    def arrivals(
        self, rng: random.Random, start_s: float
    ) -> list[tuple[float, str, str]]:
        """Returns time, VM and resource of each request, in order."""
        arrivals = []
        for stream in self.streams:
            at_s = start_s
            per_s = stream.load * stream.bound.rate_per_s / stream.batch
            while True:
                at_s += rng.expovariate(per_s)
                if at_s > start_s + self.duration_s:
                    break
                vm = rng.choice(stream.vms)
                arrival = (at_s, vm, stream.bound.resource)
                arrivals.extend([arrival] * stream.batch)
        return sorted(arrivals)


def _bound(name: str, rate_per_s: float, burst: float) -> state.Bound:
    return fleet.make_bound(name, rate_per_s, burst)


MEDIUM = _bound("medium", 50.0, 50.0)
SMALL = _bound("small", 1.0, 5.0)
OTHERS = tuple(
    Stream(_bound(f"other{number}", rate_per_s, burst), 0.5)
    for number, (rate_per_s, burst) in enumerate(
        [(50.0, 50.0), (20.0, 20.0), (10.0, 20.0), (2.0, 5.0)]
    )
)

ALL = (
    Scenario("skewed: one VM, load 0.8", (Stream(MEDIUM, 0.8, ("b1y",)),)),
    Scenario("skewed: lone holder VM", (Stream(MEDIUM, 0.8, ("c1x",)),)),
    Scenario("even: 10 VMs, load 0.8", (Stream(MEDIUM, 0.8),)),
    Scenario("even: 10 VMs, load 0.9", (Stream(MEDIUM, 0.9),)),
    Scenario("two VMs, load 0.8", (Stream(MEDIUM, 0.8, ("a1x", "c2x")),)),
    Scenario("small: 1/s, burst 5, load 0.3", (Stream(SMALL, 0.3),), 3000.0),
    Scenario("small: 1/s, burst 5, load 0.5", (Stream(SMALL, 0.5),), 3000.0),
    Scenario(
        "small: 2/s, burst 10, load 0.5",
        (Stream(_bound("small", 2.0, 10.0), 0.5),),
        3000.0,
    ),
    Scenario(
        "small: 5/s, burst 10, load 0.7",
        (Stream(_bound("small", 5.0, 10.0), 0.7),),
        1000.0,
    ),
    Scenario(
        "bursts of the whole burst from idle",
        (Stream(_bound("bursty", 10.0, 20.0), 0.1, VM_NAMES, 20),),
        2000.0,
    ),
    Scenario(
        "5x overload on all VMs, four others",
        (Stream(_bound("loud", 50.0, 50.0), 5.0), *OTHERS),
    ),
    Scenario(
        "5x overload on one VM, four others",
        (Stream(_bound("loud", 50.0, 50.0), 5.0, ("b1y",)), *OTHERS),
    ),
    Scenario(
        "zone b1 cut, even, load 0.5",
        (Stream(MEDIUM, 0.5),),
        cuts=((0.0, "b1"),),
    ),
    Scenario(
        "zone b1 cut, callers at b1, load 0.1",
        (Stream(MEDIUM, 0.1, ("b1x", "b1y")),),
        cuts=((0.0, "b1"),),
    ),
    Scenario(
        "zone b1 cut, even, small: 2/s, burst 10, load 0.3",
        (Stream(_bound("small", 2.0, 10.0), 0.3),),
        1500.0,
        cuts=((0.0, "b1"),),
    ),
)
