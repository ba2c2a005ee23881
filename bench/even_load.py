"""Measures how evenly choices of a target spread the same load.

Run `python -m bench.even_load examples/uneven-regions.toml`. It emulates each
combination of a choice, a number of VMs and an age of the reported loads.
"""

import argparse
from collections.abc import Iterable
import csv
import itertools
import multiprocessing
import pathlib
import sys

import attrs

from mulberrydeck.emulator import baselines
from mulberrydeck.emulator import emulation
from mulberrydeck.emulator import scenario as scenarios
from mulberrydeck.steering import placement

VM_COUNTS = (10, 63, 124, 195)
REPORT_AGES_S = (0.0, 0.5, 1.0, 2.0)
EXACT = "exact-loads"
# By the schedulers of services; requests wait there and at targets.
SCHEDULED = "slot-scheduling"
CHOICES = {
    SCHEDULED: placement.choose,
    "mulberrydeck": placement.choose,
    # Replaced by one that knows the targets of the run.
    EXACT: placement.choose,
    "uniform": baselines.BY_NAME["uniform"],
    "two-choices": baselines.BY_NAME["two-choices"],
    "least-in-flight": baselines.BY_NAME["least-in-flight"],
    "free-slots": baselines.BY_NAME["free-slots"],
    "least-loaded": baselines.BY_NAME["least-loaded"],
}


@attrs.frozen
class Case:
    """One combination to emulate.

    Attributes:
        path: Path of the scenario.
        seed: Seed of all random choices.
        choice: Name of the choice of a target.
        vms: Number of VMs.
        report_age_s: Age of the reported loads, in seconds.
        load: Load as a multiple of that of the scenario.
    """

    path: pathlib.Path
    seed: int
    choice: str
    vms: int
    report_age_s: float
    load: float


@attrs.frozen
class Figures:
    """Results of a case; shares are fractions of all requests.

    Attributes:
        choice: Name of the choice of a target.
        vms: Number of VMs.
        report_age_s: Age of the reported loads, in seconds.
        seed: Seed of all random choices.
        asked: Number of requests.
        waited: Share that waited at a target.
        beside_free: Share that waited while another target of the service and
            region had a free slot.
        unevenness: 95th percentile less median of the slots in use.
        late: Share that was served after its goal.
        refused: Share that was refused.
        value: Value as a fraction of the highest possible one.
        target_rejections: Number of attempts that full targets rejected.
        remote: Share of the attempts at another region.
        unknown: Share of the runs whose object was not in the cache.
    """

    choice: str
    vms: int
    report_age_s: float
    seed: int
    asked: int
    waited: float
    beside_free: float
    unevenness: float
    late: float
    refused: float
    value: float
    target_rejections: int
    remote: float
    unknown: float


def measure(case: Case) -> Figures:
    """Emulates a case."""
    scenario = scenarios.with_vms(scenarios.load(case.path), case.vms)
    scenario = scenarios.with_load(scenario, case.load)
    baselines.seed(case.seed)
    run = emulation.Emulation(
        scenario,
        case.seed,
        CHOICES[case.choice],
        case.report_age_s,
        {"slot_scheduling_min_vms": int(case.choice == SCHEDULED)},
    )
    if case.choice == EXACT:
        choose = baselines.with_exact_loads(run.targets)
        for vm in run.vms.values():
            vm.state.choose = choose
    results = run.run()
    overall = results.overall()
    return Figures(
        choice=case.choice,
        vms=case.vms,
        report_age_s=case.report_age_s,
        seed=case.seed,
        asked=overall.asked,
        waited=overall.waited,
        beside_free=overall.waited_beside_free,
        unevenness=results.mean_unevenness(),
        late=overall.late,
        refused=overall.refused,
        value=overall.value,
        target_rejections=results.target_rejections,
        remote=results.remote_fraction,
        unknown=results.cache_miss_fraction,
    )


def format_table(measured: Iterable[Figures]) -> str:
    """Returns a Markdown table with a column for each age of reports."""
    by_case = {(f.vms, f.choice, f.report_age_s): f for f in measured}
    ages = sorted({age for _, _, age in by_case})
    rows = list(dict.fromkeys((vms, choice) for vms, choice, _ in by_case))
    lines = [
        "| VMs | choice | " + " | ".join(f"{age:g} s" for age in ages) + " |",
        "|---|---|" + "---|" * len(ages),
    ]
    for vms, choice in rows:
        cells = [_format_cell(by_case[vms, choice, age]) for age in ages]
        lines.append(f"| {vms} | {choice} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _format_cell(figures: Figures) -> str:
    return (
        f"{figures.beside_free:.1%}, {figures.unevenness:.2f}, "
        f"{figures.late:.1%}, {figures.refused:.1%}"
    )


def main() -> None:
    """Measures all combinations and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("path", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--vms", type=int, nargs="+", default=VM_COUNTS)
    parser.add_argument(
        "--report-ages-s", type=float, nargs="+", default=REPORT_AGES_S
    )
    parser.add_argument(
        "--choices", nargs="+", choices=CHOICES, default=list(CHOICES)
    )
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    cases = [
        Case(options.path, seed, choice, vms, age_s, options.load)
        for seed, vms, choice, age_s in itertools.product(
            options.seeds, options.vms, options.choices, options.report_ages_s
        )
    ]
    with multiprocessing.Pool(options.processes) as pool:
        measured = pool.map(measure, cases, chunksize=1)
    writer = csv.writer(sys.stdout)
    writer.writerow(field.name for field in attrs.fields(Figures))
    for figures in measured:
        row = attrs.astuple(figures)
        writer.writerow(
            round(each, 4) if isinstance(each, float) else each for each in row
        )
    for seed in options.seeds:
        print(f"\nSeed {seed}: waits beside a free slot, unevenness, late,")
        print("refused\n")
        print(format_table(f for f in measured if f.seed == seed))


if __name__ == "__main__":
    main()
