"""Received requests, and the checks of their header fields."""

from collections.abc import Callable
import itertools
import re
import secrets
import urllib.parse

import attrs

from mulberrydeck import errors
from mulberrydeck.frontend import bodies
from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import responses
from mulberrydeck.observability import redaction

KEY_FIELD = "mulberrydeck-key"
REQUEST_ID_FIELD = "mulberrydeck-request-id"
RUN_ID_FIELD = "mulberrydeck-run-id"
DEADLINE_FIELD = "mulberrydeck-deadline"
MAX_DEADLINE_S = 86400.0

_IDENTIFIER = re.compile(r"[A-Za-z0-9._:~-]{1,128}")
_SECONDS = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,6})?")
_process_prefix = secrets.token_hex(6)
_sequence_numbers = itertools.count(1)


class RefusedError(Exception):
    """The request is refused before it reaches the core.

    Attributes:
        problem: Problem details of the refusal.
    """

    def __init__(self, problem: errors.Problem) -> None:
        super().__init__(problem.kind)
        self.problem = problem


@attrs.define(eq=False)
class Request:
    """A request and the writer of its response.

    Attributes:
        connection: Connection on which it was received.
        head: Parsed head.
        body: Body, or None if there is none.
        response: Writer of its response.
        handling_id: Identifier that is unique to this handling of the request.
        request_id: Identifier that is reported to the caller.
        path: Path without query.
        query: Query string without `?`.
        superseded: Whether it was cancelled because an earlier response closed
            the connection.
    """

    connection: buffered.BufferedConnection
    head: heads.RequestHead
    body: bodies.Body | None
    response: responses.ResponseWriter
    handling_id: str
    request_id: str
    path: str
    query: str
    superseded: bool = False

    @property
    def fully_read(self) -> bool:
        """Whether no body bytes remain, so that a next request may follow."""
        return self.body is None or self.body.finished

    def refuse(self, problem: errors.Problem) -> None:
        """Responds with problem details unless part of a response was sent."""
        if self.response.sent or self.response.finished:
            return
        self.response.pending.clear()
        self.response.closing = self.response.closing or not self.fully_read
        self.response.send_complete(
            problem.status,
            [*problems.fields(problem), (REQUEST_ID_FIELD, self.request_id)],
            problems.encode(problem, self.request_id),
        )

    def parameter(self, name: str) -> str:
        """Returns the first value of a query parameter, or empty."""
        if not self.query:
            return ""
        values = urllib.parse.parse_qs(self.query)
        return values.get(name, [""])[0]


def from_head(
    connection: buffered.BufferedConnection,
    head: heads.RequestHead,
    closing: bool,
) -> Request:
    """Returns the request with a given head.

    Args:
        connection: Connection on which it was received.
        head: Parsed head.
        closing: Whether the connection closes after the response.
    """
    handling_id = f"{_process_prefix}-{next(_sequence_numbers)}"
    path, _, query = head.target.partition("?")
    writer = responses.ResponseWriter(
        connection, head, closing or head.wants_close
    )
    return Request(
        connection=connection,
        head=head,
        body=_body(connection, head),
        response=writer,
        handling_id=handling_id,
        request_id=handling_id,
        path=path,
        query=query,
    )


def _body(
    connection: buffered.BufferedConnection, head: heads.RequestHead
) -> bodies.Body | None:
    if not head.has_body:
        return None
    reader: bodies.LengthReader | bodies.ChunkedReader
    if head.chunked:
        reader = bodies.ChunkedReader(connection)
    else:
        reader = bodies.LengthReader(connection, head.length)
    return bodies.Body(reader, head.length, _before_read(connection, head))


def _before_read(
    connection: buffered.BufferedConnection, head: heads.RequestHead
) -> Callable[[], None] | None:
    if not expects_continue(head):
        return None
    return lambda: connection.send(bodies.CONTINUE)


def expects_continue(head: heads.RequestHead) -> bool:
    """Returns whether the caller waits for `100 Continue`."""
    expected = head.index.get("expect", "")
    return head.minor == 1 and expected.lower() == "100-continue"


def parse_key(head: heads.RequestHead) -> str:
    """Returns the presented key, or empty.

    Raises:
        RefusedError: Several different keys were presented.
    """
    values = set(head.values(KEY_FIELD))
    if len(values) > 1:
        raise RefusedError(problems.AMBIGUOUS_KEY)
    return values.pop() if values else ""


def presented_keys(head: heads.RequestHead) -> tuple[str, ...]:
    """Returns the keys in all fields that a target may treat as the key field.

    Some servers treat `_` and `-` in field names alike.
    """
    return tuple(
        value
        for name, value in head.fields
        if value and name.replace("_", "-") == KEY_FIELD
    )


def check_url(url: str, keys: tuple[str, ...]) -> None:
    """Checks that a URL contains no key.

    Args:
        url: Request target, still encoded.
        keys: Keys that are presented in header fields.

    Raises:
        RefusedError: The URL contains a key.
    """
    decoded = urllib.parse.unquote_plus(url) if "%" in url else url
    if redaction.reveals_key(decoded, keys):
        raise RefusedError(problems.MISPLACED_KEY)


def parse_identifier(head: heads.RequestHead, name: str) -> str:
    """Returns a request or run identifier, or empty.

    Args:
        head: Head to read from.
        name: Lower-case field name.

    Raises:
        RefusedError: The identifier is malformed or given several times.
    """
    if name not in head.index:
        return ""
    values = head.values(name)
    if len(values) > 1 or _IDENTIFIER.fullmatch(values[0]) is None:
        raise RefusedError(problems.bad_identifier(name))
    return values[0]


def parse_deadline(head: heads.RequestHead) -> float:
    """Returns the time that the caller allows, in seconds; 0 if not given.

    Raises:
        RefusedError: The value is not a positive number.
    """
    text = head.index.get(DEADLINE_FIELD)
    if text is None:
        return 0.0
    if _SECONDS.fullmatch(text) is None or float(text) <= 0:
        raise RefusedError(problems.BAD_DEADLINE)
    return min(float(text), MAX_DEADLINE_S)
