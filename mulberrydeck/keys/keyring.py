"""Maps caller keys to client accounts."""

from collections.abc import Iterable
import time

import attrs
import msgspec

from mulberrydeck import errors
from mulberrydeck.keys import secrets
from mulberrydeck.model import documents

TOMBSTONE_RETENTION_S = 30 * 86_400.0


@attrs.frozen
class KeyRecord:
    """Stored record of a key, without the secret.

    The record of a withdrawn key is kept as a tombstone without digest, so that
    listings show when the key was withdrawn.

    Attributes:
        key_id: Public part of the key.
        account: Client account that the key belongs to.
        salt: Salt of the digest.
        digest: Keyed hash of the secret; empty once withdrawn.
        issued_s: Time of issue, in seconds since the epoch.
        withdrawn_s: Time of withdrawal, in seconds since the epoch, or None.
    """

    key_id: str
    account: str
    salt: bytes
    digest: bytes
    issued_s: float
    withdrawn_s: float | None = None

    def is_valid(self) -> bool:
        """Returns whether the key may be used."""
        return self.withdrawn_s is None


@attrs.frozen
class Keyring:
    """All keys, kept as one document in the platform.

    Attributes:
        records: Records, one per key id.
        note: Note of the change that produced this version.
    """

    records: tuple[KeyRecord, ...] = ()
    note: documents.ChangeNote | None = None


@attrs.frozen
class IssuedKey:
    """A newly issued key.

    Attributes:
        key_text: The complete key, to be shown only once.
        record: Record to store.
    """

    key_text: str = attrs.field(repr=False)
    record: KeyRecord


def encode(keyring: Keyring) -> bytes:
    """Returns a keyring as compressed JSON.

    Raises:
        errors.ConfigurationError: The result is too large for the platform.
    """
    return documents.pack(keyring, "keyring")


def decode(content: bytes) -> Keyring:
    """Returns the keyring that `encode` wrote.

    Raises:
        errors.ConfigurationError: The content is malformed.
    """
    return documents.unpack(_decoder, content, "keyring")


def issue(account: str, now_s: float | None = None) -> IssuedKey:
    """Returns a new key for a client account.

    Args:
        account: Name of the client account.
        now_s: Time of issue, in seconds since the epoch; None for the current
            time.
    """
    if now_s is None:
        now_s = time.time()
    key = secrets.generate()
    salt = secrets.new_salt()
    record = KeyRecord(
        key.key_id, account, salt, secrets.digest(key.secret, salt), now_s
    )
    return IssuedKey(key.text(), record)


def add(keyring: Keyring, record: KeyRecord, now_s: float) -> Keyring:
    """Returns the keyring with a record added and expired tombstones removed.

    Args:
        keyring: The keyring.
        record: The record to add.
        now_s: Current time, in seconds since the epoch.
    """
    retained = _prune(keyring.records, now_s)
    return attrs.evolve(keyring, records=(*retained, record))


def withdraw(keyring: Keyring, key_id: str, now_s: float) -> Keyring:
    """Returns the keyring with one key withdrawn.

    Args:
        keyring: The keyring.
        key_id: Public part of the key.
        now_s: Current time, in seconds since the epoch.

    Raises:
        errors.NotFoundError: The key does not exist.
    """
    if all(record.key_id != key_id for record in keyring.records):
        raise errors.NotFoundError(
            f"There is no key {key_id}; see `mulberrydeck key list`."
        )
    changed = tuple(
        _tombstone(record, now_s) if record.key_id == key_id else record
        for record in keyring.records
    )
    return attrs.evolve(keyring, records=_prune(changed, now_s))


def _tombstone(record: KeyRecord, now_s: float) -> KeyRecord:
    if not record.is_valid():
        return record
    return attrs.evolve(record, digest=b"", withdrawn_s=now_s)


def _prune(
    key_records: Iterable[KeyRecord], now_s: float
) -> tuple[KeyRecord, ...]:
    return tuple(
        record
        for record in key_records
        if record.withdrawn_s is None
        or now_s - record.withdrawn_s < TOMBSTONE_RETENTION_S
    )


class KeyIndex:
    """Looks up the account of a presented key.

    An unknown key id is checked against a dummy record, so that response times
    do not reveal which key ids exist.

    Args:
        keyring: The keyring.
    """

    def __init__(self, keyring: Keyring) -> None:
        self.records = {
            record.key_id: record
            for record in keyring.records
            if record.is_valid()
        }
        self.dummy_record = issue("", 0.0).record

    def account_of(self, presented: str) -> str | None:
        """Returns the account that a key belongs to.

        Args:
            presented: The key as presented by a caller.

        Returns:
            None if the key is malformed, unknown or withdrawn.
        """
        try:
            key = secrets.parse(presented)
        except errors.KeyFormatError:
            return None
        record = self.records.get(key.key_id, self.dummy_record)
        computed = secrets.digest(key.secret, record.salt)
        matches = secrets.equal(computed, record.digest)
        if not matches or record is self.dummy_record:
            return None
        return record.account


_decoder = msgspec.json.Decoder(Keyring)
