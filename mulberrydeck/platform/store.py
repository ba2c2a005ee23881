"""Client of the platform's metadata store.

A call is sent at most once, over a kept connection. Its error tells the truth
about what the call may have changed.
"""

import urllib.parse

import attrs
import msgspec
from returns import result

from mulberrydeck import errors
from mulberrydeck.forward import answers
from mulberrydeck.forward import pool as pools
from mulberrydeck.platform import documents

CALL_TIMEOUT_S = 2.0  # About 500 times an undisturbed answer.
# Added to the wait of a watch before it counts as lost.
WATCH_MARGIN_S = 1.0
RECEIVE_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MS_PER_S = 1000


class RevisionCompactedError(errors.MulberrydeckError):
    """The store no longer has the changes since a revision; list anew."""


@attrs.frozen
class Listing:
    """All objects of a kind.

    Attributes:
        objects: The objects that can be read.
        unreadable: Why others cannot be read.
        revision: Revision of the store from which to watch.
    """

    objects: tuple[documents.StoredObject, ...]
    unreadable: tuple[str, ...]
    revision: int


@attrs.frozen
class Change:
    """A change of one object.

    Attributes:
        stored: The object after the change.
        deleted: Whether it was removed.
    """

    stored: documents.StoredObject
    deleted: bool


@attrs.frozen
class Changes:
    """Changes of the objects of a kind, in order.

    Attributes:
        changes: Changes of objects that can be read.
        unreadable: Why others cannot be read.
        revision: Revision of the store from which to go on.
    """

    changes: tuple[Change, ...]
    unreadable: tuple[str, ...]
    revision: int


_reports = result.safe(exceptions=(errors.MulberrydeckError,))


class StoreClient:
    """Calls the store; each method returns a `returns` result.

    Attributes:
        address: `ip:port` of the store.
        pool: Source of connections.
    """

    def __init__(self, address: str, pool: pools.ConnectionPool) -> None:
        self.address = address
        self.pool = pool

    @_reports
    def list(self, kind: str) -> Listing:
        """Lists all objects of a kind."""
        objects: list[documents.StoredObject] = []
        unreadable: list[str] = []
        after = ""
        first_revision: int | None = None
        while True:
            query = {"after": after} if after else {}
            page = documents.decode_page(
                self._call("GET", _path(kind, query=query))
            )
            found, reasons = documents.decode_valid_objects(page.items)
            objects.extend(found)
            unreadable.extend(reasons)
            # Later pages may be newer; watching from the first one misses none.
            if first_revision is None:
                first_revision = page.at
            if not page.has_more or not found:
                break
            after = found[-1].metadata.name
        return Listing(tuple(objects), tuple(unreadable), first_revision)

    @_reports
    def watch(
        self, kind: str, since: int, wait_s: float, stale: bool = False
    ) -> Changes:
        """Waits for changes of a kind; fails if they are no longer known.

        Args:
            kind: Kind of the objects.
            since: Revision after which changes count.
            wait_s: How long to wait for the first change, in seconds.
            stale: Whether data may be seconds old, which is cheaper.
        """
        query = {"Watch": since, "WaitMs": int(wait_s * MS_PER_S)}
        if stale:
            query["AllowStale"] = 1
        path = _path(kind, query=query)
        decoded = documents.decode_changes(
            self._call("GET", path, wait_s + WATCH_MARGIN_S)
        )
        changes = []
        unreadable = []
        for event in decoded.events:
            found, reasons = documents.decode_valid_objects((event.object,))
            changes += [Change(stored, event.deleted) for stored in found]
            unreadable += reasons
        return Changes(tuple(changes), tuple(unreadable), decoded.at)

    @_reports
    def check(self, timeout_s: float) -> None:
        """Makes the cheapest call, which shows that the store can be reached.

        Args:
            timeout_s: How long to wait for its answer, in seconds.
        """
        path = _path(documents.EVACUATIONS_KIND, query={"AllowStale": 1})
        self._call("GET", path, timeout_s)

    @_reports
    def get(self, kind: str, name: str) -> documents.StoredObject:
        """Reads one object; fails with `NotFoundError` if there is none."""
        return documents.decode_stored_object(
            self._call("GET", _path(kind, name))
        )

    @_reports
    def create(
        self, kind: str, name: str, spec: object
    ) -> documents.StoredObject:
        """Creates an object; fails with `ConflictError` if it exists."""
        return self._write("POST", _path(kind), name, spec)

    @_reports
    def replace(
        self, kind: str, name: str, spec: object
    ) -> documents.StoredObject:
        """Replaces an object, whatever its revision."""
        return self._write("PUT", _path(kind, name), name, spec)

    @_reports
    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        self._call("DELETE", _path(kind, name))

    def _write(
        self, method: str, path: str, name: str, spec: object
    ) -> documents.StoredObject:
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return documents.decode_stored_object(
            self._call(method, path, body=body)
        )

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        body: object = None,
    ) -> bytes:
        """Returns the body of a successful answer."""
        try:
            connection = self.pool.acquire(self.address, timeout_s)
        except pools.ConnectError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        reusable = False
        try:
            connection.sock.settimeout(timeout_s)
            connection.sock.sendall(self._encode(method, path, body))
            parser = self._receive(connection, method, timeout_s)
            reusable = parser.keeps_connection
        except (OSError, answers.response.HTTPParseError) as error:
            reason = str(error) or type(error).__name__
            raise errors.PlatformOutcomeUnknownError(reason) from error
        finally:
            if reusable:
                self.pool.release(connection)
            else:
                connection.sock.close()
        _check(parser.get_code())
        return parser.take()

    def _receive(
        self, connection: pools.Connection, method: str, timeout_s: float
    ) -> answers.AnswerParser:
        parser = answers.AnswerParser(method)
        ends_s = self.pool.now_s() + timeout_s
        received = 0
        while not parser.complete:
            left_s = ends_s - self.pool.now_s()
            if left_s <= 0:
                raise TimeoutError("no whole answer in time")
            connection.sock.settimeout(left_s)
            data = connection.sock.recv(RECEIVE_BYTES)
            received += len(data)
            if received > MAX_ANSWER_BYTES:
                raise OSError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
            parser.accept(data)
        return parser

    def _encode(self, method: str, path: str, body: object) -> bytes:
        content = b"" if body is None else msgspec.json.encode(body)
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
        if body is not None:
            head += "content-type: application/json\r\n"
            head += f"content-length: {len(content)}\r\n"
        return head.encode("ascii") + b"\r\n" + content


def _path(
    kind: str, name: str = "", query: dict[str, object] | None = None
) -> str:
    path = f"/objects/{urllib.parse.quote(kind)}"
    if name:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _check(status: int) -> None:
    """Raises the error that a status stands for."""
    if 200 <= status < 300:
        return
    reason = f"The store answered {status}."
    match status:
        case 404:
            raise errors.NotFoundError(reason)
        case 409:
            raise errors.ConflictError(reason)
        case 410:
            raise RevisionCompactedError(reason)
        case 429 | 503:
            raise errors.PlatformUnavailableError(reason)
    raise errors.PlatformRefusedError(reason)
