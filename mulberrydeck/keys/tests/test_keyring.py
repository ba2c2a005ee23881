"""Tests of the keyring and the digests of keys."""

import zlib

import pytest

from mulberrydeck import errors
from mulberrydeck.keys import keyring
from mulberrydeck.keys import secrets

ISSUED_S = 1000.0


def keyring_with_key(account: str) -> tuple[keyring.Keyring, keyring.IssuedKey]:
    key = keyring.issue(account, ISSUED_S)
    return keyring.add(keyring.Keyring(), key.record, ISSUED_S), key


def test_a_key_belongs_to_its_account_only():
    ring, key = keyring_with_key("acme")
    other = keyring.issue("beta")
    ring = keyring.add(ring, other.record, ISSUED_S)
    index = keyring.KeyIndex(ring)
    assert index.account_of(key.key_text) == "acme"
    assert index.account_of(other.key_text) == "beta"
    mixed = key.key_text[:20] + other.key_text[20:]
    assert index.account_of(mixed) is None


@pytest.mark.parametrize("text", ["", "mdk_", "x" * 5000, "mdk_é_ü", "Mdk_1_2"])
def test_malformed_keys_have_no_account(text):
    ring, _ = keyring_with_key("acme")
    assert keyring.KeyIndex(ring).account_of(text) is None


def test_unknown_keys_compare_digests_of_the_same_length(monkeypatch):
    ring, key = keyring_with_key("acme")
    index = keyring.KeyIndex(ring)
    compared = []

    def compare(first, second):
        compared.append((len(first), len(second)))
        return first == second

    monkeypatch.setattr(secrets, "equal", compare)
    assert index.account_of(keyring.issue("acme").key_text) is None
    assert index.account_of(key.key_text) == "acme"
    assert compared[0] == compared[1]


def test_the_secret_is_not_stored():
    ring, key = keyring_with_key("acme")
    encoded = keyring.encode(ring)
    secret = secrets.parse(key.key_text).secret
    plain = zlib.decompress(encoded)
    assert key.record.key_id.encode() in plain
    assert secret.encode() not in plain
    assert secret not in repr(key)
    assert keyring.decode(encoded) == ring


def test_a_withdrawn_key_leaves_a_tombstone_until_retention_ends():
    ring, key = keyring_with_key("acme")
    ring = keyring.withdraw(ring, key.record.key_id, 2000.0)
    again = keyring.withdraw(ring, key.record.key_id, 3000.0)
    assert keyring.KeyIndex(ring).account_of(key.key_text) is None
    assert again == ring
    assert ring.records[0].digest == b""
    after_retention_s = 2000.0 + keyring.TOMBSTONE_RETENTION_S
    ring = keyring.add(ring, keyring.issue("beta").record, after_retention_s)
    assert [record.account for record in ring.records] == ["beta"]


def test_unknown_keys_cannot_be_withdrawn():
    with pytest.raises(errors.NotFoundError, match="key list"):
        keyring.withdraw(keyring.Keyring(), "0123", ISSUED_S)


def test_malformed_keyrings_are_a_typed_error():
    with pytest.raises(errors.ConfigurationError, match="malformed"):
        keyring.decode(b"[]")
