"""Commands that issue, withdraw and list callers' keys."""

import datetime
import time

import attrs
import click

from mulberrydeck import errors
from mulberrydeck.cli import options
from mulberrydeck.cli import store
from mulberrydeck.keys import keyring
from mulberrydeck.model import documents
from mulberrydeck.platformapi import client


@click.group()
def key() -> None:
    """Issue, withdraw and list callers' keys."""


@key.command(epilog=options.examples("mulberrydeck key issue acme"))
@options.platform
@options.author
@click.argument("account")
def issue(objects: client.ObjectClient, author: str, account: str) -> None:
    """Issue a key for ACCOUNT and show it once.

    Only a salted hash is stored, so the key cannot be shown again.
    """
    _check_account(objects, account)
    issued = keyring.issue(account)
    summary = f"issue {issued.record.key_id} for {account}"

    def change(current: keyring.Keyring) -> keyring.Keyring:
        changed = keyring.add(current, issued.record, time.time())
        return _with_note(changed, current, author, summary)

    try:
        store.edit(objects, store.KEYRING, change)
    except errors.PlatformOutcomeUnknownError as error:
        raise errors.PlatformOutcomeUnknownError(
            f"{error} The key {issued.record.key_id} may exist; its secret is "
            f"not shown, so withdraw it: mulberrydeck key withdraw "
            f"{issued.record.key_id}"
        ) from error
    click.echo(issued.key_text)
    click.echo("Keep it now; it cannot be shown again.", err=True)


@key.command(
    epilog=options.examples("mulberrydeck key withdraw 0123456789abcdef")
)
@options.platform
@options.author
@click.argument("key_ids", nargs=-1, required=True, metavar="KEY_ID...")
def withdraw(
    objects: client.ObjectClient, author: str, key_ids: tuple[str, ...]
) -> None:
    """Withdraw keys; they stop working within seconds.

    KEY_ID is the part of the key between the two underscores.
    """
    summary = f"withdraw {' '.join(key_ids)}"

    def change(current: keyring.Keyring) -> keyring.Keyring:
        changed = current
        for key_id in key_ids:
            changed = _withdraw_key(changed, key_id)
        if changed == current:
            return current
        return _with_note(changed, current, author, summary)

    stored = store.edit(objects, store.KEYRING, change)
    click.echo(f"{summary}: in force as version {stored.version}.")


@key.command(
    name="list", epilog=options.examples("mulberrydeck key list --account acme")
)
@options.platform
@click.option("--account", help="Only keys of this client account.")
def list_keys(objects: client.ObjectClient, account: str | None) -> None:
    """List keys by id, account and state; secrets are not stored."""
    stored = store.read(objects, store.KEYRING)
    for record in stored.document.records:
        if account in (None, record.account):
            click.echo(_record_line(record))


def _check_account(objects: client.ObjectClient, account: str) -> None:
    stored = store.read(objects, store.CONFIGURATION)
    declared = stored.document.configuration.accounts
    if all(item.name != account for item in declared):
        raise errors.ConfigurationError(
            f"{account!r} is not declared in [[accounts]]; see `mulberrydeck "
            "get`, or apply a configuration that declares it first."
        )


def _withdraw_key(current: keyring.Keyring, key_id: str) -> keyring.Keyring:
    try:
        return keyring.withdraw(current, key_id, time.time())
    except errors.NotFoundError as error:
        raise click.BadParameter(str(error), param_hint="KEY_ID") from error


def _with_note(
    changed: keyring.Keyring,
    previous: keyring.Keyring,
    author: str,
    summary: str,
) -> keyring.Keyring:
    note = documents.new_note(author, (summary,), previous.note)
    return attrs.evolve(changed, note=note)


def _record_line(record: keyring.KeyRecord) -> str:
    state = "valid"
    if record.withdrawn_s is not None:
        state = f"withdrawn {_timestamp(record.withdrawn_s)}"
    return (
        f"{record.key_id}  {record.account}  issued "
        f"{_timestamp(record.issued_s)}  {state}"
    )


def _timestamp(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="seconds")


commands = (key,)
