"""What returned slots show about targets, their caches and work times."""

from mulberrydeck.peers import slot_messages
from mulberrydeck.scheduling import state as states
from mulberrydeck.scheduling import vms
from mulberrydeck.scheduling import work_times
from mulberrydeck.steering import outliers
from mulberrydeck.steering import state as steering_states
from mulberrydeck.steering import targets as targets_module

# Largest difference of a target's speed from the usual one at which durations
# tell whether objects were cached.
USUAL_SPEED_DIFFERENCE = 0.25
# Time for which a VM's zone is not granted a target that it cannot use.
AVOIDED_S = 1.0


def observe_report(
    state: steering_states.State,
    grant: states.Grant,
    message: slot_messages.SlotReturn,
) -> None:
    """Learns from what the target reported, and from the duration.

    Args:
        state: State of this VM, changed in place.
        grant: Grant of the slot, which was dropped already.
        message: The message that returned the slot.
    """
    now_s = state.now_s
    target = grant.target
    if message.load is not None:
        # Some targets count the request of the response that reports the load.
        known = len(target.grants) + 1
        target.others_load = max(0.0, message.load - known)
        target.load_reported_s = now_s
    if message.speed is not None:
        target.reported_speed = message.speed
        target.speed_reported_s = now_s
    if message.duration_s is None or not grant.route:
        return
    _learn_duration(state, grant, message.service, message.duration_s)


def _learn_duration(
    state: steering_states.State,
    grant: states.Grant,
    service: str,
    duration_s: float,
) -> None:
    """Learns the pace of a target; at its usual speed, also what it caches.

    Work that takes longer than on an uncached object shows a slow target.
    """
    times = state.scheduler.expected
    target = grant.target
    was_cached = times.was_cached(grant.route, duration_s)
    usual_s = times.expected_s(
        grant.route, was_cached, max(work_times.MIN_DURATION_S, duration_s)
    )
    ratio = min(outliers.MAX_RATIO, duration_s / usual_s)
    outliers.observe(target.pace, state.now_s, ratio)
    is_usual = abs(target.reported_speed - 1.0) <= USUAL_SPEED_DIFFERENCE
    schedule = state.scheduler.services.get(service)
    if is_usual and schedule is not None:
        times.record(grant.route, duration_s)
        schedule.cache_model.record(grant.cache_rank, was_cached)


def observe_result(
    state: steering_states.State,
    sender: str,
    target: states.ScheduledTarget,
    message: slot_messages.SlotReturn,
) -> None:
    """Learns from what became of an attempt of a VM.

    Args:
        state: State of this VM, changed in place.
        sender: Name of the VM.
        target: Target of the attempt.
        message: The message that returned the slot.
    """
    now_s = state.now_s
    if message.result not in (slot_messages.NOT_SENT, slot_messages.UNUSABLE):
        target.attempts.add(now_s, 1.0)
    if message.result == slot_messages.REJECTED:
        target.rejections.add(now_s, 1.0)
    match message.result:
        case slot_messages.UNUSABLE:
            zone = vms.zone_of(state, sender)
            target.avoided_until_s[zone] = now_s + AVOIDED_S
        case slot_messages.REJECTED if message.load is None:
            target.others_load = float(target.slots)
            target.load_reported_s = now_s
        case slot_messages.SUCCEEDED | slot_messages.FAILED:
            known = state.target_directory.by_name.get(target.name)
            # The VM itself has recorded its own outcomes.
            if known is not None and sender != state.settings.name:
                was_failure = message.result == slot_messages.FAILED
                targets_module.record_outcome(known, now_s, was_failure)
