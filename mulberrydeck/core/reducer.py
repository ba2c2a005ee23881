"""The reducer over all events of one VM.

`reduce` does no I/O, reads no clock and draws random numbers only from the
generator seeded in its state, so equal events give equal effects. It changes
the state in place, since a copy per event would cost more than the event.
"""

import collections

from mulberrydeck.core import control
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import requests
from mulberrydeck.core import state as core_state


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
            if isinstance(effect, effects.Raise):
                pending.append(effect.event)
            else:
                produced.append(effect)
    return produced


_handler_by_event = {
    events.RequestArrived: requests.arrived,
    events.AttemptEnded: requests.attempt_ended,
    events.RequestClosed: requests.closed,
    events.ClaimAnswered: requests.claim_answered,
    events.QuotaDecided: requests.quota_decided,
    events.SlotDecided: requests.slot_decided,
    events.PeerReceived: control.peer_received,
    events.DocumentRead: control.document_read,
    events.PlatformConfirmed: control.platform_confirmed,
    events.VmsListed: control.vms_listed,
    events.ZoneLeaseRead: control.lease_read,
    events.Tick: control.tick,
    events.TargetPolled: control.target_polled,
    events.Started: control.started,
    events.StopRequested: control.stop_requested,
    events.StopFinished: control.stop_finished,
}


def _dispatch(state: core_state.State, event: object) -> list[object]:
    return _handler_by_event[type(event)](state, event)
