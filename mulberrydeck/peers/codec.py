"""Encodes and decodes peer messages.

Wire format: protocol version (1 byte), kind of message (1 byte), msgpack body
of at most `MAX_MESSAGE_BYTES`. A body of `MIN_COMPRESSED_BYTES` or more is
compressed, which the highest bit of the kind says.
"""

import zlib

import msgspec

from mulberrydeck import errors
from mulberrydeck.peers import messages

MAX_MESSAGE_BYTES = 1_100_000
# Below this size, compression saves less than a packet's own overhead.
MIN_COMPRESSED_BYTES = 400
COMPRESSED = 0x80
# Fast; digests of heartbeats repeat the same names and fields.
COMPRESSION_LEVEL = 1

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
    if len(body) >= MIN_COMPRESSED_BYTES:
        kind |= COMPRESSED
        body = zlib.compress(body, COMPRESSION_LEVEL)
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
    decoder = _decoders.get(data[1] & ~COMPRESSED)
    if decoder is None:
        raise errors.MessageError(
            f"Kind {data[1]} is unknown; upgrade this VM."
        )
    body = data[2:]
    try:
        if data[1] & COMPRESSED:
            body = _decompress(body)
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, zlib.error) as error:
        raise errors.MessageError(
            f"The message body is malformed ({error}); drop it."
        ) from error


def _decompress(data: bytes) -> bytes:
    """Returns the body of a compressed message.

    Raises:
        errors.MessageError: The body is too large or incomplete.
        zlib.error: The data is malformed.
    """
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise errors.MessageError(
            f"The message has more than {MAX_MESSAGE_BYTES} bytes, or is "
            "incomplete; drop it."
        )
    return body
