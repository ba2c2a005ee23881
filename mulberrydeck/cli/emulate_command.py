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
@click.option(
    "--vms",
    type=click.IntRange(min=1),
    help="Number of VMs, spread over the zones as in the scenario.",
)
@click.option(
    "--report-age-s",
    type=click.FloatRange(0.0, 60.0),
    default=0.0,
    show_default=True,
    help="Age of the loads that targets report, in seconds.",
)
def emulate(
    path: pathlib.Path,
    seed: int,
    compare: bool,
    vms: int | None,
    report_age_s: float,
) -> None:
    """Emulate SCENARIO in virtual time and print the results of callers."""
    from mulberrydeck.emulator import baselines
    from mulberrydeck.emulator import emulation
    from mulberrydeck.emulator import results
    from mulberrydeck.emulator import scenario
    from mulberrydeck.steering import placement

    loaded = scenario.load(path)
    if vms is not None:
        loaded = scenario.with_vms(loaded, vms)
    policies = {"mulberrydeck": placement.choose}
    if compare:
        policies |= baselines.BY_NAME
    for name, policy in policies.items():
        baselines.seed(seed)
        emulated_results = emulation.Emulation(
            loaded, seed, policy, report_age_s
        ).run()
        click.echo(f"== {name}\n{results.format_table(emulated_results)}\n")


commands = (emulate,)
