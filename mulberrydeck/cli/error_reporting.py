"""Exit codes, and the reporting of errors to the operator."""

import enum

import click

from mulberrydeck import errors


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2


def exit_code_for(error: errors.MulberrydeckError) -> ExitCode:
    """Returns the exit code for an error."""
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
    """Command group that prints errors of the package and exits with a code."""

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command and reports its error, if any."""
        try:
            return super().invoke(ctx)
        except errors.MulberrydeckError as error:
            click.echo(f"mulberrydeck: {error}", err=True)
            ctx.exit(exit_code_for(error))
