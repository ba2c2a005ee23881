"""Ejection of failing targets and their return after probation."""

from mulberrydeck.forward import outcomes
from mulberrydeck.routing import detectors
from mulberrydeck.routing import ownership
from mulberrydeck.routing import peer_index
from mulberrydeck.routing import state as routing_state
from mulberrydeck.routing import target_state

SHED_DURATION_S = 1.0
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
REQUIRED_PROBATION_SUCCESSES = 3
MIN_READY_FRACTION = 0.5
FIRST_SERVER_ERROR = 500
NO_PEER_CAPACITY = peer_index.Capacity()


def record_outcome(
    state: routing_state.RoutingState,
    now_s: float,
    target: target_state.TargetState,
    outcome: outcomes.AttemptOutcome | None,
    status: int,
) -> None:
    """Updates a target's health with the outcome of one request.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        target: The target that the request was sent to.
        outcome: How the attempt ended; None if the caller disconnected, which
            says nothing about the target, nor does an attempt that was not
            sent.
        status: HTTP status of the response, or 0.
    """
    if outcome in (None, outcomes.AttemptOutcome.NOT_SENT):
        return
    if outcome is outcomes.AttemptOutcome.NOT_RUN and status:
        _shed(target, now_s)
        return
    answered = outcome is outcomes.AttemptOutcome.ANSWERED
    failed = not answered or status >= FIRST_SERVER_ERROR
    if target.ejected_until_s is not None:
        _record_probation(target, now_s, failed)
        return
    if detectors.observe(target.failure_window, failed):
        if _may_eject(state, now_s, target):
            _eject(target, now_s)
        else:
            target.suspect = True
    elif not failed:
        target_state.record_response(target)


def _shed(target: target_state.TargetState, now_s: float) -> None:
    """Lowers the slot limit temporarily, since the target is overloaded."""
    target.shed_slots = max(1, target.used)
    target.shed_until_s = now_s + SHED_DURATION_S


def _eject(target: target_state.TargetState, now_s: float) -> None:
    target.suspect = False
    target.probation_successes = 0
    ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**target.ejections)
    target.ejections = min(target.ejections + 1, 10)
    target.ejected_until_s = now_s + ejection_s


def _record_probation(
    target: target_state.TargetState, now_s: float, failed: bool
) -> None:
    if now_s < target.ejected_until_s:
        return
    if failed:
        _eject(target, now_s)
        return
    target.probation_successes += 1
    if target.probation_successes >= REQUIRED_PROBATION_SUCCESSES:
        target.ejected_until_s = None
        target.ejections = 0
        target_state.recover(target, now_s)


def _may_eject(
    state: routing_state.RoutingState,
    now_s: float,
    target: target_state.TargetState,
) -> bool:
    """Returns whether the rest of the zone can carry the service's load."""
    service = target.target.service
    warmup_s = state.settings.target_warmup_s
    declared_slots = 0
    for name in state.target_names_by_service[service]:
        declared_slots += state.targets[name].target.slots
    peers = state.peers.capacity.get((service, state.zone), NO_PEER_CAPACITY)
    remaining = peers.usable_slots
    demand = peers.usable_slots - peers.free_slots
    for other in ownership.owned_targets(state, now_s, service):
        demand += other.used
        if other is not target:
            remaining += target_state.usable_slots(other, now_s, warmup_s)
    demand += routing_state.service_state(state, service).queue.size
    return remaining >= max(demand, MIN_READY_FRACTION * declared_slots)
