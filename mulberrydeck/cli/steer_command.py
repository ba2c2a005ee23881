"""The command that runs a steering VM on the users' platform."""

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
def steer(path: pathlib.Path | None) -> None:
    """Steer callers' requests to registered targets until SIGTERM."""
    settings_path = path or os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        raise click.UsageError(
            f"Specify the settings file with --settings or {SETTINGS_VARIABLE}."
        )
    # Imported here, so that operators' commands load no server libraries.
    from mulberrydeck.steering import assembly

    code = assembly.run(pathlib.Path(settings_path))
    # Nothing is left to do, and the platform kills a process that ends late;
    # the interpreter's own end takes up to a second on a busy VM.
    os._exit(code)


commands = (steer,)
