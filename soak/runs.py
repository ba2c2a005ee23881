"""Plays one seed of the soak."""

import pathlib
import time

import attrs
import gevent

from soak import callers as caller_sets
from soak import checks
from soak import faults
from soak import fleet as fleets
from standins import waiting

ALL_MESH = 16
ZONES_FROM = 2


@attrs.frozen
class SeedResult:
    """What came of one seed.

    Attributes:
        summary: Calls, and how many were answered with 200.
        broken: A line for each broken promise.
        series: The faults as they were injected, from the beginning.
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
) -> SeedResult:
    """Plays the faults of a seed beside callers and checks what was seen.

    Args:
        seed: Seed of faults and callers.
        duration_s: Time in which faults begin.
        directory: Where logs are written.
        mesh: Whether all VMs hear each other, as in a small fleet.
        timed: Whether promises of times are checked too.
        crowded: Whether one zone has many VMs.
        cold: Whether targets turn cold besides.
    """
    mesh_vms = ALL_MESH if mesh else ZONES_FROM
    broken_promises: list[str] = []
    vms = faults.CROWDED_VMS if crowded else faults.VMS
    callers_a_vm = caller_sets.CALLERS_A_VM
    if cold:
        callers_a_vm = caller_sets.MANY_CALLERS_A_VM
    with fleets.SoakFleet(directory, vms, mesh_vms=mesh_vms) as fleet:
        fleet.start()
        began_s = time.monotonic()
        callers = caller_sets.Callers(fleet, seed, callers_a_vm)
        plan = faults.plan(seed, duration_s, vms)
        if cold:
            plan += faults.cold_spells(seed, duration_s, vms)
        for fault in [
            gevent.spawn_later(planned.at_s, fleet.inject, planned)
            for planned in plan
        ]:
            fault.get()
        try:
            fleet.wait_all_serve()
        except waiting.ConditionError as error:
            broken_promises.append(str(error))
        callers.finish()
        broken_promises += checks.broken_promises(fleet, callers, timed)
    served = sum(
        getattr(call.answer, "status", 0) == 200 for call in callers.calls
    )
    series = tuple(
        f"{one.begun_s - began_s:.2f} to {one.ended_s - began_s:.2f} s: "
        f"{one.fault}"
        for one in sorted(fleet.happened, key=lambda one: one.begun_s)
    )
    summary = f"{served} of {len(callers.calls)} calls served"
    return SeedResult(summary, tuple(broken_promises), series)
