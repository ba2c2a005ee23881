"""Releases what an attempt holds and records the outcome of a single run."""

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import state as core_state
from mulberrydeck.forward import outcomes
from mulberrydeck.routing import reducer as routing

Effects = list[object]


def end_attempt(
    state: core_state.State,
    request: core_state.Request,
    event: events.AttemptEnded,
) -> Effects:
    """Releases the slot or relay of an attempt and records its single run.

    A run whose outcome is unknown keeps its claim, so that it cannot run
    again.
    """
    if not request.target and not request.relayed_to:
        return []
    produced = _release_slot(state, request, event)
    if not request.claimed:
        return produced
    match event.outcome:
        case outcomes.AttemptOutcome.ANSWERED:
            status = event.status
        case outcomes.AttemptOutcome.NOT_SENT | outcomes.AttemptOutcome.NOT_RUN:
            status = 0
        case outcomes.AttemptOutcome.UNKNOWN:
            return produced
    request.claimed = False
    return [*produced, _record_run(request, status)]


def _record_run(request: core_state.Request, status: int) -> effects.RecordRun:
    return effects.RecordRun(
        request.request_id, request.account, request.run_id, status
    )


def _release_slot(
    state: core_state.State,
    request: core_state.Request,
    event: events.AttemptEnded,
) -> Effects:
    request.target = ""
    request.relayed_to = ""
    return routing.release(
        state.routing,
        state.now_s,
        request.request_id,
        event.outcome,
        event.status,
        event.latency_s,
    )


def return_relay(state: core_state.State, request: core_state.Request) -> None:
    """Ends a relay that was not sent; its VM may be chosen again."""
    if not request.relayed_to:
        return
    routing.cancel(state.routing, state.now_s, request.request_id)
    request.excluded.discard(request.relayed_to)
    request.relayed_to = ""


def cancel_attempt(
    state: core_state.State, request: core_state.Request
) -> Effects:
    """Releases the slot and the claim of a request that was never sent."""
    if not request.target:
        return []
    request.target = ""
    produced = routing.cancel(state.routing, state.now_s, request.request_id)
    if request.claimed:
        request.claimed = False
        produced = [*produced, _record_run(request, 0)]
    return produced
