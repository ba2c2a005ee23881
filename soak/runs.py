"""Runs one seed of the soak."""

import pathlib
import time

import attrs
import gevent

from soak import callers as caller_sets
from soak import checks
from soak import faults
from soak import fleet as fleets
from standins import waiting

# Values of the setting `mesh_vms`: all VMs of a soak form a full mesh with the
# first; with the second, each zone shares its heartbeats and its watches.
MESH_VMS = 16
ZONES_MESH_VMS = 2
# Room for the long requests of all callers.
FAULTY_SLOTS = 64
# Time in which requests that were refused might still run.
SETTLING_TIME_S = 1.0


@attrs.frozen
class SeedResult:
    """Result of one seed.

    Attributes:
        summary: Number of calls, and of those with status 200.
        broken_promises: A line for each broken promise.
        series: A line for each injected fault, in order of their start.
    """

    summary: str
    broken_promises: tuple[str, ...]
    series: tuple[str, ...]


def run_seed(
    seed: int,
    duration_s: float,
    directory: pathlib.Path,
    mesh: bool,
    timed: bool = True,
    crowded: bool = False,
    cold: bool = False,
    faulty: bool = False,
) -> SeedResult:
    """Injects the faults of a seed under load and checks the promises.

    Args:
        seed: Seed of the faults and the callers.
        duration_s: Time within which faults start, in seconds.
        directory: Directory of the logs.
        mesh: Whether all VMs form a full mesh, as in a small fleet.
        timed: Whether promises with time bounds are checked too.
        crowded: Whether one zone has many VMs.
        cold: Whether targets also turn cold.
        faulty: Whether the targets and their entries also fail in the ways that
            operators reported, and VMs stop with long requests in progress.
    """
    mesh_vms = MESH_VMS if mesh else ZONES_MESH_VMS
    broken_promises: list[str] = []
    vms = faults.CROWDED_VMS if crowded else faults.VMS
    callers_per_vm = caller_sets.CALLERS_PER_VM
    if cold:
        callers_per_vm = caller_sets.COLD_CALLERS_PER_VM
    slots = FAULTY_SLOTS if faulty else fleets.DEFAULT_SLOTS
    with fleets.SoakFleet(directory, vms, slots, mesh_vms=mesh_vms) as fleet:
        fleet.start()
        start_s = time.monotonic()
        callers = caller_sets.Callers(fleet, seed, callers_per_vm, faulty)
        plan = faults.plan(seed, duration_s, vms)
        if cold:
            plan += faults.plan_cold_targets(seed, duration_s, vms)
        if faulty:
            plan += faults.plan_faulty_targets(seed, duration_s)
            plan += faults.plan_stops(seed, duration_s, vms)
        for greenlet in [
            gevent.spawn_later(planned.start_s, fleet.inject, planned)
            for planned in plan
        ]:
            greenlet.get()
        try:
            fleet.wait_until_all_serve()
        except waiting.ConditionError as error:
            broken_promises.append(str(error))
        callers.finish()
        gevent.sleep(SETTLING_TIME_S)
        broken_promises += checks.broken_promises(fleet, callers, timed)
    served = sum(
        getattr(call.response, "status", 0) == 200 for call in callers.calls
    )
    series = tuple(
        f"{injected.started_s - start_s:.2f} to "
        f"{injected.ended_s - start_s:.2f} s: "
        f"{injected.fault}"
        for injected in sorted(
            fleet.injected_faults, key=lambda injected: injected.started_s
        )
    )
    summary = f"{served} of {len(callers.calls)} calls served"
    return SeedResult(summary, tuple(broken_promises), series)
