"""The command `mulberrydeck`."""

import click

import mulberrydeck
from mulberrydeck.cli import caller_commands
from mulberrydeck.cli import configuration_commands
from mulberrydeck.cli import edit_commands
from mulberrydeck.cli import key_commands
from mulberrydeck.cli import outcomes
from mulberrydeck.cli import serve_command
from mulberrydeck.cli import status_commands


@click.group(
    cls=outcomes.ReportingGroup,
    epilog="Shell completion for bash (also zsh, fish): "
    'eval "$(_MULBERRYDECK_COMPLETE=bash_source mulberrydeck)"',
)
@click.version_option(mulberrydeck.__version__, prog_name="mulberrydeck")
def main() -> None:
    """Steer callers' requests to healthy, unloaded targets.

    Operators change the configuration, labels and keys in the platform; each
    entry VM runs `serve`.

    Exit codes: 0 done, 1 refused or failed, 2 bad input.
    """


for _module in (
    serve_command,
    configuration_commands,
    edit_commands,
    key_commands,
    status_commands,
    caller_commands,
):
    for _command in _module.commands:
        main.add_command(_command)
