"""Authenticated header field that a VM adds to a request that it relays."""

import base64
import binascii
import hmac

import msgspec

FIELD = "mulberrydeck-relay"
_HASH = "sha256"


class RelayMetadata(msgspec.Struct, array_like=True, frozen=True):
    """Metadata that the relaying VM sends with a request.

    Attributes:
        account: Client account that the key belongs to; empty on open routes.
        request_id: Identifier that is reported to the caller.
        attempt: Number of the relaying VM's attempt, from 1.
        remaining_s: Time until the deadline of the request, in seconds.
        run_id: Identifier of a single run, or empty.
        response_link: Link that carries the response; empty within a region.
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


def encode(
    metadata: RelayMetadata, secret: bytes, method: str, path: str
) -> str:
    """Returns the value of the relay field.

    Args:
        metadata: Metadata for the next VM.
        secret: Shared secret of the fleet.
        method: HTTP method, which the MAC also covers.
        path: Request target, which the MAC also covers.
    """
    payload = base64.urlsafe_b64encode(_ENCODER.encode(metadata))
    return f"{payload.decode()}.{_mac(payload, secret, method, path)}"


def decode(value: str, secret: bytes, method: str, path: str) -> RelayMetadata:
    """Returns the authenticated content of the relay field.

    Args:
        value: Value of the field as received.
        secret: Shared secret of the fleet.
        method: HTTP method of the request.
        path: Request target of the request.

    Raises:
        RelayAuthenticationError: The MAC is wrong or the content malformed.
    """
    text, _, received = value.partition(".")
    payload = text.encode("latin-1")
    expected = _mac(payload, secret, method, path)
    if not hmac.compare_digest(expected.encode(), received.encode("latin-1")):
        raise RelayAuthenticationError(
            "The MAC of the relay field does not match."
        )
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(payload))
    except (binascii.Error, msgspec.MsgspecError) as error:
        raise RelayAuthenticationError(
            "The content of the relay field is malformed."
        ) from error


def reverse(link: str) -> str:
    """Returns the link in the opposite direction.

    Args:
        link: `source/destination` regions, or empty.
    """
    source, slash, destination = link.partition("/")
    return destination + slash + source


def _mac(payload: bytes, secret: bytes, method: str, path: str) -> str:
    authenticated = b"\n".join(
        (payload, method.encode(), path.encode("latin-1"))
    )
    return hmac.digest(secret, authenticated, _HASH).hex()
