"""Commands that change labels and drain targets."""

import click

from mulberrydeck.cli import options
from mulberrydeck.cli import store
from mulberrydeck.model import configuration
from mulberrydeck.model import editing
from mulberrydeck.platformapi import client


@click.command(
    epilog=options.examples(
        "mulberrydeck label account acme tier=gold",
        "mulberrydeck label zone north-a busy-",
    )
)
@options.platform
@options.author
@click.argument("kind", type=click.Choice(sorted(editing.LABELLED_TABLES)))
@click.argument("name")
@click.argument("labels", nargs=-1, required=True)
def label(
    objects: client.ObjectClient,
    author: str,
    kind: str,
    name: str,
    labels: tuple[str, ...],
) -> None:
    """Set or remove LABELS of the item NAME.

    Each label is `key=value`, or `key-` to remove it. Labels of different
    operators do not overwrite each other.
    """
    changes = dict(_parse_label(text) for text in labels)

    def change(
        current: configuration.Configuration,
    ) -> configuration.Configuration:
        return editing.set_labels(current, kind, name, changes)

    summary = f"label {kind} {name} {' '.join(labels)}"
    _edit(objects, author, summary, change)


@click.command(
    epilog=options.examples("mulberrydeck drain permits-3 permits-4")
)
@options.platform
@options.author
@click.argument("targets", nargs=-1, required=True)
def drain(
    objects: client.ObjectClient, author: str, targets: tuple[str, ...]
) -> None:
    """Let TARGETS finish their requests and send them no new ones."""
    _set_draining(objects, author, targets, draining=True)


@click.command(epilog=options.examples("mulberrydeck undrain permits-3"))
@options.platform
@options.author
@click.argument("targets", nargs=-1, required=True)
def undrain(
    objects: client.ObjectClient, author: str, targets: tuple[str, ...]
) -> None:
    """Send new requests to drained TARGETS again."""
    _set_draining(objects, author, targets, draining=False)


def _set_draining(
    objects: client.ObjectClient,
    author: str,
    targets: tuple[str, ...],
    draining: bool,
) -> None:
    def change(
        current: configuration.Configuration,
    ) -> configuration.Configuration:
        for target in targets:
            current = editing.set_draining(current, target, draining)
        return current

    command_name = "drain" if draining else "undrain"
    _edit(objects, author, f"{command_name} {' '.join(targets)}", change)


def _edit(
    objects: client.ObjectClient, author: str, summary: str, change: object
) -> None:
    stored = store.edit_configuration(objects, author, summary, change)
    click.echo(f"{summary}: in force as version {stored.version}.")


def _parse_label(text: str) -> tuple[str, str | None]:
    key, separator, value = text.partition("=")
    if separator:
        return key, value
    if key.endswith("-"):
        return key.removesuffix("-"), None
    raise click.BadParameter(
        f"{text!r} is not a label; write `key=value`, or `key-` to remove it.",
        param_hint="LABELS",
    )


commands = (label, drain, undrain)
