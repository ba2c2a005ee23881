"""Look-up answers: which entry VMs a caller should use now.

Load answered: callers that keep an answer for seconds and draw a VM at random.
VMs of the caller's region share its load; only a region without a live VM is
served by others, zone by zone.
"""

from mulberrydeck.steering import state as states

MAX_ADDRESSES = 64
LIFETIME_S = 3.0  # A VM that died is forgotten by callers within this time.


def addresses(
    state: states.State, now_s: float, region: str, zone: str
) -> tuple[str, ...]:
    """Returns callers' addresses of live VMs for a place.

    Args:
        state: State of this VM.
        now_s: Current time, in seconds.
        region: Region that the caller names, or empty.
        zone: Availability zone that the caller names, or empty.
    """
    settings = state.settings
    wanted = settings.region_by_zone.get(zone, region) or settings.region
    serving = [
        (peer.record.region, peer.record.caller_address)
        for peer in state.fleet.serving(now_s)
    ]
    if is_ready(state):
        serving.append((settings.region, settings.caller_address))
    near = sorted(address for place, address in serving if place == wanted)
    chosen = near or sorted(address for _, address in serving)
    return tuple(chosen[:MAX_ADDRESSES])


def is_ready(state: states.State) -> bool:
    """Returns whether this VM can serve callers."""
    return state.table is not None and state.book.listed and not state.stopping


def lifetime_s(state: states.State) -> float:
    """Returns how long an answer may be kept, in seconds."""
    return min(LIFETIME_S, state.settings.max_look_up_lifetime_s)
