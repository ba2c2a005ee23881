"""Headroom of this VM: a factor on its share of callers when it runs short."""

import math

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import state as states

# Callers keep lists for 3 s and heartbeats take up to 2 s, in which a burst may
# take what is left above this use.
FULL_UP_TO_USE = 0.7
LEAST_FROM_USE = 0.95
# Some callers still come, so that the VM is seen to work and to recover.
MIN_HEADROOM = 0.1


def of_use(use: float) -> float:
    """Returns the headroom of a VM.

    Args:
        use: Used part of its scarcest resource.
    """
    if use <= FULL_UP_TO_USE:
        return 1.0
    rise = (use - FULL_UP_TO_USE) / (LEAST_FROM_USE - FULL_UP_TO_USE)
    # Two decimals keep digests of heartbeats short.
    return max(MIN_HEADROOM, round(1.0 - (1.0 - MIN_HEADROOM) * rise, 2))


def bounded(reported: float) -> float:
    """Returns a reported headroom within the bounds of this module."""
    if math.isnan(reported):
        return 1.0
    return max(MIN_HEADROOM, min(1.0, reported))


def greatest_use(
    settings: settings_module.SteeringSettings, measured: events.UseMeasured
) -> float:
    """Returns the used part of the scarcest resource whose limit is known."""
    pairs = (
        (measured.memory_mb, settings.memory_mb),
        (measured.descriptors, settings.max_descriptors),
        (measured.link_mbps, settings.link_mbps),
    )
    return max((used / limit for used, limit in pairs if limit > 0), default=0)


def apply(state: states.State, event: events.UseMeasured) -> list[object]:
    """Updates the headroom of this VM; logs when it leaves or reaches 1."""
    previous = state.headroom
    state.headroom = of_use(greatest_use(state.settings, event))
    if (previous < 1.0) == (state.headroom < 1.0):
        return []
    fields = {
        "headroom": state.headroom,
        "memory_mb": round(event.memory_mb, 1),
        "descriptors": event.descriptors,
        "link_mbps": round(event.link_mbps, 3),
    }
    text = "This VM has enough memory, descriptors and link again."
    if state.headroom < 1.0:
        text = "This VM is short of memory, descriptors or link."
    return [effects.Log("steer", text, fields)]
