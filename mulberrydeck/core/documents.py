"""Documents that every VM applies: configuration and keyring.

A document's version only grows. It comes from the platform or from a peer that
reports a higher version.
"""

import attrs

from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects

REQUEST_INTERVAL_S = 0.5
NAMES = ("config", "keys")


@attrs.define
class Document:
    """A document as this VM holds it.

    Attributes:
        name: Name of the document.
        version: Applied version; 0 before the first.
        content: Encoded content.
        confirmed_at_s: When the platform last confirmed the version, directly
            or through a peer; -inf if never.
        asked_at_s: When a peer was last asked for it.
    """

    name: str
    version: int = 0
    content: bytes = b""
    confirmed_at_s: float = float("-inf")
    asked_at_s: float = float("-inf")


@attrs.define
class DocumentsState:
    """All documents of this VM, by name."""

    by_name: dict[str, Document] = attrs.field(
        factory=lambda: {name: Document(name) for name in NAMES}
    )

    def versions(self, now_s: float) -> tuple[messages.DocumentVersion, ...]:
        """Returns what this VM reports to its peers."""
        return tuple(
            messages.DocumentVersion(
                document.name,
                document.version,
                now_s - document.confirmed_at_s,
            )
            for document in self.by_name.values()
            if document.version
        )


def offer(
    state: DocumentsState,
    name: str,
    version: int,
    content: bytes,
    confirmed_at_s: float,
) -> bool:
    """Takes a document if it is newer; returns whether it was.

    Args:
        state: Documents of this VM.
        name: Name of the document; unknown names are ignored.
        version: Version offered.
        content: Encoded content.
        confirmed_at_s: When the platform confirmed it.
    """
    held = state.by_name.get(name)
    if held is None or version < held.version:
        return False
    held.confirmed_at_s = max(held.confirmed_at_s, confirmed_at_s)
    if version == held.version:
        return False
    held.version = version
    held.content = content
    held.confirmed_at_s = confirmed_at_s
    return True


def confirm(
    state: DocumentsState, name: str, version: int, confirmed_at_s: float
) -> None:
    """Records that a version is still the latest."""
    held = state.by_name.get(name)
    if held is not None and held.version == version:
        held.confirmed_at_s = max(held.confirmed_at_s, confirmed_at_s)


def compare(
    state: DocumentsState,
    now_s: float,
    sender: str,
    reported: tuple[messages.DocumentVersion, ...],
) -> list[quota_effects.SendMessage]:
    """Asks a peer for documents that it holds in a newer version."""
    produced = []
    for document in reported:
        held = state.by_name.get(document.name)
        if held is None:
            continue
        confirm(state, document.name, document.version, now_s - document.age_s)
        behind = document.version > held.version
        if behind and now_s - held.asked_at_s >= REQUEST_INTERVAL_S:
            held.asked_at_s = now_s
            request = messages.DocumentRequest(document.name, held.version)
            produced.append(quota_effects.SendMessage(sender, request))
    return produced


def reply(
    state: DocumentsState,
    now_s: float,
    sender: str,
    request: messages.DocumentRequest,
) -> list[quota_effects.SendMessage]:
    """Sends a document that is newer than the one the peer knows."""
    held = state.by_name.get(request.name)
    if held is None or held.version <= request.known_version:
        return []
    message = messages.DocumentResponse(
        held.name, held.version, held.content, now_s - held.confirmed_at_s
    )
    return [quota_effects.SendMessage(sender, message)]
