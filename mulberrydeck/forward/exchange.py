"""One attempt: sends a request to the next hop and streams the response."""

from collections.abc import Callable
from typing import Protocol

import attrs
import gevent
from geventhttpclient import response

from mulberrydeck import errors
from mulberrydeck.forward import outcomes
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward import receiving
from mulberrydeck.forward import refusals
from mulberrydeck.forward import responses
from mulberrydeck.forward import sending
from mulberrydeck.forward import statements
from mulberrydeck.forward import uploads

RECEIVE_BYTES = 64 * 1024
# A timeout of 0 would make the socket non-blocking.
MIN_TIMEOUT_S = 0.001
ATTEMPT_ID_FIELD = "mulberrydeck-attempt-id"


class Sink(Protocol):
    """Receiver of a response."""

    def begin(
        self, status: int, fields: list[tuple[str, str]], length: int | None
    ) -> None:
        """Starts the response; nothing needs to be sent yet."""

    def write(self, data: bytes) -> None:
        """Adds a piece of the body."""

    def flush(self) -> None:
        """Sends the pieces that were added."""

    def finish(self) -> None:
        """Marks the response as complete and sends the rest of it."""


@attrs.frozen
class Hop:
    """Where and how to send a request.

    Attributes:
        address: `host:port`.
        head: Encoded request head.
        method: HTTP method.
        remaining_s: Time until the deadline of the request, in seconds.
        pace: Blocks until at least one of the given number of bytes may be
            sent, and returns how many may; None if not limited.
        is_vm: Whether the next hop is another VM.
        attempt_id: Identifier that a target repeats in its response; empty if
            the next hop is another VM.
        repeatable: Whether the request may run more than once. Otherwise it
            is sent on a new connection, since the outcome is unknown if the
            peer has just closed a reused one.
        start_by_s: Latest time at which the first byte may be sent, on the
            clock of the pool, in seconds.
    """

    address: str
    head: bytes
    method: str
    remaining_s: float
    pace: Callable[[int], int] | None = None
    is_vm: bool = False
    attempt_id: str = ""
    repeatable: bool = True
    start_by_s: float = float("inf")


@attrs.frozen
class Attempt:
    """How an exchange ended.

    Attributes:
        outcome: Outcome that is reported to the core.
        status: HTTP status of the response, or 0 if there was none.
        latency_s: Time from start to response head, in seconds.
        response_started: Whether the response to the caller was started. The
            response to a single run is withheld if its status invites clients
            to repeat the request.
        expired: Whether the deadline passed before the response started.
        reason: Why it failed, for logs.
        problem: Problem details with which another VM refused the request, or
            None.
    """

    outcome: outcomes.AttemptOutcome
    status: int = 0
    latency_s: float = 0.0
    response_started: bool = False
    expired: bool = False
    reason: str = ""
    problem: errors.Problem | None = None


class ExchangeTimeoutError(Exception):
    """The deadline or the idle timeout passed during the exchange."""


class Exchange:
    """State of one attempt."""

    def __init__(
        self, pool: pools.ConnectionPool, hop: Hop, body: uploads.Body | None
    ) -> None:
        """Prepares an attempt.

        Args:
            pool: Source of connections.
            hop: Where to send the request.
            body: Request body, or None.
        """
        self.pool = pool
        self.hop = hop
        self.body = body
        self.started_s = pool.now_s()
        self.deadline_s = self.started_s + hop.remaining_s
        self.latency_s = 0.0
        self.response_started = False
        self.identified = False
        self.upload = uploads.Upload(hop.pace, pool.now_s, hop.start_by_s)
        self.parser = responses.ResponseParser(hop.method)
        self.slicer = receiving.Slicer()

    def run(self, sink: Sink) -> Attempt:
        """Performs the attempt.

        Args:
            sink: Receiver of the response.

        Raises:
            Exception: Reading from or writing to the caller failed, which
                cancelled the attempt.
        """
        if self._remaining_s() <= 0:
            return self._failed("the deadline has passed")
        try:
            connection = self.pool.acquire(
                self.hop.address,
                self._remaining_s(),
                fresh=not self.hop.repeatable,
            )
        except pools.ConnectError as error:
            return self._failed(str(error))
        reusable = False
        try:
            attempt = self._exchange(connection, sink)
            reusable = self._may_reuse(attempt)
            return attempt
        finally:
            self.upload.stop()
            if reusable:
                self.pool.release(connection)
            else:
                connection.sock.close()

    def _exchange(self, connection: pools.Connection, sink: Sink) -> Attempt:
        connection.sock.settimeout(self._timeout_s())
        try:
            self._start_upload(connection)
            self._read_head(connection)
            self._check_attempt_id(connection)
            statement = statements.of_response(self.parser, self.hop.is_vm)
            if statement is not statements.Statement.NONE:
                body = self._read_refusal(connection)
                problem = self._decode_problem(statement, body)
                return self._refused(statement, problem)
            if self._is_withheld():
                return self._answered(response_started=False)
            self._stream_response(connection, sink)
        except errors.AdmissionExpiredError as error:
            return self._not_sent(str(error))
        except (
            OSError,
            response.HTTPParseError,
            ExchangeTimeoutError,
        ) as error:
            self.upload.raise_caller_error()
            self._discard_idle_after_timeout(error)
            return self._failed(str(error))
        return self.answered()

    def _is_withheld(self) -> bool:
        return (
            not self.hop.repeatable
            and self.parser.get_code() in statements.REPEAT_STATUSES
        )

    def _start_upload(self, connection: pools.Connection) -> None:
        if self.hop.pace is None:
            self.upload.start(connection.sock, self.hop.head, self.body)
            return
        timeout = ExchangeTimeoutError("the link was busy until the deadline")
        with gevent.Timeout(max(0.0, self._remaining_s()), timeout):
            self.upload.start(connection.sock, self.hop.head, self.body)

    def _read_head(self, connection: pools.Connection) -> None:
        while not self.parser.head_complete:
            self._receive(connection)
            if self.parser.get_code() == responses.SWITCHING_PROTOCOLS:
                raise response.HTTPParseError(
                    "unexpected 101 Switching Protocols response"
                )
        self.latency_s = self.pool.now_s() - self.started_s

    def _check_attempt_id(self, connection: pools.Connection) -> None:
        """Raises an error if the response may not be to this request.

        A faulty target may send more than one response to an earlier request
        on a reused connection.
        """
        if self.hop.is_vm:
            return
        attempt_ids = self.parser.values(ATTEMPT_ID_FIELD)
        self.identified = set(attempt_ids) == {self.hop.attempt_id}
        if not self.identified and (attempt_ids or connection.reused):
            raise response.HTTPParseError(
                f"response with attempt identifiers {attempt_ids} instead of "
                f"{self.hop.attempt_id}"
            )

    def _read_refusal(self, connection: pools.Connection) -> bytes:
        """Returns the body of a refusal.

        It is believed only if it is complete and no bytes follow it, which may
        be a second response.
        """
        body = self.parser.take()
        while not self.parser.complete:
            if len(body) > refusals.MAX_BODY_BYTES:
                raise response.HTTPParseError("the refusal is too large")
            self._receive(connection)
            body += self.parser.take()
        if self.parser.surplus or connection.has_unread():
            raise response.HTTPParseError("bytes behind a refusal")
        return body

    def _decode_problem(
        self, statement: statements.Statement, body: bytes
    ) -> errors.Problem | None:
        if not self.hop.is_vm or self.hop.method == "HEAD":
            return None
        problem = refusals.decode(body, self.parser.get_code(), statement.value)
        if problem is None:
            raise response.HTTPParseError(
                "malformed problem details of another VM"
            )
        return problem

    def _stream_response(
        self, connection: pools.Connection, sink: Sink
    ) -> None:
        parser = self.parser
        self.response_started = True
        sink.begin(parser.get_code(), parser.fields, parser.declared_length)
        while True:
            if parser.decoded:
                sink.write(parser.take())
            if parser.complete:
                break
            sink.flush()
            sending.yield_to_other_greenlets()
            self._receive(connection)
        sink.finish()

    def _receive(self, connection: pools.Connection) -> None:
        data = self._receive_bytes(connection)
        if not data:
            self.upload.check_orderly_end()
        for piece in self.slicer.slices(data, self._timeout_s()):
            self.parser.accept(piece)

    def _receive_bytes(self, connection: pools.Connection) -> bytes:
        while True:
            timeout_s = self._timeout_s()
            connection.sock.settimeout(timeout_s)
            try:
                return connection.sock.recv(RECEIVE_BYTES)
            except TimeoutError as error:
                if self._is_expired():
                    raise ExchangeTimeoutError(
                        "the deadline has passed"
                    ) from error
                if not self.upload.has_progress_since(
                    self.pool.now_s() - timeout_s
                ):
                    raise ExchangeTimeoutError(
                        "nothing received within the idle timeout"
                    ) from error

    def _remaining_s(self) -> float:
        return self.deadline_s - self.pool.now_s()

    def _is_expired(self) -> bool:
        return not self.response_started and self._remaining_s() <= 0

    def _timeout_s(self) -> float:
        if self.response_started:
            return self.pool.idle_timeout_s
        return max(
            MIN_TIMEOUT_S, min(self.pool.idle_timeout_s, self._remaining_s())
        )

    def _may_reuse(self, attempt: Attempt) -> bool:
        if attempt.outcome is outcomes.AttemptOutcome.NOT_SENT:
            return True
        return (
            attempt.status > 0
            and (self.identified or self.hop.is_vm)
            and self.parser.keeps_connection
            and self.upload.finished
        )

    def _discard_idle_after_timeout(self, error: Exception) -> None:
        # Also a TimeoutError, but not caused by the peer.
        if isinstance(error, errors.LinkBusyError):
            return
        if isinstance(error, (ExchangeTimeoutError, TimeoutError)):
            self.pool.discard_idle(self.hop.address)

    def answered(self) -> Attempt:
        """Returns the result of an attempt whose response was started."""
        return self._answered(response_started=True)

    def _answered(self, response_started: bool) -> Attempt:
        return Attempt(
            outcomes.AttemptOutcome.ANSWERED,
            self.parser.get_code(),
            self.latency_s,
            response_started=response_started,
        )

    def _refused(
        self,
        statement: statements.Statement,
        problem: errors.Problem | None,
    ) -> Attempt:
        outcome = outcomes.AttemptOutcome.UNKNOWN
        if statement is statements.Statement.NOT_RUN:
            outcome = outcomes.AttemptOutcome.NOT_RUN
        return Attempt(
            outcome,
            self.parser.get_code(),
            self.latency_s,
            problem=problem,
        )

    def _not_sent(self, reason: str) -> Attempt:
        return Attempt(
            outcomes.AttemptOutcome.NOT_SENT,
            expired=self._is_expired(),
            reason=reason,
        )

    def _failed(self, reason: str) -> Attempt:
        outcome = outcomes.AttemptOutcome.UNKNOWN
        if not self.upload.sent_any:
            outcome = outcomes.AttemptOutcome.NOT_RUN
        return Attempt(
            outcome,
            latency_s=self.latency_s,
            response_started=self.response_started,
            expired=self._is_expired(),
            reason=reason,
        )
