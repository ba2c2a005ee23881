"""What the scheduler knows of the VMs that ask it for slots."""

from mulberrydeck.steering import state as steering_states


def zone_of(state: steering_states.State, name: str) -> str:
    """Returns the zone of a VM; this VM's own if the VM is not known."""
    peer = state.fleet.peers.get(name)
    return state.settings.zone if peer is None else peer.record.zone


def incarnation_of(state: steering_states.State, name: str) -> str:
    """Returns the process of a VM; this one if the VM is not known."""
    peer = state.fleet.peers.get(name)
    return state.fleet.incarnation if peer is None else peer.incarnation


def is_dead(state: steering_states.State, name: str, incarnation: str) -> bool:
    """Returns whether the process of a VM that used slots has ended.

    Args:
        state: State of this VM.
        name: Name of the VM.
        incarnation: Its process; empty if it was not known.
    """
    if name == state.settings.name:
        return False
    peer = state.fleet.peers.get(name)
    return (
        peer is None
        or not state.fleet.is_alive(peer, state.now_s)
        or (incarnation != "" and peer.incarnation != incarnation)
    )
