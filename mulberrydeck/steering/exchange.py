"""One attempt at a target: sends a request and reads the response.

Small responses are buffered until they are complete before the caller gets any
byte, so that the request can be retried if the response is cut short.
"""

from collections.abc import Callable
import math

import attrs
import gevent
from geventhttpclient import response

from mulberrydeck import errors
from mulberrydeck.forward import budgets
from mulberrydeck.forward import exchange as exchanges
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward import receiving
from mulberrydeck.forward import responses
from mulberrydeck.forward import sending
from mulberrydeck.forward import uploads
from mulberrydeck.platform import headers
from mulberrydeck.steering import events
from mulberrydeck.steering import response_filter

# Responses up to this size are buffered until they are complete.
MAX_BUFFERED_BYTES = 256 * 1024
# All buffered responses of a VM; beyond this size, responses are passed on at
# once. Together with request bodies a third of the memory of a small VM.
MAX_TOTAL_BUFFERED_BYTES = 32 * 1024 * 1024
# Fraction of the announced keep-alive timeout for which an idle connection is
# kept; the rest is a margin, since the target applies its own clock.
KEEP_ALIVE_FRACTION = 0.7
# A target may drop an idle connection without notice; if the connection is then
# reset, the outcome of an at-most-once request is unknown.
MAX_IDLE_AT_MOST_ONCE_S = 0.5

Outcome = events.Outcome


@attrs.frozen
class Hop:
    """Destination and encoded head of a request.

    Attributes:
        address: `ip:port` of the target.
        head: Encoded request head.
        method: HTTP method.
        attempt_id: Identifier that the response must carry; empty for any.
        deadline_s: Deadline of the final response, in seconds.
        repeatable: Whether the request may run more than once.
        send_by_s: Latest time of the first byte, in seconds.
    """

    address: str
    head: bytes
    method: str
    attempt_id: str
    deadline_s: float
    repeatable: bool = True
    send_by_s: float = math.inf


@attrs.frozen
class Response:
    """A complete buffered response.

    Attributes:
        status: HTTP status.
        fields: Header fields in order: lower-case name and value.
        length: Declared length of the body, in bytes; None if unknown.
        body: The body.
    """

    status: int
    fields: list[tuple[str, str]]
    length: int | None
    body: bytes


@attrs.frozen
class Attempt:
    """Result of an attempt.

    Attributes:
        outcome: Outcome of the attempt.
        status: HTTP status of the response; 0 without a response.
        response: The response if it was buffered, else None.
        response_started: Whether a part of the response was passed to the
            caller.
        reported_load: Number of running and queued requests that the target
            reported; None if it did not report them.
        leaving: Whether the target said that it is about to stop.
        pause_s: For how long the target wants no further requests, in seconds.
        reason: Reason of a failure, for logs.
        sent_after_s: Time from the start of the attempt to the first byte of
            the request, in seconds; None if nothing was sent.
    """

    outcome: Outcome
    status: int = 0
    response: Response | None = None
    response_started: bool = False
    reported_load: int | None = None
    leaving: bool = False
    pause_s: float = 0.0
    reason: str = ""
    sent_after_s: float | None = None


class InvalidResponseError(Exception):
    """The target sent no valid response to the request."""


class DeadlineExceededError(Exception):
    """The response was not complete by the deadline."""


class TargetExchange:
    """State of one attempt."""

    def __init__(
        self,
        pool: pools.ConnectionPool,
        hop: Hop,
        body: uploads.Body | None,
        now_s: Callable[[], float],
        buffered: budgets.Reservation | None = None,
    ) -> None:
        """Prepares an attempt.

        Args:
            pool: Connections to targets.
            hop: Destination and head of the request.
            body: Request body, or None.
            now_s: Clock of the process, in seconds.
            buffered: Memory of the buffered response; None for a budget of its
                own.
        """
        self.pool = pool
        self.hop = hop
        self.body = body
        self.now_s = now_s
        self.started_s = now_s()
        self.sent_after_s: float | None = None
        self.response_started = False
        self.identified = False
        self.upload = uploads.Upload(None, now_s, hop.send_by_s)
        if buffered is None:
            buffered = budgets.ByteBudget(MAX_TOTAL_BUFFERED_BYTES).reserve()
        self.buffered = buffered
        self.parser = responses.ResponseParser(hop.method)
        self.slicer = receiving.Slicer()
        self.filter = response_filter.MismatchedResponseFilter(
            headers.ATTEMPT_ID, hop.attempt_id
        )

    def run(self, sink: exchanges.Sink) -> Attempt:
        """Runs the attempt.

        Args:
            sink: Receives a response that is too large to be buffered.

        Raises:
            Exception: The caller's connection failed, or the attempt was
                cancelled.
        """
        try:
            connection = self.pool.acquire(
                self.hop.address,
                self._remaining_s(),
                # Only an identifier tells a late response to an earlier request
                # of the connection from the response to this one.
                fresh=not self.hop.attempt_id,
                max_idle_s=math.inf
                if self.hop.repeatable
                else MAX_IDLE_AT_MOST_ONCE_S,
            )
        except pools.ConnectError as error:
            return Attempt(Outcome.NOT_SENT, reason=str(error))
        reusable = False
        try:
            attempt = self._exchange(connection, sink)
            reusable = self._may_reuse(connection, attempt)
            return attempt
        finally:
            self.upload.stop()
            if reusable:
                self._release(connection)
            else:
                connection.sock.close()

    def _exchange(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> Attempt:
        connection.sock.settimeout(self._remaining_s())
        try:
            self.sent_after_s = self.now_s() - self.started_s
            self.upload.start(connection.sock, self.hop.head, self.body)
            self._read_head(connection)
            rejected = self._rejection()
            if rejected is not None:
                return self._completed(rejected)
            buffered = self._read_body(connection, sink)
        except errors.AdmissionExpiredError as error:
            return Attempt(Outcome.DELAYED, reason=str(error))
        except (DeadlineExceededError, receiving.ParsingTimeoutError) as error:
            return self._failed(Outcome.EXPIRED, error)
        except (
            OSError,
            response.HTTPParseError,
            InvalidResponseError,
            response_filter.MismatchedResponseError,
        ) as error:
            self.upload.raise_caller_error()
            return self._failed(Outcome.BROKEN, error)
        return self._completed(Outcome.ANSWERED, buffered)

    def _read_head(self, connection: pools.Connection) -> None:
        received = 0
        while not self.parser.head_complete:
            received += self._receive(connection)
            # Skipped responses to other requests count as well.
            if received > responses.MAX_HEAD_BYTES:
                raise InvalidResponseError("response head too large")
            if self.parser.get_code() == responses.SWITCHING_PROTOCOLS:
                raise InvalidResponseError("unexpected protocol upgrade")
        self._check_identifier(connection)
        status = self.parser.get_code()
        if 200 <= status < 300:
            self._check_success()
        self.identified = status != headers.WRONG_TARGET_STATUS

    def _check_identifier(self, connection: pools.Connection) -> None:
        """Checks that a kept connection carries the response to this request.

        A response without an identifier may be the copy of an earlier one.
        """
        if connection.reused and not self.parser.first(headers.ATTEMPT_ID):
            raise InvalidResponseError(
                "response without identifier on a kept connection"
            )

    def _check_success(self) -> None:
        if not self.parser.first(headers.SIGNATURE):
            raise InvalidResponseError("successful response without signature")
        attempt_id = self.parser.first(headers.ATTEMPT_ID)
        if self.hop.attempt_id and attempt_id != self.hop.attempt_id:
            raise InvalidResponseError("response to another request")

    def _rejection(self) -> Outcome | None:
        if self.parser.get_code() == headers.WRONG_TARGET_STATUS:
            return Outcome.WRONG_TARGET
        if self.parser.first(headers.NOT_EXECUTED):
            return Outcome.REJECTED
        return None

    def _read_body(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> Response | None:
        """Returns the response, or None if it was passed to the sink."""
        parser = self.parser
        self._fill_buffer(connection)
        if parser.complete:
            return Response(
                parser.get_code(),
                parser.fields,
                parser.declared_length,
                parser.take(),
            )
        self.response_started = True
        sink.begin(parser.get_code(), parser.fields, parser.declared_length)
        # Also ends the wait for a caller that does not read.
        timeout = DeadlineExceededError("response not read by the deadline")
        with gevent.Timeout(self._remaining_s(), timeout):
            self._stream(connection, sink)
        sink.finish()
        return None

    def _fill_buffer(self, connection: pools.Connection) -> None:
        """Reads the body to its end or until no more of it may be buffered."""
        parser = self.parser
        may_buffer = self.buffered.grow(parser.body_bytes)
        while (
            not parser.complete
            and may_buffer
            and parser.body_bytes <= MAX_BUFFERED_BYTES
        ):
            previous_bytes = parser.body_bytes
            self._receive(connection)
            may_buffer = self.buffered.grow(parser.body_bytes - previous_bytes)

    def _stream(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> None:
        """Passes on the rest of the body except its last piece."""
        parser = self.parser
        sink.write(parser.take())
        while not parser.complete:
            sink.flush()
            self.buffered.release()
            sending.yield_to_other_greenlets()
            self._receive(connection)
            sink.write(parser.take())

    def _receive(self, connection: pools.Connection) -> int:
        """Feeds received bytes to the parser; returns their number."""
        remaining_s = self.hop.deadline_s - self.now_s()
        if remaining_s <= 0:
            raise DeadlineExceededError("response not complete by the deadline")
        connection.sock.settimeout(max(exchanges.MIN_TIMEOUT_S, remaining_s))
        try:
            data = connection.sock.recv(exchanges.RECEIVE_BYTES)
        except TimeoutError as error:
            if self.now_s() < self.hop.deadline_s:
                raise  # The kernel timed the connection out (ETIMEDOUT).
            raise DeadlineExceededError(
                "response not complete by the deadline"
            ) from error
        for piece in self.slicer.slices(data, self._remaining_s()):
            matching = self.filter.accept(piece)
            if matching or not piece:
                self.parser.accept(matching)
        return len(data)

    def _remaining_s(self) -> float:
        return max(exchanges.MIN_TIMEOUT_S, self.hop.deadline_s - self.now_s())

    def _may_reuse(
        self, connection: pools.Connection, attempt: Attempt
    ) -> bool:
        if attempt.outcome is Outcome.DELAYED:
            # The idle time of a kept connection goes on.
            return not connection.reused
        return (
            attempt.status > 0
            and self.parser.keeps_connection
            and self.upload.finished
        )

    def _release(self, connection: pools.Connection) -> None:
        timeout_s = keep_alive_s(self.parser.first("keep-alive"))
        if timeout_s is not None:
            connection.idle_limit_s = timeout_s * KEEP_ALIVE_FRACTION
        self.pool.release(connection)

    def _completed(
        self, outcome: Outcome, buffered: Response | None = None
    ) -> Attempt:
        load = headers.parse_load(self.parser.first(headers.LOAD))
        return Attempt(
            outcome,
            self.parser.get_code(),
            buffered,
            response_started=self.response_started,
            reported_load=load.running + load.waiting if load else None,
            leaving=self._says_leaving(),
            pause_s=self._pause_s(),
            sent_after_s=self.sent_after_s,
        )

    def _says_leaving(self) -> bool:
        text = self.parser.first(headers.LEAVING)
        return self.identified and headers.parse_leaving(text)

    def _pause_s(self) -> float:
        if self.parser.get_code() != headers.UNAVAILABLE_STATUS:
            return 0.0
        return headers.parse_pause_s(self.parser.first(headers.RETRY_AFTER))

    def _failed(self, outcome: Outcome, error: Exception) -> Attempt:
        if not self.upload.sent_any:
            outcome = Outcome.NOT_SENT
        if isinstance(error, TimeoutError):
            self.pool.discard_idle(self.hop.address)
        reason = str(error) or type(error).__name__
        return Attempt(
            outcome,
            response_started=self.response_started,
            leaving=self._says_leaving(),
            reason=reason,
            sent_after_s=self.sent_after_s,
        )


def keep_alive_s(text: str) -> float | None:
    """Returns the timeout of a `Keep-Alive` field, in seconds, or None."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
