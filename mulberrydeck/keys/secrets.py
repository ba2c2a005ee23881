"""Format and digests of caller keys.

A key has the format `mdk_<key id>_<secret>`. Only a salt and a keyed hash of
the secret are stored (BLAKE2b with the salt as key, RFC 7693). This suffices
because a secret has 256 random bits and cannot be found by brute force.
"""

import hashlib
import hmac
import re
import secrets

import attrs

from mulberrydeck import errors

PREFIX = "mdk"
KEY_ID_BYTES = 8
SECRET_BYTES = 32
SALT_BYTES = 16
DIGEST_BYTES = 32

_key_pattern = re.compile(
    rf"{PREFIX}_([0-9a-f]{{{2 * KEY_ID_BYTES}}})"
    rf"_([0-9a-f]{{{2 * SECRET_BYTES}}})"
)

_secret_pattern = re.compile(rf"({PREFIX}_[0-9a-f]+)_[0-9a-f]+")


@attrs.frozen
class PresentedKey:
    """A key as a caller presents it.

    Attributes:
        key_id: Public part, which identifies the record.
        secret: Secret part.
    """

    key_id: str
    secret: str = attrs.field(repr=False)

    def text(self) -> str:
        """Returns the complete key, which must be shown only to its owner."""
        return f"{PREFIX}_{self.key_id}_{self.secret}"


def generate() -> PresentedKey:
    """Returns a new random key."""
    return PresentedKey(
        secrets.token_hex(KEY_ID_BYTES), secrets.token_hex(SECRET_BYTES)
    )


def parse(text: str) -> PresentedKey:
    """Parses a key into its parts.

    Args:
        text: The key as presented.

    Raises:
        errors.KeyFormatError: The text is not in the key format.
    """
    match = _key_pattern.fullmatch(text)
    if match is None:
        raise errors.KeyFormatError(
            f"The key does not have the form {PREFIX}_<key id>_<secret>; "
            "present it as it was issued."
        )
    return PresentedKey(*match.groups())


def new_salt() -> bytes:
    """Returns a random salt."""
    return secrets.token_bytes(SALT_BYTES)


def digest(secret: str, salt: bytes) -> bytes:
    """Returns the keyed hash of a secret.

    Args:
        secret: Secret part of a key.
        salt: Salt of the record.
    """
    return hashlib.blake2b(
        secret.encode("ascii"), digest_size=DIGEST_BYTES, key=salt
    ).digest()


def equal(first: bytes, second: bytes) -> bool:
    """Compares two digests in constant time."""
    return hmac.compare_digest(first, second)


def redact(text: str) -> str:
    """Returns a text with the secret part of each key in it replaced.

    Args:
        text: Any text.
    """
    return _secret_pattern.sub(r"\1_(secret)", text)
