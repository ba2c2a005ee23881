"""Authenticated head that a VM adds to a request it relays."""

import base64
import binascii
import hmac

import msgspec

FIELD = "mulberrydeck-relay"
_DIGEST = "sha256"


class RelayMetadata(msgspec.Struct, array_like=True, frozen=True):
    """What the relaying VM knows of a request.

    Attributes:
        account: Client account that the key belongs to; empty on open routes.
        request_id: Identifier that the caller sees.
        attempt: Number of the relaying VM's attempt, from 1.
        remaining_s: Time left for the request, in seconds.
        run_id: Identifier of a single run, or empty.
        response_link: Link that carries the answer, or empty within a region.
    """

    account: str
    request_id: str
    attempt: int
    remaining_s: float
    run_id: str
    response_link: str


class RelayAuthenticationError(Exception):
    """A relayed request does not come from a VM of this fleet."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RelayMetadata)


def encode(head: RelayMetadata, secret: bytes, method: str, path: str) -> str:
    """Returns the value of the relay field.

    Args:
        head: What to tell the next VM.
        secret: The fleet's secret.
        method: HTTP method, which the code also covers.
        path: Request target, which the code also covers.
    """
    payload = base64.urlsafe_b64encode(_ENCODER.encode(head))
    return f"{payload.decode()}.{_code(payload, secret, method, path)}"


def decode(value: str, secret: bytes, method: str, path: str) -> RelayMetadata:
    """Returns the checked content of the relay field.

    Args:
        value: Value of the field as received.
        secret: The fleet's secret.
        method: HTTP method of the request.
        path: Request target of the request.

    Raises:
        RelayAuthenticationError: The code is wrong or the content malformed.
    """
    text, _, code = value.partition(".")
    payload = text.encode("latin-1")
    expected = _code(payload, secret, method, path)
    if not hmac.compare_digest(expected.encode(), code.encode("latin-1")):
        raise RelayAuthenticationError("The relay code is wrong.")
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(payload))
    except (binascii.Error, msgspec.MsgspecError) as error:
        raise RelayAuthenticationError(
            "The relay head is malformed."
        ) from error


def reverse(link: str) -> str:
    """Returns the link that carries the opposite direction.

    Args:
        link: `source/destination` regions, or empty.
    """
    source, slash, destination = link.partition("/")
    return destination + slash + source


def _code(payload: bytes, secret: bytes, method: str, path: str) -> str:
    covered = b"\n".join((payload, method.encode(), path.encode("latin-1")))
    return hmac.digest(secret, covered, _DIGEST).hex()
