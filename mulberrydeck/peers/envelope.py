"""Authenticated envelope of peer messages.

Layout: MAC (16 bytes), length of the sender's name (1 byte), name, message.
The MAC is a keyed BLAKE2b hash (RFC 7693) of everything after it.
"""

import hashlib
import hmac

import attrs

from mulberrydeck import errors

MAC_BYTES = 16
MAX_NAME_BYTES = 255


@attrs.frozen
class Envelope:
    """An authenticated message.

    Attributes:
        sender: Name of the sending VM.
        payload: Encoded message.
    """

    sender: str
    payload: bytes


def seal(secret: bytes, envelope: Envelope) -> bytes:
    """Returns the wire form of an envelope."""
    name = envelope.sender.encode()
    body = bytes((len(name),)) + name + envelope.payload
    return _mac(secret, body) + body


def open_sealed(secret: bytes, data: bytes) -> Envelope:
    """Verifies the MAC and returns the envelope.

    Raises:
        errors.MessageError: The data is truncated, or the MAC does not match.
    """
    body = data[MAC_BYTES:]
    if len(body) < 1 or len(body) < 1 + body[0]:
        raise errors.MessageError("The envelope is truncated; drop it.")
    if not hmac.compare_digest(data[:MAC_BYTES], _mac(secret, body)):
        raise errors.MessageError(
            "The MAC does not match; set the same fleet_secret on all VMs."
        )
    end = 1 + body[0]
    return Envelope(body[1:end].decode(errors="replace"), body[end:])


def _mac(secret: bytes, body: bytes) -> bytes:
    digest = hashlib.blake2b(body, key=secret[:64], digest_size=MAC_BYTES)
    return digest.digest()
