"""Client of the platform's object API.

A call is sent at most once. The error of a failed call says whether it may have
changed anything: `PlatformUnavailableError` means that it has not, and
`PlatformOutcomeUnknownError` that a write may or may not have taken effect.
"""

from typing import TypeVar
import urllib.parse

import msgspec
from returns import result

from mulberrydeck import errors
from mulberrydeck.platformapi import exchange
from mulberrydeck.platformapi import records

ABSENT_VERSION = 0
UNUSED_VERSION = 2**62  # Higher than any version in use.
MAX_OBJECT_BYTES = 1_000_000
CONFLICT_STATUSES = (409, 412)

Decoded = TypeVar("Decoded")


class ObjectClient:
    """Calls the object API over HTTP.

    Args:
        url: Base URL of the platform.
        timeout_s: Time allowed for one call, in seconds; a watch may wait
            longer by its `wait_s`.
        source_ip: Local IP of connections; empty lets the system choose.
    """

    def __init__(self, url: str, timeout_s: float, source_ip: str = "") -> None:
        self.endpoint = exchange.Endpoint(url, source_ip)
        self.timeout_s = timeout_s

    def get(
        self, key: str
    ) -> result.Result[records.StoredObject, errors.MulberrydeckError]:
        """Reads an object.

        Returns:
            The object; fails with `NotFoundError` or
            `PlatformUnavailableError`.
        """
        outcome = self._read(_object_path(key))
        return outcome.map(
            lambda response: records.StoredObject(
                key, _version(response), response.body
            )
        )

    def list(
        self, prefix: str
    ) -> result.Result[
        tuple[records.ObjectVersion, ...], errors.MulberrydeckError
    ]:
        """Lists the keys that start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._read_json(
            f"/v1/objects?{query}", tuple[records.ObjectVersion, ...]
        )

    def watch(
        self, prefix: str, since: int, wait_s: float
    ) -> result.Result[records.ObjectChanges, errors.MulberrydeckError]:
        """Waits for changes.

        Args:
            prefix: Watches keys that start with it.
            since: Revision of the last response.
            wait_s: How long the platform may wait for a change, in seconds.

        Returns:
            The changes, possibly none. Fails with `NotFoundError` if `since`
            is too old; all objects must then be read again.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "since": since, "wait_s": wait_s}
        )
        return self._read_json(
            f"/v1/watch?{query}", records.ObjectChanges, wait_s
        )

    def vms(
        self,
    ) -> result.Result[tuple[records.VmEntry, ...], errors.MulberrydeckError]:
        """Returns the platform's list of VMs, which may be out of date."""
        return self._read_json("/v1/vms", tuple[records.VmEntry, ...])

    def put(
        self, key: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.MulberrydeckError]:
        """Writes an object if its version is unchanged.

        Args:
            key: Key of the object.
            value: Raw content.
            expected_version: Version to replace; `ABSENT_VERSION` to create.

        Returns:
            The new version; fails with `ConflictError`,
            `PlatformUnavailableError` or `PlatformOutcomeUnknownError`.
        """
        if len(value) > MAX_OBJECT_BYTES:
            return result.Failure(
                errors.PlatformRefusedError(
                    f"{key} has {len(value)} bytes; shorten it below "
                    f"{MAX_OBJECT_BYTES}."
                )
            )
        outcome = self._write("PUT", key, value, expected_version)
        return outcome.bind(lambda response: _check_write(key, response)).map(
            _version
        )

    def delete(
        self, key: str, expected_version: int
    ) -> result.Result[None, errors.MulberrydeckError]:
        """Deletes an object if its version is unchanged.

        Args:
            key: Key of the object.
            expected_version: Version to delete.

        Returns:
            None; fails like `put` and with `NotFoundError`.
        """
        outcome = self._write("DELETE", key, b"", expected_version)
        return outcome.bind(lambda response: _check_write(key, response)).map(
            lambda _: None
        )

    def current_version(
        self, key: str
    ) -> result.Result[int, errors.MulberrydeckError]:
        """Returns an object's current version, even if reads are stale.

        Reads may return stale data, but writes are checked against the current
        version. A write that expects a version which no object has is always
        rejected, and the response holds the current version.

        Args:
            key: Key of the object.

        Returns:
            The version, 0 if the object is absent; fails with
            `PlatformUnavailableError` or `PlatformOutcomeUnknownError`.
        """
        outcome = self._write("PUT", key, b"", UNUSED_VERSION)
        return outcome.bind(_current_version)

    def _read_json(
        self, path: str, decoded_type: type[Decoded], wait_s: float = 0.0
    ) -> result.Result[Decoded, errors.MulberrydeckError]:
        return self._read(path, wait_s).bind(
            lambda response: _decode(response.body, decoded_type)
        )

    def _read(
        self, path: str, wait_s: float = 0.0
    ) -> result.Result[exchange.Response, errors.MulberrydeckError]:
        request = exchange.Request("GET", path)
        try:
            response = self.endpoint.exchange(request, self.timeout_s + wait_s)
        except (exchange.NotSentError, exchange.NoResponseError) as error:
            return result.Failure(
                errors.PlatformUnavailableError(
                    f"The platform did not respond ({error}); try again later."
                )
            )
        if response.status in (404, 410):
            return result.Failure(
                errors.NotFoundError(
                    f"The platform has nothing at {path}; check the name."
                )
            )
        if response.status != 200:
            return result.Failure(_unavailable(response))
        return result.Success(response)

    def _write(
        self, method: str, key: str, value: bytes, expected_version: int
    ) -> result.Result[exchange.Response, errors.MulberrydeckError]:
        headers = {"If-Version": str(expected_version)}
        request = exchange.Request(method, _object_path(key), headers, value)
        try:
            response = self.endpoint.exchange(request, self.timeout_s)
        except exchange.NotSentError as error:
            return result.Failure(
                errors.PlatformUnavailableError(
                    f"The platform is unreachable ({error}); nothing was "
                    "changed, try again later."
                )
            )
        except exchange.NoResponseError as error:
            return result.Failure(_outcome_unknown(key, str(error)))
        return result.Success(response)


def _check_write(
    key: str, response: exchange.Response
) -> result.Result[exchange.Response, errors.MulberrydeckError]:
    if 200 <= response.status < 300:
        return result.Success(response)
    match response.status:
        case status if status in CONFLICT_STATUSES:
            return result.Failure(
                errors.ConflictError(
                    f"{key} is now at version {_version(response)}; read it "
                    "again and retry."
                )
            )
        case 404:
            return result.Failure(
                errors.NotFoundError(f"{key} does not exist; check the name.")
            )
        case 429 | 503:
            return result.Failure(_unavailable(response))
        case status if 400 <= status < 500:
            return result.Failure(
                errors.PlatformRefusedError(
                    f"The platform rejected {key} with status {status}; "
                    "nothing was changed, check key and size."
                )
            )
        case status:
            return result.Failure(_outcome_unknown(key, f"status {status}"))


def _version(response: exchange.Response) -> int:
    return response.int_header("object-version")


def _current_version(
    response: exchange.Response,
) -> result.Result[int, errors.MulberrydeckError]:
    if response.status in CONFLICT_STATUSES:
        return result.Success(_version(response))
    return result.Failure(_unavailable(response))


def _unavailable(
    response: exchange.Response,
) -> errors.PlatformUnavailableError:
    when = "later"
    retry_after_s = response.int_header("retry-after")
    if retry_after_s:
        when = f"in {retry_after_s} s"
    return errors.PlatformUnavailableError(
        f"The platform responded with status {response.status}; nothing was "
        f"changed, try again {when}."
    )


def _outcome_unknown(
    key: str, reason: str
) -> errors.PlatformOutcomeUnknownError:
    return errors.PlatformOutcomeUnknownError(
        f"The outcome of the write of {key} is unknown ({reason}); "
        "read it again to see whether it took effect."
    )


def _decode(
    body: bytes, decoded_type: type[Decoded]
) -> result.Result[Decoded, errors.MulberrydeckError]:
    try:
        return result.Success(msgspec.json.decode(body, type=decoded_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Failure(
            errors.PlatformUnavailableError(
                f"The platform's response is malformed ({error}); "
                "check its URL."
            )
        )


def _object_path(key: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(key)}"
