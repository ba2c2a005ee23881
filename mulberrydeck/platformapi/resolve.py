"""Conditional writes whose lost answers are resolved by reading back."""

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
    """Writes an object and finds out what became of the write.

    If the answer is lost, the object is read back. If its version is still the
    expected one, the first write may be on its way, so the same write is sent
    again: versions never repeat, so at most one of the two takes effect.

    Args:
        objects: The client.
        key: Key of the object.
        value: Raw content, which must hold something unique to this write.
        expected_version: Version to replace; 0 to create.
        includes: Tells whether a content was made by this write or is based
            on it; by default whether it equals `value`.
        attempts: How often the object is read back.

    Returns:
        The version that holds the write. Fails with `ConflictError` if another
        write came first, `PlatformUnavailableError` if nothing was changed,
        and `PlatformOutcomeUnknownError` if that could not be found out.
    """
    if includes is None:
        includes = value.__eq__
    written = objects.put(key, value, expected_version)
    if not is_unknown(written):
        return written
    for attempt in range(attempts):
        gevent.sleep(RESOLVE_BACKOFF_S * attempt)
        seen = _read_back(objects, key)
        if seen is None:
            continue
        if seen.version > expected_version:
            return _judge(seen, includes)
        if seen.version == expected_version:
            again = objects.put(key, value, expected_version)
            if isinstance(again, result.Success):
                return again
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
        case result.Success(found):
            return found
        case result.Failure(errors.NotFoundError()):
            return records.StoredObject(key, client.ABSENT_VERSION, b"")
        case _:
            return None


def _judge(
    seen: records.StoredObject, includes: Callable[[bytes], bool]
) -> result.Result[int, errors.MulberrydeckError]:
    if includes(seen.content):
        return result.Success(seen.version)
    return result.Failure(
        errors.ConflictError(
            f"{seen.key} is now at version {seen.version}, written by another; "
            "read it again and retry."
        )
    )
