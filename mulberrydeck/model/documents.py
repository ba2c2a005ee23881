"""Encoding of configurations for storage in the platform."""

import datetime
import uuid
import zlib

import attrs
import msgspec

from mulberrydeck import errors
from mulberrydeck.model import configuration

MAX_DOCUMENT_BYTES = 1_000_000
MAX_DECOMPRESSED_BYTES = 64_000_000
MAX_SUMMARY_LINES = 50
MAX_EARLIER_TOKENS = 50


@attrs.frozen
class ChangeNote:
    """Author, time and summary of a change.

    Attributes:
        author: Operator who made the change.
        changed_at: Time of the change in UTC, ISO 8601.
        token: Unique identifier of the change.
        summary: What changed, one line per difference.
        earlier_tokens: Tokens of the latest changes that it is based on, newest
            first.
    """

    author: str
    changed_at: str
    token: str
    summary: tuple[str, ...] = ()
    earlier_tokens: tuple[str, ...] = ()

    def includes(self, token: str) -> bool:
        """Returns whether this change, or one it is based on, has the token."""
        return token == self.token or token in self.earlier_tokens


def new_note(
    author: str, summary: tuple[str, ...], previous: ChangeNote | None
) -> ChangeNote:
    """Returns the note of a change with the current time and a new token.

    Args:
        author: Operator who makes the change.
        summary: What changes, one line per difference.
        previous: Note of the document that is replaced, if any.
    """
    earlier: tuple[str, ...] = ()
    if previous is not None:
        earlier = (previous.token, *previous.earlier_tokens)
    now = datetime.datetime.now(datetime.UTC)
    return ChangeNote(
        author,
        now.isoformat(timespec="seconds"),
        uuid.uuid4().hex,
        summary[:MAX_SUMMARY_LINES],
        earlier[:MAX_EARLIER_TOKENS],
    )


@attrs.frozen
class ConfigurationDocument:
    """The configuration as stored in the platform.

    Attributes:
        note: Note of the change that produced it; None before the first change.
        configuration: The configuration.
    """

    note: ChangeNote | None
    configuration: configuration.Configuration


def encode(document: ConfigurationDocument) -> bytes:
    """Returns a document as compressed JSON.

    Raises:
        errors.ConfigurationError: The result is too large for the platform.
    """
    return pack(document, "configuration")


def decode(content: bytes) -> ConfigurationDocument:
    """Returns the document that `encode` wrote.

    Raises:
        errors.ConfigurationError: The content is malformed.
    """
    return unpack(_decoder, content, "configuration")


def pack(document: object, name: str) -> bytes:
    """Returns a document as compressed JSON that fits into one object.

    Args:
        document: An attrs object.
        name: What the document contains, for error messages.

    Raises:
        errors.ConfigurationError: The result is too large for the platform.
    """
    packed = zlib.compress(msgspec.json.encode(document))
    if len(packed) > MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            f"The {name} takes {len(packed)} bytes when compressed; shorten it "
            f"below {MAX_DOCUMENT_BYTES}."
        )
    return packed


def unpack(decoder: msgspec.json.Decoder, content: bytes, name: str) -> object:
    """Returns the document that `pack` wrote.

    Args:
        decoder: Decoder of the document's type.
        content: Packed document.
        name: What the document contains, for error messages.

    Raises:
        errors.ConfigurationError: The content is malformed.
    """
    try:
        return decoder.decode(_decompress(content))
    except (msgspec.MsgspecError, UnicodeDecodeError, zlib.error) as error:
        raise errors.ConfigurationError(
            f"The stored {name} is malformed ({error}); write a valid one."
        ) from error


def _decompress(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise zlib.error(
            "incomplete, followed by other data or above "
            f"{MAX_DECOMPRESSED_BYTES} bytes"
        )
    return decompressed


_decoder = msgspec.json.Decoder(ConfigurationDocument)
