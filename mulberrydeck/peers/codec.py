"""Encodes and decodes peer messages.

Wire format: protocol version (1 byte), kind of message (1 byte), msgpack body
of at most `MAX_MESSAGE_BYTES`.
"""

import msgspec

from mulberrydeck import errors
from mulberrydeck.peers import messages

MAX_MESSAGE_BYTES = 1_100_000

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in messages.type_by_kind.items()
}
_kind_by_type = {
    message_type: kind for kind, message_type in messages.type_by_kind.items()
}


def encode(message: object) -> bytes:
    """Returns the wire form of a message.

    Raises:
        errors.MessageError: The type is not in `type_by_kind`, or the
            encoded body is too large.
    """
    kind = _kind_by_type.get(type(message))
    if kind is None:
        raise errors.MessageError(
            f"{type(message).__name__} is not a peer message type; add it "
            "to type_by_kind."
        )
    body = _encoder.encode(message)
    if len(body) > MAX_MESSAGE_BYTES:
        raise errors.MessageError(
            f"The encoded message has {len(body)} bytes; split it to stay "
            f"within {MAX_MESSAGE_BYTES}."
        )
    return bytes((messages.PROTOCOL_VERSION, kind)) + body


def decode(data: bytes) -> object:
    """Decodes a message.

    Raises:
        errors.MessageError: The version or kind is unknown, or the body is
            malformed or too large.
    """
    if len(data) < 2 or len(data) > MAX_MESSAGE_BYTES + 2:
        raise errors.MessageError("The message size is out of range; drop it.")
    if data[0] != messages.PROTOCOL_VERSION:
        raise errors.MessageError(
            f"Protocol version {data[0]} is not supported; upgrade this VM."
        )
    decoder = _decoders.get(data[1])
    if decoder is None:
        raise errors.MessageError(
            f"Kind {data[1]} is unknown; upgrade this VM."
        )
    try:
        return decoder.decode(data[2:])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.MessageError(
            f"The message body is malformed ({error}); drop it."
        ) from error
