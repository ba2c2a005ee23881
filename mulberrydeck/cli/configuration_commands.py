"""Commands that read and replace the whole configuration."""

import pathlib

import click

from mulberrydeck import errors
from mulberrydeck.cli import options
from mulberrydeck.cli import store
from mulberrydeck.model import differences
from mulberrydeck.model import documents
from mulberrydeck.model import loading
from mulberrydeck.model import writing
from mulberrydeck.platformapi import client

file_argument = click.argument(
    "file", type=click.Path(dir_okay=False, path_type=pathlib.Path)
)


@click.command(
    epilog=options.examples(
        "mulberrydeck get > fleet.toml; edit fleet.toml",
        "mulberrydeck apply fleet.toml",
        "mulberrydeck apply --base 17 fleet.toml",
    )
)
@options.platform
@options.author
@click.option(
    "--base",
    type=click.IntRange(min=0),
    metavar="VERSION",
    help="Version in force that FILE was derived from.",
)
@click.option(
    "--replace",
    is_flag=True,
    help="Replace whatever version is in force when the command starts.",
)
@file_argument
def apply(
    file: pathlib.Path,
    objects: client.ObjectClient,
    author: str,
    base: int | None,
    replace: bool,
) -> None:
    """Make the configuration FILE the one in force.

    FILE must state which version it was derived from, so that no other
    operator's change is lost: `get` writes that version into the file as
    `based_on_version`, and --base overrides it. The first configuration needs
    neither.
    """
    loaded = loading.load_file(file)
    stored = store.read(objects, store.CONFIGURATION)
    summary = differences.compare(
        stored.document.configuration, loaded.configuration
    )
    if stored.version != client.ABSENT_VERSION and not summary:
        click.echo(f"Version {stored.version} is in force already, unchanged.")
        return
    if base is None:
        base = loaded.based_on_version
    expected = _expected_version(stored, base, replace)
    note = documents.new_note(author, summary, stored.document.note)
    document = documents.ConfigurationDocument(note, loaded.configuration)
    version = store.write(objects, store.CONFIGURATION, document, expected)
    _echo_summary(summary)
    click.echo(f"Applied as version {version}.")


@click.command(epilog=options.examples("mulberrydeck get > fleet.toml"))
@options.platform
def get(objects: client.ObjectClient) -> None:
    """Print the configuration in force as TOML."""
    stored = _read_existing(objects)
    note = stored.document.note
    click.echo(f"# Version {stored.version}, by {note.author}")
    click.echo(f"# at {note.changed_at}.")
    click.echo(
        writing.dumps(stored.document.configuration, stored.version), nl=False
    )


@click.command(epilog=options.examples("mulberrydeck diff fleet.toml"))
@options.platform
@file_argument
def diff(file: pathlib.Path, objects: client.ObjectClient) -> None:
    """Show what `apply FILE` would change."""
    loaded = loading.load_file(file)
    stored = store.read(objects, store.CONFIGURATION)
    summary = differences.compare(
        stored.document.configuration, loaded.configuration
    )
    _echo_summary(summary)
    word = "differs from" if summary else "equals"
    click.echo(f"{file} {word} version {stored.version}, which is in force.")


def _expected_version(
    stored: store.Stored, base: int | None, replace: bool
) -> int:
    if replace or stored.version == client.ABSENT_VERSION:
        return stored.version
    if base is None:
        raise click.UsageError(
            f"Version {stored.version} is in force and FILE does not say what "
            "it was derived from; see `mulberrydeck diff FILE`, then add "
            f"--base {stored.version}."
        )
    if base != stored.version:
        raise errors.ConflictError(
            f"{store.describe(stored)}; FILE was derived from version {base}; "
            "your change was not applied. Merge with `mulberrydeck get`, "
            f"then apply with --base {stored.version}."
        )
    return base


def _read_existing(objects: client.ObjectClient) -> store.Stored:
    stored = store.read(objects, store.CONFIGURATION)
    if stored.version == client.ABSENT_VERSION:
        raise errors.NotFoundError(
            "No configuration is in force; `mulberrydeck apply FILE` first."
        )
    return stored


def _echo_summary(summary: tuple[str, ...]) -> None:
    for line in summary:
        click.echo(line)


commands = (apply, get, diff)
