"""What the end of an attempt shows about its target."""

from mulberrydeck.scheduling import client as slots
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import outliers
from mulberrydeck.steering import state as states
from mulberrydeck.steering import targets

MIN_SERVER_ERROR_STATUS = 500

Outcome = events.Outcome
Effects = list[object]


def observe_latency(
    state: states.State,
    request: states.Request,
    target: targets.Target,
    event: events.AttemptEnded,
) -> None:
    """Records the latency of an attempt if the target processed it."""
    if event.outcome not in (Outcome.ANSWERED, Outcome.EXPIRED):
        return
    latency_s = state.now_s - request.attempt_s
    ratio = state.route_latencies.record(request.route.name, latency_s)
    outliers.observe(target.latency_ratio, state.now_s, ratio)


def observe_notice(
    state: states.State, target: targets.Target, event: events.AttemptEnded
) -> Effects:
    """Records what a target said of itself in its response."""
    produced: Effects = []
    directory = state.target_directory
    if event.leaving and targets.note_leaving(directory, target, state.now_s):
        produced.append(_target_log("A target is leaving.", target, event))
    if event.pause_s > 0:
        targets.note_pause(directory, target, state.now_s, event.pause_s)
        produced.append(
            _target_log("A target asked for a pause.", target, event)
        )
    return produced


def observe_outcome(
    state: states.State, target: targets.Target, event: events.AttemptEnded
) -> Effects:
    """Records what an attempt shows about its target."""
    name = target.entry.name
    if event.reported_load is not None:
        targets.observe_load(target, state.now_s, event.reported_load)
    match event.outcome:
        case Outcome.NOT_SENT:
            targets.eject_unreachable(target, state.now_s)
            return [_target_log("A target is not reachable.", target, event)]
        case Outcome.WRONG_TARGET:
            targets.eject_unreachable(target, state.now_s)
            return [
                _target_log(
                    "The address belongs to another target now.", target, event
                )
            ]
        case Outcome.EXPIRED:
            return []
        case Outcome.REJECTED:
            if not rejected_with_free_slot(state, target, event):
                full_load = 2.0 * target.entry.slots
                targets.observe_load(target, state.now_s, full_load)
            return []
    targets.mark_reachable(target)
    if targets.record_outcome(target, state.now_s, is_failure(event)):
        return [
            _target_log(
                f"{name} was ejected after too many failures.", target, event
            )
        ]
    return []


def is_failure(event: events.AttemptEnded) -> bool:
    """Returns whether the end of an attempt shows a failure of its target.

    A target that asks for a pause works as it should.
    """
    return not event.pause_s and (
        event.outcome is Outcome.BROKEN
        or event.status >= MIN_SERVER_ERROR_STATUS
    )


def rejected_with_free_slot(
    state: states.State, target: targets.Target, event: events.AttemptEnded
) -> bool:
    """Returns whether a target rejected a request for another reason than load.

    Targets without a scheduler may be rejecting requests of other VMs that
    arrived between their report and this request.
    """
    return (
        event.outcome is Outcome.REJECTED
        and event.reported_load is not None
        and event.reported_load < target.entry.slots
        and slots.is_enabled(state)
    )


def _target_log(
    text: str, target: targets.Target, event: events.AttemptEnded
) -> effects.Log:
    fields = {
        "target": target.entry.name,
        "address": target.entry.address,
        "reason": event.reason,
        "ejected_until_s": round(target.ejected_until_s, 3),
        "pause_s": event.pause_s,
    }
    return effects.Log("targets", text, fields)
