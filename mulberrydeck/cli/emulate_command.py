"""The command that plays a day of load in virtual time."""

import pathlib

import click

EXAMPLE = "\b\nExample:\n  mulberrydeck emulate examples/waves.toml --compare"


@click.command(epilog=EXAMPLE)
@click.argument(
    "path", metavar="SCENARIO", type=click.Path(path_type=pathlib.Path)
)
@click.option("--seed", default=1, show_default=True, help="Seed of the day.")
@click.option(
    "--compare", is_flag=True, help="Also play simpler choices of a target."
)
def emulate(path: pathlib.Path, seed: int, compare: bool) -> None:
    """Play SCENARIO and print what callers get."""
    from mulberrydeck.emulator import baselines
    from mulberrydeck.emulator import day
    from mulberrydeck.emulator import results
    from mulberrydeck.emulator import scenario
    from mulberrydeck.steering import placement

    loaded = scenario.load(path)
    choices = {"mulberrydeck": placement.choose}
    if compare:
        choices |= baselines.BY_NAME
    for name, choose in choices.items():
        played = day.Day(loaded, seed, choose).play()
        click.echo(f"== {name}\n{results.table(played)}\n")


commands = (emulate,)
