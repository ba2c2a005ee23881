"""The command that emulates a day of load in virtual time."""

import pathlib

import click

EXAMPLE = "\b\nExample:\n  mulberrydeck emulate examples/waves.toml --compare"


@click.command(epilog=EXAMPLE)
@click.argument(
    "path", metavar="SCENARIO", type=click.Path(path_type=pathlib.Path)
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of all random choices."
)
@click.option(
    "--compare",
    is_flag=True,
    help="Also emulate simpler policies for selecting targets.",
)
def emulate(path: pathlib.Path, seed: int, compare: bool) -> None:
    """Emulate SCENARIO in virtual time and print the results of callers."""
    from mulberrydeck.emulator import baselines
    from mulberrydeck.emulator import emulation
    from mulberrydeck.emulator import results
    from mulberrydeck.emulator import scenario
    from mulberrydeck.steering import placement

    loaded = scenario.load(path)
    policies = {"mulberrydeck": placement.choose}
    if compare:
        policies |= baselines.BY_NAME
    for name, policy in policies.items():
        emulated_results = emulation.Emulation(loaded, seed, policy).run()
        click.echo(f"== {name}\n{results.format_table(emulated_results)}\n")


commands = (emulate,)
