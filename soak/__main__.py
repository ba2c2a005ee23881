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
@click.option("--duration", default=20.0, help="Length of each, in seconds.")
@click.option("--mesh/--zones", default=True, help="How VMs hear each other.")
@click.option("--crowded", is_flag=True, help="Many VMs in one zone.")
@click.option("--cold", is_flag=True, help="Targets turn cold besides.")
def main(
    first: int,
    seeds: int,
    duration: float,
    mesh: bool,
    crowded: bool,
    cold: bool,
) -> None:
    """Plays seeds and prints what broke; keeps the logs of those."""
    failed = []
    for seed in range(first, first + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        began_s = time.monotonic()
        played = runs.run_seed(
            seed, duration, directory, mesh, crowded=crowded, cold=cold
        )
        taken_s = time.monotonic() - began_s
        click.echo(f"seed {seed}: {played.summary} in {taken_s:.0f} s")
        for line in played.broken_promises:
            click.echo(f"  BROKEN {line}")
        if played.broken_promises:
            failed.append(seed)
            click.echo(f"  logs: {directory}")
            for one in played.series:
                click.echo(f"  {one}")
    click.echo(f"{seeds - len(failed)} of {seeds} seeds passed")
    sys.exit(bool(failed))


main()
