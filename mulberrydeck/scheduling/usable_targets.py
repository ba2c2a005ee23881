"""The targets of a service in this VM's region whose slots may be granted."""

from mulberrydeck.scheduling import state as states
from mulberrydeck.steering import state as steering_states
from mulberrydeck.steering import targets as targets_module

# Usable targets are read from the directory this often; the VM that sends a
# request checks its target once more.
REFRESH_INTERVAL_S = 0.1


def refreshed(
    state: steering_states.State, service: str
) -> states.ServiceSchedule:
    """Returns the schedule of a service, with its usable targets up to date.

    Args:
        state: State of this VM, changed in place.
        service: Name of the service.
    """
    schedule = state.scheduler.services.setdefault(
        service, states.ServiceSchedule()
    )
    if state.now_s < schedule.refreshed_s + REFRESH_INTERVAL_S:
        return schedule
    schedule.refreshed_s = state.now_s
    directory = state.target_directory
    region = state.settings.region
    registered: dict[str, states.ScheduledTarget] = {}
    usable = []
    for target in directory.by_service.get(service, ()):
        if target.region != region:
            continue
        scheduled = _scheduled(schedule, target)
        registered[scheduled.name] = scheduled
        if targets_module.is_usable(
            directory, target, state.now_s
        ) and not target.is_cold(state.now_s):
            usable.append(scheduled)
    usable.sort(key=lambda scheduled: scheduled.digest)
    schedule.targets = registered
    schedule.usable = usable
    schedule.slots = sum(scheduled.slots for scheduled in usable)
    return schedule


def _scheduled(
    schedule: states.ServiceSchedule, target: targets_module.Target
) -> states.ScheduledTarget:
    """Returns the scheduled target of an entry; a new one for a new process."""
    entry = target.entry
    process = (entry.started_ms, entry.address)
    scheduled = schedule.targets.get(entry.name)
    if scheduled is None or scheduled.process != process:
        return states.ScheduledTarget(
            entry.name, process, target.digest, entry.slots
        )
    scheduled.slots = entry.slots
    return scheduled
