"""A command group that imports a command's module when it is used.

A server then holds none of the libraries of the operators' commands.
"""

import importlib

import click

from mulberrydeck.cli import outcomes


class LazyGroup(outcomes.ReportingGroup):
    """Command group with commands in modules that are imported late.

    Attributes:
        module_by_command: Module in `mulberrydeck.cli` of each command.
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
