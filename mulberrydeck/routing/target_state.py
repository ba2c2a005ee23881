"""What a VM knows of each target of its zone."""

import math

import attrs

from mulberrydeck.core import events
from mulberrydeck.model import configuration
from mulberrydeck.routing import detectors

FAILED_POLLS_LIMIT = 3
BLIND_SLOTS = 1
FOREIGN_USE_LIMIT_S = 60.0
DRAIN_GRACE_S = 1.0


@attrs.define
class TargetState:
    """A target of this VM's zone.

    Attributes:
        target: What the operators declared.
        known_since_s: When this VM learned of it or it recovered, in seconds;
            its slots ramp up from then.
        used: Slots that this VM uses.
        foreign_used: Slots that others still used when this VM became owner.
        foreign_since_s: When `foreign_used` was first learned, in seconds.
        awaits_report: Whether a new owner has not seen a report yet.
        report: Last report, or None.
        failed_polls: Polls that failed in a row.
        next_poll_s: When the next poll is due, in seconds.
        polling: Whether a poll is under way.
        poll_is_early: Whether that poll began before this VM became owner, so
            that its result says too little of what others use.
        window: Judges the outcomes.
        suspect: Whether the window signalled but ejection was not allowed.
        ejected_until_s: When probation starts, in seconds; None if not ejected.
        ejections: Ejections without a passed probation between.
        probation_successes: Successes in the current probation.
        shed_until_s: Until when `shed_slots` applies, in seconds.
        shed_slots: Limit learned from a request that the target shed.
        draining_since_s: When this VM learned that operators drain it.
    """

    target: configuration.Target
    known_since_s: float
    used: int = 0
    foreign_used: int = 0
    foreign_since_s: float = 0.0
    awaits_report: bool = True
    report: events.TargetReport | None = None
    failed_polls: int = 0
    next_poll_s: float = -math.inf
    polling: bool = False
    poll_is_early: bool = False
    window: detectors.FailureWindow = attrs.field(
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
        """Where the target takes requests, `host:port`."""
        return f"{self.target.host}:{self.target.port}"


def condition(state: TargetState, now_s: float, warmup_s: float) -> str:
    """Returns the target's condition as a word for status and metrics.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        warmup_s: Time over which a new target's slots become usable.
    """
    if _leaving(state):
        return "draining"
    if state.ejected_until_s is not None:
        return "ejected"
    if state.awaits_report:
        return "unknown"
    if _unhealthy(state):
        return "unhealthy"
    if now_s - state.known_since_s < warmup_s:
        return "warming"
    return "ready"


def usable_slots(state: TargetState, now_s: float, warmup_s: float) -> int:
    """Returns how many slots the owner may use at this time.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        warmup_s: Time over which a new target's slots become usable.
    """
    match condition(state, now_s, warmup_s):
        case "draining" | "unknown" | "unhealthy":
            return 0
        case "ejected":
            on_probation = now_s >= state.ejected_until_s
            return 1 if on_probation and not _unhealthy(state) else 0
        case _:
            return _open_slots(state, now_s, warmup_s)


def last_resort_slots(
    state: TargetState, now_s: float, has_others: bool
) -> int:
    """Returns the free slots to use when no target is known to be usable.

    Reports may stop although a target works. After a cut, a drain may reach a
    VM before the heartbeats of the VMs that can take over.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        has_others: Whether another VM can serve instead.
    """
    if state.report is not None and not state.report.healthy:
        return 0
    silent = state.failed_polls >= FAILED_POLLS_LIMIT
    if not _leaving(state):
        return max(0, BLIND_SLOTS - state.used) if silent else 0
    drained_for_s = now_s - state.draining_since_s
    in_grace = drained_for_s < DRAIN_GRACE_S and not has_others
    if silent or not in_grace or state.report is None or state.report.leaving:
        return 0
    return max(0, _open_slots(state, now_s, warmup_s=0.0) - state.used)


def record_answer(state: TargetState) -> None:
    """Takes an answered request as a sign of life, when reports stop."""
    state.failed_polls = 0
    state.awaits_report = False


def recover(state: TargetState, now_s: float) -> None:
    """Starts the warm-up again after the target was out of use."""
    state.known_since_s = now_s
    state.suspect = False
    state.window = detectors.FailureWindow()


def begin_ownership(state: TargetState) -> None:
    """Forgets what only the owner of a target can know."""
    state.awaits_report = True
    state.report = None
    state.failed_polls = 0
    state.next_poll_s = -math.inf
    state.poll_is_early = state.polling


def apply_report(
    state: TargetState, now_s: float, report: events.TargetReport | None
) -> None:
    """Takes in the result of a poll.

    Args:
        state: The target.
        now_s: Monotonic time, in seconds.
        report: What the target said, or None if the poll failed.
    """
    state.polling = False
    if state.poll_is_early:
        state.poll_is_early = False
        state.next_poll_s = now_s
        return
    if report is None:
        state.failed_polls += 1
        return
    was_out = state.report is not None and (
        _unhealthy(state) or state.report.leaving
    )
    state.failed_polls = 0
    state.report = report
    foreign = max(0, report.used - state.used)
    if state.awaits_report:
        state.awaits_report = False
        state.foreign_used = foreign
        state.foreign_since_s = now_s
    else:
        state.foreign_used = min(state.foreign_used, foreign)
    if was_out and not _unhealthy(state):
        recover(state, now_s)


def _open_slots(state: TargetState, now_s: float, warmup_s: float) -> int:
    reported = state.report.slots if state.report else BLIND_SLOTS
    slots = min(state.target.slots, reported)
    elapsed_s = now_s - state.known_since_s
    if elapsed_s < warmup_s:
        slots = min(slots, max(1, int(slots * elapsed_s / warmup_s)))
    if now_s < state.shed_until_s:
        slots = min(slots, state.shed_slots)
    if now_s - state.foreign_since_s < FOREIGN_USE_LIMIT_S:
        slots -= state.foreign_used
    return max(0, slots)


def _leaving(state: TargetState) -> bool:
    reported = state.report is not None and state.report.leaving
    return state.target.draining or reported


def _unhealthy(state: TargetState) -> bool:
    if state.failed_polls >= FAILED_POLLS_LIMIT:
        return True
    return state.report is not None and not state.report.healthy
