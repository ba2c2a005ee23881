"""Lookup responses: the entry VMs that a caller should use now.

Callers keep a response for some seconds and choose one of its VMs at random, so
that the VMs of a region share its load: equally if they are equal, otherwise
in proportion to their weights. Only the callers of a region without a live VM
are sent to other regions.
"""

import random

from mulberrydeck.steering import capacity
from mulberrydeck.steering import headroom
from mulberrydeck.steering import registry
from mulberrydeck.steering import sampling
from mulberrydeck.steering import state as states

MAX_ADDRESSES = 64
# Callers need other VMs to go to when one fails.
MIN_ADDRESSES = 3
RESPONSE_LIFETIME_S = 3.0  # Callers use a VM that died for no longer than this.


def addresses(
    state: states.State,
    now_s: float,
    region: str,
    zone: str,
    rng: random.Random,
) -> tuple[str, ...]:
    """Returns the addresses of live VMs for callers at a location.

    Args:
        state: State of this VM.
        now_s: Current time, in seconds.
        region: Region given by the caller, or empty.
        zone: Availability zone given by the caller, or empty; takes precedence
            over `region` if it is known.
        rng: Random number generator, used if VMs are not equal.
    """
    settings = state.settings
    caller_region = settings.region_by_zone.get(zone, region) or settings.region
    serving = [
        (peer.record, peer.headroom)
        for peer in state.fleet.serving_peers(now_s)
    ]
    if is_ready(state):
        own = registry.own_record(settings, state.fleet.incarnation)
        serving.append((own, state.headroom))
    in_region = [vm for vm in serving if vm[0].region == caller_region]
    # A VM that replaced another at its address has that one's place.
    by_address = {vm[0].caller_address: vm for vm in in_region or serving}
    chosen = sorted(by_address)
    weights = _weights([by_address[address] for address in chosen])
    if sampling.are_equal(weights):
        return tuple(chosen[:MAX_ADDRESSES])
    length = sampling.list_length(weights, MIN_ADDRESSES, MAX_ADDRESSES)
    probabilities = sampling.inclusion_probabilities(weights, length)
    return tuple(sampling.draw(rng, chosen, probabilities, length))


def _weights(vms: list[tuple[registry.VmRecord, float]]) -> list[float]:
    rates = capacity.weights([record.capacity for record, _ in vms])
    return [
        rate * headroom.bounded(reported)
        for rate, (_, reported) in zip(rates, vms, strict=True)
    ]


def is_ready(state: states.State) -> bool:
    """Returns whether this VM can serve callers."""
    return (
        state.table is not None
        and state.target_directory.listed
        and not state.stopping
    )


def lifetime_s(state: states.State) -> float:
    """Returns how long callers may use a response, in seconds."""
    return min(RESPONSE_LIFETIME_S, state.settings.max_look_up_lifetime_s)
