"""Conditional writes that resolve an unknown outcome by reading back."""

from collections.abc import Callable

import gevent
from returns import result

from mulberrydeck import errors
from mulberrydeck.platformapi import client
from mulberrydeck.platformapi import records

RESOLVE_ATTEMPTS = 6
RESOLVE_BACKOFF_S = 0.2


def put_and_resolve(
    objects: client.ObjectClient,
    key: str,
    value: bytes,
    expected_version: int,
    includes: Callable[[bytes], bool] | None = None,
    attempts: int = RESOLVE_ATTEMPTS,
) -> result.Result[int, errors.MulberrydeckError]:
    """Writes an object and resolves the outcome if it is unknown.

    If the response is lost, the object is read back. If its version is still
    the expected one, the first write may still be in transit, so the same write
    is sent again. At most one of the two takes effect, because versions never
    repeat.

    Args:
        objects: Client of the object API.
        key: Key of the object.
        value: Raw content, which must contain something unique to this write.
        expected_version: Version to replace; 0 to create.
        includes: Returns whether a content was written by this write or is
            based on it; by default, whether it equals `value`.
        attempts: Maximum number of times that the object is read back.

    Returns:
        The version that includes the write. Fails with `ConflictError` if
        another write came first, with `PlatformUnavailableError` if nothing was
        changed, and with `PlatformOutcomeUnknownError` if the outcome could not
        be determined.
    """
    if includes is None:
        includes = value.__eq__
    written = objects.put(key, value, expected_version)
    if not is_unknown(written):
        return written
    for attempt in range(attempts):
        gevent.sleep(RESOLVE_BACKOFF_S * attempt)
        stored = _read_back(objects, key)
        if stored is None:
            continue
        if stored.version > expected_version:
            return _resolve(stored, includes)
        if stored.version == expected_version:
            rewritten = objects.put(key, value, expected_version)
            if isinstance(rewritten, result.Success):
                return rewritten
    return written


def is_unknown(written: result.Result) -> bool:
    """Returns whether a write may or may not have taken effect."""
    match written:
        case result.Failure(errors.PlatformOutcomeUnknownError()):
            return True
        case _:
            return False


def _read_back(
    objects: client.ObjectClient, key: str
) -> records.StoredObject | None:
    match objects.get(key):
        case result.Success(stored):
            return stored
        case result.Failure(errors.NotFoundError()):
            return records.StoredObject(key, client.ABSENT_VERSION, b"")
        case _:
            return None


def _resolve(
    stored: records.StoredObject, includes: Callable[[bytes], bool]
) -> result.Result[int, errors.MulberrydeckError]:
    if includes(stored.content):
        return result.Success(stored.version)
    return result.Failure(
        errors.ConflictError(
            f"{stored.key} is now at version {stored.version}, changed by "
            "another writer; read it again and retry."
        )
    )
