"""Runs soaks: `python -m soak --first 1 --seeds 50`."""

import pathlib
import sys
import tempfile
import time

import click

from soak import runs


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=50, help="Number of seeds.")
@click.option(
    "--duration", default=20.0, help="Seconds within which faults start."
)
@click.option(
    "--mesh/--zones", default=True, help="Full mesh of VMs, or sharing by zone."
)
@click.option("--crowded", is_flag=True, help="Many VMs in one zone.")
@click.option("--cold", is_flag=True, help="Targets also turn cold.")
@click.option(
    "--faulty", is_flag=True, help="Also failures that operators reported."
)
def main(
    first: int,
    seeds: int,
    duration: float,
    mesh: bool,
    crowded: bool,
    cold: bool,
    faulty: bool,
) -> None:
    """Runs seeds; prints broken promises, faults and directories of logs."""
    failed = []
    for seed in range(first, first + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        start_s = time.monotonic()
        seed_result = runs.run_seed(
            seed,
            duration,
            directory,
            mesh,
            crowded=crowded,
            cold=cold,
            faulty=faulty,
        )
        elapsed_s = time.monotonic() - start_s
        click.echo(f"seed {seed}: {seed_result.summary} in {elapsed_s:.0f} s")
        for line in seed_result.broken_promises:
            click.echo(f"  BROKEN {line}")
        if seed_result.broken_promises:
            failed.append(seed)
            click.echo(f"  logs: {directory}")
            for fault in seed_result.series:
                click.echo(f"  {fault}")
    click.echo(f"{seeds - len(failed)} of {seeds} seeds passed")
    sys.exit(bool(failed))


main()
