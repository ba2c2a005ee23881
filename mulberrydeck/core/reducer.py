"""The reducer over all events of one VM.

`reduce` does no I/O, reads no clock and takes random numbers only from the
generator seeded in its state, so the same events give the same effects. It
changes the state in place, since copying the state would cost more than
handling the event.
"""

import collections

from mulberrydeck.core import control
from mulberrydeck.core import events
from mulberrydeck.core import requests
from mulberrydeck.core import state as core_state
from mulberrydeck.quota import effects as quota_effects


def reduce(state: core_state.State, event: object) -> list[object]:
    """Handles an event and returns the effects to execute.

    Args:
        state: State of this VM; changed in place.
        event: One of the types in `core.events`.

    Returns:
        Effects, in the order in which they must be executed.
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
            return requests.handle_arrival(state, event)
        case events.AttemptEnded():
            return requests.handle_attempt_end(state, event)
        case events.RequestClosed():
            return requests.handle_close(state, event)
        case events.ClaimDecided():
            return requests.handle_claim_decision(state, event)
        case quota_effects.QuotaDecided():
            return requests.handle_quota_decision(state, event)
        case events.SlotDecided():
            return requests.handle_slot_decision(state, event)
    return _dispatch_control(state, event)


def _dispatch_control(state: core_state.State, event: object) -> list[object]:
    match event:
        case events.PeerReceived():
            return control.handle_peer_message(state, event)
        case events.Tick():
            return control.handle_tick(state, event)
        case events.TargetPolled():
            return control.handle_poll_result(state, event)
        case events.LinkQuotaNeeded():
            return control.handle_link_quota_need(state, event)
        case events.Started():
            return control.handle_start(state, event)
        case events.StopRequested():
            return control.handle_stop_request(state, event)
        case events.StopFinished():
            return control.handle_stop_finished(state, event)
    return _dispatch_platform(state, event)


def _dispatch_platform(state: core_state.State, event: object) -> list[object]:
    match event:
        case events.DocumentRead():
            return control.handle_document(state, event)
        case events.DocumentConfirmed():
            return control.handle_confirmation(state, event)
        case events.VmsListed():
            return control.handle_vm_list(state, event)
        case events.ZoneLeaseRead():
            return control.handle_zone_lease(state, event)
    raise TypeError(
        f"{type(event).__name__} has no handler in the reducer; add one."
    )
