"""Weights of entry VMs: how much load each one bears relative to the others."""

from collections.abc import Sequence
import math

from mulberrydeck.steering import registry

# Cores of a VM that does not state them.
AVERAGE_CORES = 1.0
RESOURCES = ("cores", "memory_mb", "descriptors", "link_mbps")


def cores(record: registry.VmRecord) -> float:
    """Returns the processor cores of a VM, or 1.0 if they are unknown."""
    if record.capacity is None or record.capacity.cores <= 0.0:
        return AVERAGE_CORES
    return record.capacity.cores


def weights(capacities: Sequence[registry.VmCapacity | None]) -> list[float]:
    """Returns the relative rates of requests that VMs bear.

    Each request uses all resources, so that the scarcest one limits a VM. Of
    each resource, the rate is taken relative to the mean of the VMs that state
    it. A VM that states none has the mean weight of the others.

    Args:
        capacities: Capacities of the VMs that share a load.
    """
    if all(capacity == capacities[0] for capacity in capacities):
        return [1.0] * len(capacities)
    known = [capacity for capacity in capacities if capacity is not None]
    lowest = [math.inf] * len(known)
    for resource in RESOURCES:
        values = [getattr(capacity, resource) for capacity in known]
        stated = [value for value in values if value > 0.0]
        mean = sum(stated) / len(stated) if stated else 1.0
        lowest = [
            min(rate, value / mean if value > 0.0 else 1.0)
            for rate, value in zip(lowest, values, strict=True)
        ]
    average = sum(lowest) / len(lowest)
    rates = iter(lowest)
    return [
        average if capacity is None else next(rates) for capacity in capacities
    ]
