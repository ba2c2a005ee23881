"""Checks of the promises, from the records of callers and targets."""

import collections
from collections.abc import Iterator
import json
import math

from soak import callers
from soak import faults
from soak import fleet as fleets
from standins import http_client
from standins.users_platform import instances

# HTTP statuses by which a VM states that a request has not run.
NOT_RUN = (401, 404, 413, *callers.PROMISES)
# A response without a target's signature is the VM's own.
SIGNATURE = "x-response-signature"
# Bounds of the users' platform.
MAX_DRAIN_S = 3.0
MAX_EVACUATION_S = 5.0
MAX_APPLY_S = 3.0
# Time after a disturbance in which time bounds are not checked.
SETTLING_TIME_S = 4.0
# A call that fails within this time may have been sent while the VM closed the
# idle connection.
IDLE_CLOSE_WINDOW_S = 0.2
# `ColdPerS` x `ColdOverage` + `ColdSlack` of the configured services.
MAX_COLD_RUNS_PER_S = 6.9 * 1.5 + 5.0
# A request that ends so long before its time limit was broken off earlier.
LIMIT_MARGIN_S = 0.3
# A VM's own response follows within this time after it breaks off a request.
OWN_RESPONSE_S = 0.5
# Within the last part of a stop, a VM may break off requests that arrived in
# the first seconds of it.
LAST_STOP_FRACTION = 1 / 6
ACCEPTED_IN_STOP_S = 3.0
LIMIT_WINDOW_S = 5.0
LIMIT_FACTOR = 1.1
LIMIT_EXTRA_RUNS = 20

Call = callers.Call


def broken_promises(
    fleet: fleets.SoakFleet, clients: callers.Callers, timed: bool = True
) -> list[str]:
    """Returns a line for each broken promise.

    Args:
        fleet: The fleet and the faults that were injected into it.
        clients: The callers and their records.
        timed: Whether promises with time bounds are checked too. An overloaded
            machine alone can break them.
    """
    checks = [
        _check_single_runs,
        _check_refusals,
        _check_repeated_works,
        _check_responses,
        _check_requests,
        _check_lost_calls,
        _check_cut_runs,
        _check_key_secrecy,
        _check_exits,
        _check_version_order,
    ]
    if timed:
        checks += [
            _check_drains,
            _check_evacuations,
            _check_limit,
            _check_cold_targets,
        ]
    broken = [line for check in checks for line in check(fleet, clients.calls)]
    if timed:
        broken += _check_applied_versions(fleet, clients.probes)
    return broken


def _runs_by_attempt(fleet: fleets.SoakFleet) -> collections.Counter[str]:
    return collections.Counter(
        run.fields.get("x-attempt-id", "")
        for target in fleet.targets.values()
        for run in target.runs
    )


def _played(fleet: fleets.SoakFleet, attempt_id: str) -> str:
    """Returns the faults of the targets that received a request, if any."""
    played = [
        f"{target.name}: {fault}"
        for target in fleet.targets.values()
        for fault in target.played_faults.get(attempt_id, ())
    ]
    return f" ({', '.join(played)})" if played else ""


def _check_single_runs(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    runs = _runs_by_attempt(fleet)
    for call in calls:
        if call.single and runs[call.attempt_id] > 1:
            count = runs[call.attempt_id]
            targets = _played(fleet, call.attempt_id)
            yield f"TWICE: {call.attempt_id} ran {count} times{targets}"


def _check_refusals(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """REFUSED: a call that is refused never runs."""
    runs = _runs_by_attempt(fleet)
    for call in calls:
        status = getattr(call.response, "status", 0)
        is_promise = status in NOT_RUN and not (
            not call.single and _is_targets_own_failure(fleet, call)
        )
        if is_promise and runs[call.attempt_id]:
            targets = _played(fleet, call.attempt_id)
            yield f"REFUSED: {call.attempt_id} got {status} and ran{targets}"


def _is_targets_own_failure(fleet: fleets.SoakFleet, call: Call) -> bool:
    """Returns whether a target ran a call and gave the status of its response.

    For a call that may be repeated, its response is passed on unchanged.
    """
    target = _signer(fleet, call.response)
    return (
        target is not None
        and call.response.status in target.statuses.get(call.attempt_id, ())
        and any(
            run.fields.get("x-attempt-id") == call.attempt_id
            for run in target.runs
        )
    )


def _signer(
    fleet: fleets.SoakFleet,
    response: http_client.Response | http_client.NoResponse,
) -> instances.Instance | None:
    """Returns the target whose signature a response has, if any."""
    match response:
        case http_client.Response(headers=headers):
            _, _, name = headers.get(SIGNATURE, "").partition(".")
            return fleet.targets.get(name)
    return None


def _check_repeated_works(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """TWICE, REFUSED: of a work's attempts, those that were refused don't run.

    Works are told apart by the path, not by the identifier of an attempt.
    """
    runs = collections.Counter(
        run.path for target in fleet.targets.values() for run in target.runs
    )
    attempts_by_path = collections.defaultdict(list)
    for call in calls:
        if call.work:
            attempts_by_path[call.path].append(call)
    for path, attempts in attempts_by_path.items():
        max_runs = sum(not call.is_refused for call in attempts)
        if runs[path] > max_runs:
            outcomes = [
                f"{call.vm} "
                f"{getattr(call.response, 'status', 0) or call.response.reason}"
                for call in attempts
            ]
            yield f"REFUSED: {path} ran {runs[path]} times, after {outcomes}"


def _check_responses(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """MIXED: a response is a target's whole response to the call, or no 2xx."""
    for call in calls:
        match call.response:
            case http_client.Response(status, headers, body):
                pass
            case _:
                continue
        answered_id = headers.get("x-attempt-id", call.attempt_id)
        target = _signer(fleet, call.response)
        got = f"MIXED: {call.attempt_id} got {status} {body[:40]!r}"
        if answered_id != call.attempt_id:
            yield f"{got} of {answered_id}"
        elif SIGNATURE not in headers:
            if 200 <= status < 300:
                yield f"{got} without a signature"
        elif target is None:
            yield f"{got} signed {headers[SIGNATURE]}"
        elif status not in target.statuses.get(call.attempt_id, ()):
            given = sorted(target.statuses.get(call.attempt_id, ()))
            yield f"{got}, but {target.name} gave {given}"
        elif call.attempt_id in target.broken_off:
            yield f"{got}, which {target.name} broke off"
        elif 200 <= status < 300 and body != target.body(call.attempt_id):
            yield f"{got}, which is not the body of {target.name}"


def _check_requests(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """UNASKED: a call runs with the path and the body that were sent."""
    call_by_id = {call.attempt_id: call for call in calls}
    for target in fleet.targets.values():
        for run in target.runs:
            call = call_by_id.get(run.fields.get("x-attempt-id", ""))
            if call and (run.path, run.body) != (call.path, call.body):
                yield f"UNASKED: {call.attempt_id} ran as {run.path}"


def _check_lost_calls(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """LOST: a VM that was not killed or suspended responds to its requests."""
    runs = _runs_by_attempt(fleet)
    recovered = [
        (injected, _recovered_s(injected, calls))
        for injected in fleet.injected_faults
    ]
    for call in calls:
        if isinstance(
            call.response, http_client.Response
        ) or _broke_off_in_transit(fleet, call.attempt_id):
            continue
        not_accepted = call.response.reason.startswith("ConnectionRefused") or (
            not runs[call.attempt_id]
            and call.ended_s - call.sent_s <= IDLE_CLOSE_WINDOW_S
        )
        if not any(
            _explains_loss(injected, call, not_accepted, recovered_s)
            for injected, recovered_s in recovered
        ):
            targets = _played(fleet, call.attempt_id)
            lost = f"LOST: {call.attempt_id} at {call.vm}{targets}"
            yield f"{lost}: {call.response.reason}"


def _broke_off_in_transit(fleet: fleets.SoakFleet, attempt_id: str) -> bool:
    """Returns whether a target broke off a response too long to be kept.

    A VM responds itself if a shorter one is broken off.
    """
    return any(
        "long broken" in fault
        for target in fleet.targets.values()
        for fault in target.played_faults.get(attempt_id, ())
    )


def _explains_loss(
    injected: fleets.InjectedFault,
    call: Call,
    not_accepted: bool,
    recovered_s: float,
) -> bool:
    """Returns whether a fault explains a call without a response.

    Args:
        injected: The fault.
        call: The call.
        not_accepted: Whether the VM refused the connection, or closed it while
            idle before it received and forwarded the request.
        recovered_s: Monotonic time at which the VM first responded after the
            fault, in seconds.
    """
    match injected.fault:
        case faults.Kill(vm) | faults.Pause(vm) | faults.Stop(vm, how="paused"):
            allowed = vm == call.vm
        case faults.Stop(vm):
            allowed = vm == call.vm and not_accepted
        case _:
            allowed = False
    return (
        allowed
        and injected.started_s <= call.ended_s
        and call.sent_s <= recovered_s
    )


def _check_cut_runs(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """LOST: a VM that stops does not break off what a target works on."""
    cut_s_by_id = {
        attempt_id: cut_s
        for target in fleet.targets.values()
        for attempt_id, cut_s in target.cancelled_s.items()
    }
    for call in calls:
        cut_s = cut_s_by_id.get(call.attempt_id, math.inf)
        is_own_response = (
            isinstance(call.response, http_client.Response)
            and SIGNATURE not in call.response.headers
            and abs(call.ended_s - cut_s) <= OWN_RESPONSE_S
        )
        if (
            is_own_response
            and cut_s < call.sent_s + call.limit_s - LIMIT_MARGIN_S
            and not _was_answered_wrongly(fleet, call.attempt_id)
            and any(
                _forbids_cut(injected, call, cut_s)
                for injected in fleet.injected_faults
            )
            and not _is_disturbed_otherwise(fleet, call.vm, cut_s)
        ):
            yield (
                f"LOST: {call.attempt_id} at {call.vm} was broken off after "
                f"{cut_s - call.sent_s:.1f} s with {call.response.status}"
                f"{_played(fleet, call.attempt_id)}"
            )


def _was_answered_wrongly(fleet: fleets.SoakFleet, attempt_id: str) -> bool:
    """Returns whether a target sent a response that no identifier tells apart.

    A VM cannot wait for the target's own response then.
    """
    return any(
        "bare copy" in target.played_faults.get(attempt_id, ())
        for target in fleet.targets.values()
    )


def _forbids_cut(
    injected: fleets.InjectedFault, call: Call, cut_s: float
) -> bool:
    """Returns whether a VM must let a call end, as it stops by a fault."""
    match injected.fault:
        case faults.Stop(vm, how) if vm == call.vm and how != "paused":
            stop_s = cut_s - injected.started_s
            last_s = fleets.STOP_TIMEOUT_S * (1 - LAST_STOP_FRACTION)
            is_early = call.sent_s <= injected.started_s + ACCEPTED_IN_STOP_S
            return 0 <= stop_s <= fleets.STOP_TIMEOUT_S and not (
                stop_s >= last_s and is_early
            )
    return False


def _is_disturbed_otherwise(
    fleet: fleets.SoakFleet, vm: str, at_s: float
) -> bool:
    """Returns whether an unplanned fault disturbed a VM shortly before."""
    return any(
        injected.started_s <= at_s <= injected.ended_s + SETTLING_TIME_S
        and not isinstance(injected.fault, faults.Stop)
        and _disturbs(injected.fault, vm)
        for injected in fleet.injected_faults
    )


def _recovered_s(injected: fleets.InjectedFault, calls: list[Call]) -> float:
    """Returns the time of a VM's first response after a fault, in seconds.

    It is infinite if there was none.
    """
    vm = getattr(injected.fault, "vm", "")
    return min(
        (
            call.ended_s
            for call in calls
            if call.vm == vm
            and call.sent_s > injected.ended_s
            and isinstance(call.response, http_client.Response)
        ),
        default=math.inf,
    )


def _check_key_secrecy(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    del calls
    for target in fleet.targets.values():
        for run in target.runs:
            if fleets.KEY in str(run.fields):
                yield f"{target.name} saw the key"


def _vm_by_id(calls: list[Call]) -> dict[str, str]:
    """Returns the VM that each call was sent to, by the call's identifier."""
    return {call.attempt_id: call.vm for call in calls}


def _check_drains(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    vm_by_id = _vm_by_id(calls)
    for injected in fleet.injected_faults:
        match injected.fault:
            case faults.Drain(name) | faults.Remove(name):
                for line in _late_runs(
                    fleet, vm_by_id, injected, {name}, MAX_DRAIN_S
                ):
                    yield f"{name}: {line}"


def _check_evacuations(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    vm_by_id = _vm_by_id(calls)
    for injected in fleet.injected_faults:
        match injected.fault:
            case faults.Evacuate(zone):
                names = {
                    name
                    for name, target_zone in faults.TARGETS.items()
                    if target_zone == zone
                }
                for line in _late_runs(
                    fleet, vm_by_id, injected, names, MAX_EVACUATION_S
                ):
                    yield f"{zone}: {line}"


def _late_runs(
    fleet: fleets.SoakFleet,
    vm_by_id: dict[str, str],
    injected: fleets.InjectedFault,
    names: set[str],
    max_delay_s: float,
) -> Iterator[str]:
    """Yields runs later than the bound that undisturbed VMs have sent."""
    if any(_reverts(other, injected) for other in fleet.injected_faults):
        return
    for name in names:
        for run in fleet.targets[name].runs:
            vm = vm_by_id.get(run.fields.get("x-attempt-id", ""))
            is_late = (
                injected.started_s + max_delay_s
                < run.arrived_s
                < injected.ended_s
            )
            if is_late and vm and _is_undisturbed(fleet, vm, run.arrived_s):
                elapsed_s = run.arrived_s - injected.started_s
                yield f"run by {vm} {elapsed_s:.1f} s after {injected.fault}"


def _reverts(
    other: fleets.InjectedFault, injected: fleets.InjectedFault
) -> bool:
    """Returns whether the end of one fault reverts the effect of another."""
    match injected.fault, other.fault:
        case (faults.Evacuate(zone), faults.Evacuate(other_zone)):
            same = zone == other_zone
        case (
            faults.Drain(name) | faults.Remove(name),
            faults.Drain(other_name) | faults.Remove(other_name),
        ):
            same = name == other_name
        case _:
            same = False
    ended_meanwhile = injected.started_s <= other.ended_s <= injected.ended_s
    return same and other is not injected and ended_meanwhile


def _is_undisturbed(fleet: fleets.SoakFleet, vm: str, at_s: float) -> bool:
    """Returns whether nothing disturbed a VM or the store shortly before."""
    return not any(
        injected.started_s <= at_s
        and at_s <= injected.ended_s + SETTLING_TIME_S
        and _disturbs(injected.fault, vm)
        for injected in fleet.injected_faults
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


def _check_cold_targets(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    """Yields overloaded cold targets, also while single VMs are disturbed."""
    del calls
    for injected in fleet.injected_faults:
        match injected.fault:
            case faults.Cool(name):
                cold_end_s = injected.started_s + faults.COLD_S
                times = sorted(
                    run.arrived_s
                    for run in fleet.targets[name].runs
                    if injected.started_s <= run.arrived_s < cold_end_s
                )
                max_per_s = max(
                    (sum(a <= b < a + 1.0 for b in times) for a in times),
                    default=0,
                )
                if max_per_s > MAX_COLD_RUNS_PER_S and not _may_be_unknown(
                    fleet, injected
                ):
                    yield f"{name}: {max_per_s} runs in a second while cold"


def _may_be_unknown(
    fleet: fleets.SoakFleet, cold: fleets.InjectedFault
) -> bool:
    """Returns whether all VMs may lack the update that a target is cold."""
    return any(
        injected.started_s < cold.ended_s
        and cold.started_s < injected.ended_s + SETTLING_TIME_S
        and isinstance(injected.fault, faults.Store | faults.Link)
        and _disturbs(injected.fault, "")
        for injected in fleet.injected_faults
    )


def _check_applied_versions(
    fleet: fleets.SoakFleet, probes: list[callers.Probe]
) -> Iterator[str]:
    """Yields undisturbed VMs that responded by an outdated version."""
    seen = set()
    for probe in probes:
        elapsed_s = probe.sent_s - fleet.written_s[probe.version]
        if (
            probe.status == 404
            and elapsed_s > MAX_APPLY_S
            and (probe.vm, probe.version) not in seen
            and _is_undisturbed(fleet, probe.vm, probe.sent_s)
        ):
            seen.add((probe.vm, probe.version))
            yield (
                f"{probe.vm}: version {probe.version} not in force after "
                f"{elapsed_s:.1f} s"
            )


def _check_limit(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    """Checks each window against the highest rate that may apply in it."""
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
        max_runs = rate_per_s * LIMIT_WINDOW_S + fleets.BURST
        if count > max_runs * LIMIT_FACTOR + LIMIT_EXTRA_RUNS:
            yield f"acme: {count} runs in {LIMIT_WINDOW_S} s at {rate_per_s}/s"
            return


def _highest_rate(
    fleet: fleets.SoakFleet, begin_s: float, until_s: float
) -> float:
    """Returns the highest rate that may be in force in a window."""
    is_disturbed = any(
        isinstance(injected.fault, faults.Store | faults.Link | faults.Pause)
        and injected.started_s < until_s
        and injected.ended_s + LIMIT_WINDOW_S + MAX_APPLY_S > begin_s
        for injected in fleet.injected_faults
    )
    if is_disturbed:
        return max(rate for _, rate in fleet.rates)
    written = [rate for at_s, rate in fleet.rates if at_s <= until_s]
    before_s = begin_s - LIMIT_WINDOW_S - MAX_APPLY_S
    applied_count = sum(at_s <= before_s for at_s, _ in fleet.rates)
    return max(written[max(0, applied_count - 1) :])


def _check_exits(fleet: fleets.SoakFleet, calls: list[Call]) -> Iterator[str]:
    del calls
    for vm, code, elapsed_s in fleet.exits:
        if code != 0:
            yield f"{vm} ended with {code} after {elapsed_s:.1f} s"
    for name, process in fleet.vms.items():
        if not process.is_running():
            yield f"{name} has ended by itself"


def _check_version_order(
    fleet: fleets.SoakFleet, calls: list[Call]
) -> Iterator[str]:
    del calls
    for process in fleet.group.processes:
        versions = [
            line["version"]
            for line in map(json.loads, _log_lines(process))
            if line["text"].endswith("A configuration is in force.")
        ]
        if versions != sorted(versions):
            yield f"{process.name} applied the versions {versions}"


def _log_lines(process) -> Iterator[str]:
    return (line for line in process.log().splitlines() if line[:1] == "{")
