"""Detects and redacts caller keys in text that leaves the process."""

import re

KEY_PREFIX = "mdk_"
REPLACEMENT = "<key>"

_KEY = re.compile(r"mdk_[A-Za-z0-9_\-]{8,}")


def reveals_key(text: str, secrets: tuple[str, ...] = ()) -> bool:
    """Returns whether a text contains a caller key.

    Any string in the format of a key counts, and so do the given secrets.

    Args:
        text: Text that would leave this VM.
        secrets: Keys that a caller presented, in any format.
    """
    if KEY_PREFIX in text and _KEY.search(text) is not None:
        return True
    return any(secret in text for secret in secrets)


def redact(text: str) -> str:
    """Returns a text with all strings in the format of a key replaced."""
    if KEY_PREFIX not in text:
        return text
    return _KEY.sub(REPLACEMENT, text)
