"""Exit codes and how errors reach the operator."""

import enum

import click

from mulberrydeck import errors


class ExitCode(enum.IntEnum):
    """What the exit code of a command tells."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2


def code_of(error: errors.MulberrydeckError) -> ExitCode:
    """Returns the exit code that reports an error."""
    match error:
        case (
            errors.ConfigurationError()
            | errors.SettingsError()
            | errors.KeyFormatError()
        ):
            return ExitCode.BAD_INPUT
        case _:
            return ExitCode.FAILED


class ReportingGroup(click.Group):
    """A command group that prints typed errors and exits with their code."""

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command and reports its error, if any."""
        try:
            return super().invoke(ctx)
        except errors.MulberrydeckError as error:
            click.echo(f"mulberrydeck: {error}", err=True)
            ctx.exit(code_of(error))
