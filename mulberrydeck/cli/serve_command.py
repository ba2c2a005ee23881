"""The command that runs the process of an entry VM."""

import pathlib

import click

from mulberrydeck.cli import options
from mulberrydeck.settings import loading


@click.command(epilog=options.examples("mulberrydeck serve --settings vm.toml"))
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings of this VM; docs/settings.md lists them.",
)
@click.pass_context
def serve(ctx: click.Context, path: pathlib.Path) -> None:
    """Run the process of an entry VM until SIGTERM."""
    settings = loading.load(path)
    # Imported here, so that operators' commands load no server libraries.
    from mulberrydeck import compose

    ctx.exit(compose.run(settings))


commands = (serve,)
