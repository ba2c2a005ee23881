"""Reads and conditional writes of the documents that operators change."""

from collections.abc import Callable
import contextlib
from typing import Generic
from typing import TypeVar

import attrs
import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.keys import keyring
from mulberrydeck.model import configuration
from mulberrydeck.model import documents
from mulberrydeck.model import loading
from mulberrydeck.platformapi import client
from mulberrydeck.platformapi import names
from mulberrydeck.platformapi import resolve

EDIT_ATTEMPTS = 10
EDIT_BACKOFF_S = 0.05
MAX_SUMMARY_LINES = 5

Document = TypeVar("Document")


@attrs.frozen
class Kind(Generic[Document]):
    """How one kind of document is stored.

    Attributes:
        key: Key of the document in the platform.
        encode: Encodes the document to bytes.
        decode: Decodes the document from bytes.
        empty: Document that is used if none is stored.
    """

    key: str
    encode: Callable[[Document], bytes]
    decode: Callable[[bytes], Document]
    empty: Document


@attrs.frozen
class Stored(Generic[Document]):
    """A document with its version.

    Attributes:
        document: The document; the empty one of its kind if none is stored.
        version: Its version in the platform; 0 if none is stored.
    """

    document: Document
    version: int


CONFIGURATION = Kind(
    names.CONFIG,
    documents.encode,
    documents.decode,
    documents.ConfigurationDocument(None, configuration.Configuration()),
)
KEYRING = Kind(names.KEYS, keyring.encode, keyring.decode, keyring.Keyring())


def read(
    objects: client.ObjectClient, kind: Kind[Document]
) -> Stored[Document]:
    """Returns a document as stored in the platform.

    Raises:
        errors.PlatformUnavailableError: The platform did not respond.
        errors.ConfigurationError: The document is malformed.
    """
    match objects.get(kind.key):
        case result.Success(stored_object):
            return Stored(
                kind.decode(stored_object.content), stored_object.version
            )
        case result.Failure(errors.NotFoundError()):
            return Stored(kind.empty, client.ABSENT_VERSION)
        case result.Failure(error):
            raise error


def write(
    objects: client.ObjectClient,
    kind: Kind[Document],
    document: Document,
    expected_version: int,
) -> int:
    """Writes a document if its version is unchanged.

    Args:
        objects: The client.
        kind: Kind of the document.
        document: The document, with a note that describes the change.
        expected_version: Version to replace; 0 to create.

    Returns:
        The version that holds the change.

    Raises:
        errors.ConflictError: Another write came first; the message names its
            author.
        errors.PlatformUnavailableError: Nothing was changed.
        errors.PlatformOutcomeUnknownError: Whether it was changed is unknown.
    """
    token = document.note.token

    def includes(content: bytes) -> bool:
        return kind.decode(content).note.includes(token)

    written = resolve.put_and_resolve(
        objects, kind.key, kind.encode(document), expected_version, includes
    )
    match written:
        case result.Success(version):
            return version
        case result.Failure(errors.ConflictError()):
            text = _conflict_text(objects, kind, expected_version)
            raise errors.ConflictError(text)
        case result.Failure(error):
            raise error


def edit(
    objects: client.ObjectClient,
    kind: Kind[Document],
    change: Callable[[Document], Document],
) -> Stored[Document]:
    """Applies a change to a document and retries after each conflict.

    Args:
        objects: The client.
        kind: Kind of the document.
        change: Returns the changed document with a new note, or an equal one
            if there is nothing to change.

    Returns:
        The document that holds the change.

    Raises:
        errors.ConflictError: Another write came first at every attempt.
        errors.PlatformUnavailableError: Nothing was changed.
        errors.PlatformOutcomeUnknownError: Whether it was changed is unknown.
    """
    attempt = 0
    while True:
        stored = read(objects, kind)
        changed = change(stored.document)
        if changed == stored.document:
            return stored
        try:
            version = write(objects, kind, changed, stored.version)
        except errors.ConflictError:
            attempt += 1
            if attempt == EDIT_ATTEMPTS:
                raise
            gevent.sleep(EDIT_BACKOFF_S * attempt)
        else:
            return Stored(changed, version)


def edit_configuration(
    objects: client.ObjectClient,
    author: str,
    summary: str,
    change: Callable[
        [configuration.Configuration], configuration.Configuration
    ],
) -> Stored[documents.ConfigurationDocument]:
    """Applies a small change to the configuration in force.

    Args:
        objects: The client.
        author: Operator who makes the change.
        summary: One-line description of the change.
        change: Returns the changed configuration.

    Raises:
        errors.ConfigurationError: The changed configuration is invalid.
        errors.MulberrydeckError: See `edit`.
    """

    def change_document(
        document: documents.ConfigurationDocument,
    ) -> documents.ConfigurationDocument:
        changed = change(document.configuration)
        if changed == document.configuration:
            return document
        loading.verify(changed, "changed configuration")
        note = documents.new_note(author, (summary,), document.note)
        return documents.ConfigurationDocument(note, changed)

    return edit(objects, CONFIGURATION, change_document)


def describe(stored: Stored[Document]) -> str:
    """Returns a text with author, time and summary of the change in force."""
    note = stored.document.note
    if note is None:
        return f"version {stored.version} is in force"
    summary = "; ".join(note.summary[:MAX_SUMMARY_LINES]) or "no summary"
    return (
        f"{note.author} came first with version {stored.version} at "
        f"{note.changed_at} ({summary})"
    )


def _conflict_text(
    objects: client.ObjectClient, kind: Kind[Document], expected_version: int
) -> str:
    conflict = f"another writer changed `{kind.key}` first"
    with contextlib.suppress(errors.MulberrydeckError):
        stored = read(objects, kind)
        if stored.version <= expected_version:
            return (
                f"{conflict}, and the platform still shows the older version "
                f"{stored.version}; your change was not applied. Try again in "
                "a few seconds."
            )
        conflict = describe(stored)
    return f"{conflict}; your change was not applied. Read it again and retry."
