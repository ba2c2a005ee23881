"""The reducer over all events of one VM.

`reduce` does no I/O, reads no clock and draws random numbers only from the
generator seeded in its state, so equal events give equal effects. It changes
the state in place, since a copy per event would cost more than the event.
"""

import collections

from mulberrydeck.core import control
from mulberrydeck.core import events
from mulberrydeck.core import requests
from mulberrydeck.core import state as core_state
from mulberrydeck.quota import effects as quota_effects


def reduce(state: core_state.State, event: object) -> list[object]:
    """Applies an event and returns the effects to carry out.

    Args:
        state: State of this VM; changed in place.
        event: One of the types in `core.events`.

    Returns:
        Effects in the order in which they must be carried out.
    """
    produced: list[object] = []
    pending = collections.deque([event])
    while pending:
        current = pending.popleft()
        state.now_s = max(state.now_s, current.at_s)
        for effect in _dispatch(state, current):
            if isinstance(effect, quota_effects.Raise):
                pending.append(effect.event)
            else:
                produced.append(effect)
    return produced


def _dispatch(state: core_state.State, event: object) -> list[object]:
    match event:
        case events.RequestArrived():
            return requests.arrived(state, event)
        case events.AttemptEnded():
            return requests.attempt_ended(state, event)
        case events.RequestClosed():
            return requests.closed(state, event)
        case events.ClaimDecided():
            return requests.claim_answered(state, event)
        case quota_effects.QuotaDecided():
            return requests.quota_decided(state, event)
        case events.SlotDecided():
            return requests.slot_decided(state, event)
    return _dispatch_control(state, event)


def _dispatch_control(state: core_state.State, event: object) -> list[object]:
    match event:
        case events.PeerReceived():
            return control.peer_received(state, event)
        case events.Tick():
            return control.tick(state, event)
        case events.TargetPolled():
            return control.target_polled(state, event)
        case events.LinkQuotaNeeded():
            return control.link_needed(state, event)
        case events.Started():
            return control.started(state, event)
        case events.StopRequested():
            return control.stop_requested(state, event)
        case events.StopFinished():
            return control.stop_finished(state, event)
    return _dispatch_platform(state, event)


def _dispatch_platform(state: core_state.State, event: object) -> list[object]:
    match event:
        case events.DocumentRead():
            return control.document_read(state, event)
        case events.DocumentConfirmed():
            return control.platform_confirmed(state, event)
        case events.VmsListed():
            return control.vms_listed(state, event)
        case events.ZoneLeaseRead():
            return control.lease_read(state, event)
    raise TypeError(f"{type(event).__name__} is no event; add it here.")
