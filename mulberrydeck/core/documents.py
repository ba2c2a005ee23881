"""Versioned documents that every VM applies: configuration and keyring.

The version of a document never decreases. A newer one is read from the platform
or requested from a peer that reports it.
"""

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects

REQUEST_INTERVAL_S = 0.5
DOCUMENT_NAMES = ("config", "keys")


@attrs.define
class Document:
    """The copy of a document on this VM.

    Attributes:
        name: Name of the document.
        version: Applied version; 0 if none was applied yet.
        content: Encoded content.
        confirmed_at_s: When the platform last confirmed the version, directly
            or through a peer, in seconds; -inf if never.
        requested_at_s: When it was last requested from a peer, in seconds;
            -inf if never.
    """

    name: str
    version: int = 0
    content: bytes = b""
    confirmed_at_s: float = float("-inf")
    requested_at_s: float = float("-inf")


@attrs.define
class DocumentsState:
    """The documents of this VM, by name."""

    by_name: dict[str, Document] = attrs.field(
        factory=lambda: {name: Document(name) for name in DOCUMENT_NAMES}
    )

    def versions(self, now_s: float) -> tuple[messages.DocumentVersion, ...]:
        """Returns the applied versions to report to peers."""
        return tuple(
            messages.DocumentVersion(
                document.name,
                document.version,
                now_s - document.confirmed_at_s,
            )
            for document in self.by_name.values()
            if document.version
        )


def apply_if_newer(
    state: DocumentsState,
    name: str,
    version: int,
    content: bytes,
    confirmed_at_s: float,
) -> bool:
    """Replaces a document by a newer one; returns whether it did so.

    Args:
        state: Documents of this VM.
        name: Name of the document; ignored if it is unknown.
        version: Version of `content`.
        content: Encoded content.
        confirmed_at_s: When the platform last confirmed the version, in
            seconds.
    """
    current = state.by_name.get(name)
    if current is None or version < current.version:
        return False
    current.confirmed_at_s = max(current.confirmed_at_s, confirmed_at_s)
    if version == current.version:
        return False
    current.version = version
    current.content = content
    current.confirmed_at_s = confirmed_at_s
    return True


def record_confirmation(
    state: DocumentsState, name: str, version: int, confirmed_at_s: float
) -> None:
    """Records when the platform confirmed that a version is the latest."""
    current = state.by_name.get(name)
    if current is not None and current.version == version:
        current.confirmed_at_s = max(current.confirmed_at_s, confirmed_at_s)


def request_newer(
    state: DocumentsState,
    now_s: float,
    sender: str,
    reported: tuple[messages.DocumentVersion, ...],
) -> list[quota_effects.SendMessage]:
    """Requests the documents of which a peer reports a newer version.

    Each document is requested at most once per `REQUEST_INTERVAL_S`.
    """
    produced = []
    for document in reported:
        current = state.by_name.get(document.name)
        if current is None:
            continue
        record_confirmation(
            state, document.name, document.version, now_s - document.age_s
        )
        is_outdated = document.version > current.version
        if is_outdated and now_s - current.requested_at_s >= REQUEST_INTERVAL_S:
            current.requested_at_s = now_s
            request = messages.DocumentRequest(document.name, current.version)
            produced.append(quota_effects.SendMessage(sender, request))
    return produced


def respond(
    state: DocumentsState,
    now_s: float,
    sender: str,
    request: messages.DocumentRequest,
) -> list[quota_effects.SendMessage]:
    """Sends a document if it is newer than the version of the peer."""
    current = state.by_name.get(request.name)
    if current is None or current.version <= request.known_version:
        return []
    message = messages.DocumentResponse(
        current.name,
        current.version,
        current.content,
        now_s - current.confirmed_at_s,
    )
    return [quota_effects.SendMessage(sender, message)]
