"""State and usable capacity of each target of a VM's zone."""

import math

import attrs

from mulberrydeck.core import events
from mulberrydeck.model import configuration
from mulberrydeck.routing import detectors

FAILED_POLLS_LIMIT = 3
UNREPORTED_SLOTS = 1
RESIDUAL_USE_TIMEOUT_S = 60.0
DRAIN_GRACE_S = 1.0


@attrs.define
class TargetState:
    """A target of this VM's zone.

    Attributes:
        target: Its entry in the configuration.
        warmup_started_s: When this VM first saw the target or it last
            recovered, in seconds; its slots ramp up from then.
        used: Slots in use by requests of this VM.
        residual_slots: Slots that earlier owners still used when this VM became
            the owner.
        residual_since_s: When `residual_slots` was first reported, in seconds.
        awaits_report: Whether no poll or request has succeeded since this VM
            became the owner.
        report: Last report, or None.
        failed_polls: Consecutive failed polls.
        next_poll_s: When the next poll is due, in seconds.
        polling: Whether a poll is in progress.
        poll_predates_ownership: Whether that poll began before this VM became
            the owner; its report may miss requests that the earlier owner
            sent after it.
        failure_window: Recent request outcomes, for failure detection.
        suspect: Whether the failure window signalled but ejection would have
            left too little capacity.
        ejected_until_s: When probation starts, in seconds; None if not ejected.
        ejections: Ejections since the last passed probation.
        probation_successes: Successful requests in the current probation.
        shed_until_s: When `shed_slots` stops applying, in seconds.
        shed_slots: Slots in use when the target last rejected a request, at
            least 1.
        draining_since_s: When this VM received the configuration that drains
            the target, in seconds.
    """

    target: configuration.Target
    warmup_started_s: float
    used: int = 0
    residual_slots: int = 0
    residual_since_s: float = 0.0
    awaits_report: bool = True
    report: events.TargetReport | None = None
    failed_polls: int = 0
    next_poll_s: float = -math.inf
    polling: bool = False
    poll_predates_ownership: bool = False
    failure_window: detectors.FailureWindow = attrs.field(
        factory=detectors.FailureWindow
    )
    suspect: bool = False
    ejected_until_s: float | None = None
    ejections: int = 0
    probation_successes: int = 0
    shed_until_s: float = -math.inf
    shed_slots: int = 0
    draining_since_s: float = -math.inf

    @property
    def address(self) -> str:
        """Address for requests, `host:port`."""
        return f"{self.target.host}:{self.target.port}"


def condition(state: TargetState, now_s: float, warmup_s: float) -> str:
    """Returns the target's condition, as a label for status and metrics.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        warmup_s: Duration of the warm-up, in seconds.
    """
    if _is_draining(state):
        return "draining"
    if state.ejected_until_s is not None:
        return "ejected"
    if state.awaits_report:
        return "unknown"
    if _is_unhealthy(state):
        return "unhealthy"
    if now_s - state.warmup_started_s < warmup_s:
        return "warming"
    return "ready"


def usable_slots(state: TargetState, now_s: float, warmup_s: float) -> int:
    """Returns the number of slots that the owner may use at this time.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        warmup_s: Duration of the warm-up, in seconds.
    """
    match condition(state, now_s, warmup_s):
        case "draining" | "unknown" | "unhealthy":
            return 0
        case "ejected":
            on_probation = now_s >= state.ejected_until_s
            return 1 if on_probation and not _is_unhealthy(state) else 0
        case _:
            return _slot_limit(state, now_s, warmup_s)


def last_resort_slots(
    state: TargetState, now_s: float, has_alternative: bool
) -> int:
    """Returns the free slots to use while no target is known to be usable.

    An unreachable target may still serve requests, since only its status
    reports may be failing. After a network partition heals, a drain may reach
    this VM before the heartbeats of the VMs that can take over, so a target
    that has just begun to drain is still used if there is no alternative.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        has_alternative: Whether another VM can serve the service.
    """
    if state.report is not None and not state.report.healthy:
        return 0
    unreachable = state.failed_polls >= FAILED_POLLS_LIMIT
    if not _is_draining(state):
        return max(0, UNREPORTED_SLOTS - state.used) if unreachable else 0
    drained_for_s = now_s - state.draining_since_s
    in_grace = drained_for_s < DRAIN_GRACE_S and not has_alternative
    if (
        unreachable
        or not in_grace
        or state.report is None
        or state.report.leaving
    ):
        return 0
    return max(0, _slot_limit(state, now_s, warmup_s=0.0) - state.used)


def record_response(state: TargetState) -> None:
    """Marks the target as reachable, since it has answered a request."""
    state.failed_polls = 0
    state.awaits_report = False


def recover(state: TargetState, now_s: float) -> None:
    """Restarts the warm-up after the target was out of service."""
    state.warmup_started_s = now_s
    state.suspect = False
    state.failure_window = detectors.FailureWindow()


def begin_ownership(state: TargetState) -> None:
    """Resets what only the current owner can know: reports and polls."""
    state.awaits_report = True
    state.report = None
    state.failed_polls = 0
    state.next_poll_s = -math.inf
    state.poll_predates_ownership = state.polling


def apply_report(
    state: TargetState, now_s: float, report: events.TargetReport | None
) -> None:
    """Applies the result of a poll.

    A poll that began before this VM became the owner is discarded and repeated
    at once.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        report: The target's report, or None if the poll failed.
    """
    state.polling = False
    if state.poll_predates_ownership:
        state.poll_predates_ownership = False
        state.next_poll_s = now_s
        return
    if report is None:
        state.failed_polls += 1
        return
    was_unavailable = state.report is not None and (
        _is_unhealthy(state) or state.report.leaving
    )
    state.failed_polls = 0
    state.report = report
    others_used = max(0, report.used - state.used)
    if state.awaits_report:
        state.awaits_report = False
        state.residual_slots = others_used
        state.residual_since_s = now_s
    else:
        state.residual_slots = min(state.residual_slots, others_used)
    if was_unavailable and not _is_unhealthy(state):
        recover(state, now_s)


def _slot_limit(state: TargetState, now_s: float, warmup_s: float) -> int:
    reported_slots = state.report.slots if state.report else UNREPORTED_SLOTS
    slots = min(state.target.slots, reported_slots)
    elapsed_s = now_s - state.warmup_started_s
    if elapsed_s < warmup_s:
        slots = min(slots, max(1, int(slots * elapsed_s / warmup_s)))
    if now_s < state.shed_until_s:
        slots = min(slots, state.shed_slots)
    if now_s - state.residual_since_s < RESIDUAL_USE_TIMEOUT_S:
        slots -= state.residual_slots
    return max(0, slots)


def _is_draining(state: TargetState) -> bool:
    reported_leaving = state.report is not None and state.report.leaving
    return state.target.draining or reported_leaving


def _is_unhealthy(state: TargetState) -> bool:
    if state.failed_polls >= FAILED_POLLS_LIMIT:
        return True
    return state.report is not None and not state.report.healthy
