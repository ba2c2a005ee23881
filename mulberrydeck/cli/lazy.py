"""Command group that imports the module of a command on first use.

A server process thus loads none of the libraries of the operators' commands.
"""

import importlib

import click

from mulberrydeck.cli import error_reporting


class LazyGroup(error_reporting.ReportingGroup):
    """Command group whose commands are in modules that are imported on use.

    Attributes:
        module_by_command: Name of each command's module in `mulberrydeck.cli`.
    """

    def __init__(
        self,
        *args: object,
        module_by_command: dict[str, str],
        **kwargs: object,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.module_by_command = module_by_command

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*super().list_commands(ctx), *self.module_by_command})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command, importing its module first."""
        module_name = self.module_by_command.get(cmd_name)
        if module_name is None:
            return super().get_command(ctx, cmd_name)
        module = importlib.import_module(f"mulberrydeck.cli.{module_name}")
        for command in module.commands:
            if command.name == cmd_name:
                return command
        return None
