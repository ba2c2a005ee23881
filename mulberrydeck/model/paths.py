"""Splits request paths into the segments that routes are matched on."""

import urllib.parse


def segments(path: str) -> tuple[str, ...] | None:
    """Returns the decoded segments of a path, or None if it is ambiguous.

    Targets may normalise a path, so a path that could then belong to another
    route must not match any: dot segments, encoded separators and doubly
    encoded segments make it ambiguous. Empty segments and path parameters
    (from `;`) are dropped.

    Args:
        path: Path as received, which may end with a query.
    """
    decoded = []
    for raw in path.partition("?")[0].split("/"):
        segment = urllib.parse.unquote(raw).partition(";")[0]
        if _is_ambiguous(segment):
            return None
        if segment:
            decoded.append(segment)
    return tuple(decoded)


def _is_ambiguous(segment: str) -> bool:
    if segment in (".", "..") or urllib.parse.unquote(segment) != segment:
        return True
    return any(character in segment for character in "/\\\0")
