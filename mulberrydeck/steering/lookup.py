"""Lookup responses: the entry VMs that a caller should use now.

Callers keep a response for some seconds and choose one of its VMs at random, so
that the VMs of a region share its load. Only the callers of a region without a
live VM are sent to other regions.
"""

from mulberrydeck.steering import state as states

MAX_ADDRESSES = 64
RESPONSE_LIFETIME_S = 3.0  # Callers use a VM that died for no longer than this.


def addresses(
    state: states.State, now_s: float, region: str, zone: str
) -> tuple[str, ...]:
    """Returns the addresses of live VMs for callers at a location.

    Args:
        state: State of this VM.
        now_s: Current time, in seconds.
        region: Region given by the caller, or empty.
        zone: Availability zone given by the caller, or empty; takes precedence
            over `region` if it is known.
    """
    settings = state.settings
    caller_region = settings.region_by_zone.get(zone, region) or settings.region
    serving = [
        (peer.record.region, peer.record.caller_address)
        for peer in state.fleet.serving_peers(now_s)
    ]
    if is_ready(state):
        serving.append((settings.region, settings.caller_address))
    in_region = sorted(
        address for vm_region, address in serving if vm_region == caller_region
    )
    chosen = in_region or sorted(address for _, address in serving)
    return tuple(chosen[:MAX_ADDRESSES])


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
