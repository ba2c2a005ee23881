"""The command `mulberrydeck`."""

import click

import mulberrydeck
from mulberrydeck.cli import lazy

MODULE_BY_COMMAND = {
    "serve": "serve_command",
    "steer": "steer_command",
    "check": "check_command",
    "apply": "configuration_commands",
    "get": "configuration_commands",
    "diff": "configuration_commands",
    "label": "edit_commands",
    "drain": "edit_commands",
    "undrain": "edit_commands",
    "key": "key_commands",
    "status": "status_commands",
    "explain": "status_commands",
    "ask": "caller_commands",
    "call": "caller_commands",
    "emulate": "emulate_command",
}


@click.group(
    cls=lazy.LazyGroup,
    module_by_command=MODULE_BY_COMMAND,
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
