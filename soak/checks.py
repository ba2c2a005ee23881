"""Promises that a soak checks, from what callers and targets saw."""

import collections
from collections.abc import Iterator
import json
import math

from soak import callers
from soak import faults
from soak import fleet as fleets
from standins import http_client

# Statuses with which a VM says that a request has not run.
NOT_RUN = (401, 404, 413, 429, 503)
# Bounds of the users' platform.
DRAIN_S = 3.0
EVACUATION_S = 5.0
APPLIED_S = 3.0
STABLE_S = 4.0
LOSS_SLACK_S = 0.2
# ColdPerS x ColdOverage + ColdSlack of the services that are configured.
COLD_MOST = 6.9 * 1.5 + 5.0
LIMIT_WINDOW_S = 5.0
LIMIT_FACTOR = 1.1
LIMIT_EXTRA = 20

Call = callers.Call


def broken_promises(
    fleet: fleets.SoakFleet, clients: callers.Callers, timed: bool = True
) -> list[str]:
    """Returns a line for each broken promise.

    Args:
        fleet: The fleet and the faults that were injected into it.
        clients: The callers and what they saw.
        timed: Whether promises of times are checked too, which a machine that
            is too busy for its processes breaks.
    """
    checks = [
        _run_once,
        _true_refusals,
        _own_answers,
        _no_call_lost,
        _keys_unseen,
        _stopped,
        _configured,
    ]
    if timed:
        checks += [_drained, _evacuated, _limited, _spared]
    broken_promises = [
        line for check in checks for line in check(fleet, clients.calls)
    ]
    if timed:
        broken_promises += _applied(fleet, clients.probes)
    return broken_promises


def _runs(fleet: fleets.SoakFleet) -> collections.Counter[str]:
    return collections.Counter(
        run.fields.get("x-attempt-id", "")
        for target in fleet.targets.values()
        for run in target.runs
    )


def _run_once(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    runs = _runs(fleet)
    for call in calls:
        if call.single and runs[call.attempt_id] > 1:
            yield f"{call.attempt_id} ran {runs[call.attempt_id]} times"


def _true_refusals(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    runs = _runs(fleet)
    for call in calls:
        status = getattr(call.answer, "status", 0)
        if status in NOT_RUN and runs[call.attempt_id]:
            yield f"{call.attempt_id} got {status} and ran"


def _own_answers(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    del fleet
    for call in calls:
        answer = call.answer
        own = call.attempt_id.encode()
        if getattr(answer, "status", 0) == 200 and not answer.body.startswith(
            own
        ):
            yield f"{call.attempt_id} got the answer {answer.body[:40]!r}"


def _no_call_lost(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    """A VM answers what it accepted, unless it was killed or stood still."""
    runs = _runs(fleet)
    for call in calls:
        if isinstance(call.answer, http_client.Answer):
            continue
        untaken = call.answer.reason.startswith("ConnectionRefused") or (
            not runs[call.attempt_id]
            and call.ended_s - call.sent_s <= LOSS_SLACK_S
        )
        if not any(
            _may_lose(one, call, untaken, _back_s(one, calls))
            for one in fleet.happened
        ):
            yield f"{call.attempt_id} at {call.vm}: {call.answer.reason}"


def _may_lose(
    one: fleets.Happened, call: Call, untaken: bool, back_s: float
) -> bool:
    """Returns whether a fault explains a call without an answer.

    Args:
        one: The fault.
        call: The call.
        untaken: Whether it met a VM that is gone, or crossed the close of an
            idle connection and was not passed on.
        back_s: When the VM first answered after the fault.
    """
    match one.fault:
        case faults.Kill(vm) | faults.Pause(vm):
            allowed = vm == call.vm
        case faults.Stop(vm):
            allowed = vm == call.vm and untaken
        case _:
            allowed = False
    return allowed and one.begun_s <= call.ended_s and call.sent_s <= back_s


def _back_s(one: fleets.Happened, calls: list[Call]) -> float:
    """Returns when a VM first answered after a fault, in seconds."""
    vm = getattr(one.fault, "vm", "")
    return min(
        (
            call.ended_s
            for call in calls
            if call.vm == vm
            and call.sent_s > one.ended_s
            and isinstance(call.answer, http_client.Answer)
        ),
        default=math.inf,
    )


def _keys_unseen(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    del calls
    for target in fleet.targets.values():
        for run in target.runs:
            if fleets.KEY in str(run.fields):
                yield f"{target.name} saw the key"


def _vm_by_id(calls: list[Call]) -> dict[str, str]:
    """Returns the VM that each call was sent to, by the call's identifier."""
    return {call.attempt_id: call.vm for call in calls}


def _drained(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    vm_by_id = _vm_by_id(calls)
    for one in fleet.happened:
        match one.fault:
            case faults.Drain(name) | faults.Remove(name):
                for line in _late(fleet, vm_by_id, one, {name}, DRAIN_S):
                    yield f"{name}: {line}"


def _evacuated(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    vm_by_id = _vm_by_id(calls)
    for one in fleet.happened:
        match one.fault:
            case faults.Evacuate(zone):
                names = {n for n, at in faults.TARGETS.items() if at == zone}
                for line in _late(fleet, vm_by_id, one, names, EVACUATION_S):
                    yield f"{zone}: {line}"


def _late(
    fleet: fleets.SoakFleet,
    vm_by_id: dict[str, str],
    one: fleets.Happened,
    names: set[str],
    bound_s: float,
) -> Iterator[str]:
    """Yields runs later than a bound that VMs in touch have sent."""
    if any(_takes_back(other, one) for other in fleet.happened):
        return
    for name in names:
        for run in fleet.targets[name].runs:
            vm = vm_by_id.get(run.fields.get("x-attempt-id", ""))
            is_late = one.begun_s + bound_s < run.arrived_s < one.ended_s
            if is_late and vm and _in_touch(fleet, vm, run.arrived_s):
                late_s = run.arrived_s - one.begun_s
                yield f"run by {vm} {late_s:.1f} s after {one.fault}"


def _takes_back(other: fleets.Happened, one: fleets.Happened) -> bool:
    """Returns whether the end of a fault restores what another one changed."""
    match one.fault, other.fault:
        case (faults.Evacuate(zone), faults.Evacuate(other_zone)):
            same = zone == other_zone
        case (
            faults.Drain(name) | faults.Remove(name),
            faults.Drain(other_name) | faults.Remove(other_name),
        ):
            same = name == other_name
        case _:
            same = False
    ended_meanwhile = one.begun_s <= other.ended_s <= one.ended_s
    return same and other is not one and ended_meanwhile


def _in_touch(fleet: fleets.SoakFleet, vm: str, at_s: float) -> bool:
    """Returns whether nothing disturbed a VM or the store for a while."""
    return not any(
        one.begun_s <= at_s
        and at_s <= one.ended_s + STABLE_S
        and _disturbs(one.fault, vm)
        for one in fleet.happened
    )


def _disturbs(fault: faults.Fault, vm: str) -> bool:
    match fault:
        case faults.Store():
            return True
        case faults.Link(name):
            return name in ("", vm)
        case faults.Kill(name) | faults.Stop(name) | faults.Pause(name):
            return name == vm
    return False


def _spared(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    """Yields cold targets that get too much, from VMs in touch or not."""
    del calls
    for one in fleet.happened:
        match one.fault:
            case faults.Cool(name):
                ends_s = one.begun_s + faults.COLD_S
                times = sorted(
                    run.arrived_s
                    for run in fleet.targets[name].runs
                    if one.begun_s <= run.arrived_s < ends_s
                )
                worst = max(
                    (sum(a <= b < a + 1.0 for b in times) for a in times),
                    default=0,
                )
                if worst > COLD_MOST and not _is_unheard(fleet, one):
                    yield f"{name}: {worst} runs in a second while cold"


def _is_unheard(fleet: fleets.SoakFleet, cold: fleets.Happened) -> bool:
    """Returns whether no VM can have heard that a target is cold."""
    return any(
        one.begun_s < cold.ended_s
        and cold.begun_s < one.ended_s + STABLE_S
        and isinstance(one.fault, faults.Store | faults.Link)
        and _disturbs(one.fault, "")
        for one in fleet.happened
    )


def _applied(
    fleet: fleets.SoakFleet, probes: list[callers.Probe]
) -> Iterator[str]:
    """Yields VMs in touch that answered as an older version says."""
    seen = set()
    for probe in probes:
        late_s = probe.sent_s - fleet.written_s[probe.version]
        if (
            probe.status == 404
            and late_s > APPLIED_S
            and (probe.vm, probe.version) not in seen
            and _in_touch(fleet, probe.vm, probe.sent_s)
        ):
            seen.add((probe.vm, probe.version))
            yield (
                f"{probe.vm}: version {probe.version} not in force after "
                f"{late_s:.1f} s"
            )


def _limited(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    """Counts windows under the highest rate in force shortly before."""
    del calls
    times = sorted(
        run.arrived_s
        for target in fleet.targets.values()
        for run in target.runs
        if run.fields.get("x-tenant") == "acme"
    )
    for first, begin_s in enumerate(times):
        until_s = begin_s + LIMIT_WINDOW_S
        count = sum(time_s <= until_s for time_s in times[first:])
        rate_per_s = _highest_rate(fleet, begin_s, until_s)
        most = rate_per_s * LIMIT_WINDOW_S + fleets.BURST
        if count > most * LIMIT_FACTOR + LIMIT_EXTRA:
            yield f"acme: {count} runs in {LIMIT_WINDOW_S} s at {rate_per_s}/s"
            return


def _highest_rate(
    fleet: fleets.SoakFleet, begin_s: float, until_s: float
) -> float:
    """Returns the highest rate that may be in force in a window."""
    out_of_touch = any(
        isinstance(one.fault, faults.Store | faults.Link | faults.Pause)
        and one.begun_s < until_s
        and one.ended_s + LIMIT_WINDOW_S + APPLIED_S > begin_s
        for one in fleet.happened
    )
    if out_of_touch:
        return max(rate for _, rate in fleet.rates)
    latest = [rate for at_s, rate in fleet.rates if at_s <= until_s]
    before_s = begin_s - LIMIT_WINDOW_S - APPLIED_S
    lasting = sum(at_s <= before_s for at_s, _ in fleet.rates)
    return max(latest[max(0, lasting - 1) :])


def _stopped(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    del calls
    for vm, code, taken_s in fleet.exits:
        if code != 0:
            yield f"{vm} ended with {code} after {taken_s:.1f} s"
    for name, process in fleet.vms.items():
        if not process.is_running():
            yield f"{name} has ended by itself"


def _configured(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    del calls
    for process in fleet.group.processes:
        versions = [
            line["version"]
            for line in map(json.loads, _lines(process))
            if line["text"].endswith("A configuration is in force.")
        ]
        if versions != sorted(versions):
            yield f"{process.name} applied the versions {versions}"


def _lines(process) -> Iterator[str]:
    return (line for line in process.log().splitlines() if line[:1] == "{")
