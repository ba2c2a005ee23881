"""The command that runs a VM that steers requests on the users' platform."""

import os
import pathlib

import click

SETTINGS_VARIABLE = "MULBERRYDECK_SETTINGS"
EXAMPLE = "\b\nExample:\n  mulberrydeck steer --settings vm.toml"


@click.command(epilog=EXAMPLE)
@click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings of this VM; the default is the file that the variable "
    f"{SETTINGS_VARIABLE} names.",
)
@click.pass_context
def steer(ctx: click.Context, path: pathlib.Path | None) -> None:
    """Steer callers' requests to registered targets until SIGTERM."""
    named = path or os.environ.get(SETTINGS_VARIABLE)
    if not named:
        raise click.UsageError(
            f"Name the settings by --settings or {SETTINGS_VARIABLE}."
        )
    # Operators' commands need none of the server's libraries.
    from mulberrydeck.steering import assembly

    ctx.exit(assembly.run(pathlib.Path(named)))


commands = (steer,)
