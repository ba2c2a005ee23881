"""The command that checks a configuration before it is applied."""

import pathlib

import click
import msgspec
from returns import result

from mulberrydeck import errors
from mulberrydeck.checking import diagnostics
from mulberrydeck.checking import reference
from mulberrydeck.checking import report
from mulberrydeck.cli import error_reporting
from mulberrydeck.cli import options
from mulberrydeck.cli import store
from mulberrydeck.keys import secrets
from mulberrydeck.model import configuration
from mulberrydeck.model import findings
from mulberrydeck.model import loading
from mulberrydeck.platformapi import client

CURRENT = "current"


@click.command(
    epilog=options.examples(
        "mulberrydeck check fleet.toml",
        "mulberrydeck check fleet.toml --against current",
        "mulberrydeck check fleet.toml --against earlier.toml --json",
    )
)
@options.optional_platform
@click.option(
    "--against",
    metavar="current|FILE",
    help="Show what differs from the version in force or from another file. "
    "`current` also checks keys and VMs and needs --platform.",
)
@options.as_json
@click.argument("file", type=click.Path(dir_okay=False, path_type=pathlib.Path))
@click.pass_context
def check(
    ctx: click.Context,
    file: pathlib.Path,
    objects: client.ObjectClient | None,
    against: str | None,
    as_json: bool,
) -> None:
    """Check a configuration FILE without applying it.

    Reports errors, for which `apply` rejects the file, and warnings about
    entries that can never match and limits that contradict each other.

    Exit codes: 0 no error and no warning, 1 errors or warnings, 2 FILE or the
    version to compare with cannot be read. Changes do not count.
    """
    if against == CURRENT and objects is None:
        raise click.UsageError(
            f"--against {CURRENT} needs --platform or "
            f"{options.PLATFORM_VARIABLE}."
        )
    try:
        checked, loaded = _check(file, against, objects)
    except errors.MulberrydeckError as error:
        click.echo(f"mulberrydeck: {secrets.redact(str(error))}", err=True)
        ctx.exit(error_reporting.ExitCode.BAD_INPUT)
    if as_json:
        click.echo(msgspec.json.encode(checked))
    else:
        for item in checked.diagnostics:
            click.echo(diagnostics.line(item))
        compares = against is not None and loaded is not None
        click.echo(f"{file}: {_summary(checked, loaded, compares)}.")
    if not checked.is_clean():
        ctx.exit(error_reporting.ExitCode.FAILED)


def _check(
    file: pathlib.Path, against: str | None, objects: client.ObjectClient | None
) -> tuple[report.Report, configuration.Configuration | None]:
    """Returns the report, and the configuration if it is valid.

    Raises:
        errors.MulberrydeckError: Something cannot be read.
    """
    try:
        loaded = loading.load_file(file).configuration
    except findings.InvalidConfigurationError as error:
        return report.of_invalid(error.findings), None
    compared = None
    if against == CURRENT:
        compared = _read_current(objects)
    elif against is not None:
        compared = reference.Reference(loading.load(pathlib.Path(against)))
    return report.of_valid(loaded, compared), loaded


def _read_current(objects: client.ObjectClient) -> reference.Reference:
    stored = store.read(objects, store.CONFIGURATION)
    keys = store.read(objects, store.KEYRING).document
    match objects.vms():
        case result.Success(listed):
            zones = frozenset(vm.zone for vm in listed if not vm.leaving)
        case result.Failure(error):
            raise error
    return reference.Reference(
        stored.document.configuration,
        frozenset(key.account for key in keys.records if key.is_valid()),
        zones,
    )


def _summary(
    checked: report.Report,
    loaded: configuration.Configuration | None,
    compares: bool,
) -> str:
    counts = ", ".join(
        _quantity(checked.count(kind), kind.value)
        for kind in diagnostics.Kind
        if compares or kind != diagnostics.Kind.CHANGE
    )
    if loaded is None:
        return counts
    tables = ", ".join(
        f"{len(getattr(loaded, name))} {name}"
        for name in ("zones", "services", "targets", "accounts")
    )
    return f"{counts} ({tables})"


def _quantity(count: int, noun: str) -> str:
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


commands = (check,)
