"""One attempt at a target: sends a request and reads the response.

Small responses are buffered until they are complete before the caller gets any
byte, so that the request can be retried if the response is cut short.
"""

from collections.abc import Callable
import math

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
from mulberrydeck.steering import attempts
from mulberrydeck.steering import events
from mulberrydeck.steering import response_filter

# Responses up to this size are buffered until they are complete.
MAX_BUFFERED_BYTES = 256 * 1024
# All buffered responses of a VM; beyond this size, responses are passed on at
# once. Together with request bodies a third of the memory of a small VM.
MAX_TOTAL_BUFFERED_BYTES = 32 * 1024 * 1024
# Largest body of a rejection, and time for the rest of it after its head.
MAX_REJECTION_BYTES = 64 * 1024
REJECTION_TIMEOUT_S = 0.25
# Fraction of the announced keep-alive timeout for which an idle connection is
# kept; the rest is a margin, since the target applies its own clock.
KEEP_ALIVE_FRACTION = 0.7
# A target may drop an idle connection without notice; if the connection is then
# reset, the outcome of an at-most-once request is unknown.
MAX_IDLE_AT_MOST_ONCE_S = 0.5

Outcome = events.Outcome
Execution = headers.Execution

# Outcomes of responses that no caller gets.
UNDELIVERED_OUTCOMES = {
    Execution.NOT_RUN: Outcome.REJECTED,
    Execution.WRONG_TARGET: Outcome.WRONG_TARGET,
    Execution.UNCLEAR: Outcome.UNCLEAR,
}


class InvalidResponseError(Exception):
    """The target sent no valid response to the request."""


class DeadlineExceededError(Exception):
    """The response was not complete by the deadline."""


class TargetExchange:
    """State of one attempt."""

    def __init__(
        self,
        pool: pools.ConnectionPool,
        hop: attempts.Hop,
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
        self.from_target = False
        self.identifiers: frozenset[str] = frozenset()
        self.not_executed: tuple[str, ...] = ()
        self.kept_connection = False
        self.upload = uploads.Upload(None, now_s, hop.send_by_s)
        if buffered is None:
            buffered = budgets.ByteBudget(MAX_TOTAL_BUFFERED_BYTES).reserve()
        self.buffered = buffered
        self.parser = responses.ResponseParser(hop.method)
        self.slicer = receiving.Slicer()
        self.filter = response_filter.MismatchedResponseFilter(
            headers.ATTEMPT_ID, hop.attempt_id
        )

    def run(self, sink: exchanges.Sink) -> attempts.Attempt:
        """Runs the attempt.

        Args:
            sink: Receives a response that is too large to be buffered.

        Raises:
            Exception: The caller's connection failed, or the attempt was
                cancelled.
        """
        try:
            connection = self._acquire()
        except pools.ConnectError as error:
            return attempts.Attempt(Outcome.NOT_SENT, reason=str(error))
        self.kept_connection = connection.reused
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

    def _acquire(self) -> pools.Connection:
        """Returns a connection on which only this response is identified.

        Raises:
            pools.ConnectError: The target is unreachable.
        """
        return self.pool.acquire(
            self.hop.address,
            self._remaining_s(),
            # Only an identifier tells a late response to an earlier request of
            # the connection from the response to this one.
            fresh=self.hop.fresh or not self.hop.attempt_id,
            max_idle_s=math.inf
            if self.hop.repeatable
            else MAX_IDLE_AT_MOST_ONCE_S,
            # Callers may use an identifier again, for another try.
            identifier=self.hop.attempt_id,
        )

    def _exchange(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> attempts.Attempt:
        connection.sock.settimeout(self._remaining_s())
        try:
            self.sent_after_s = self.now_s() - self.started_s
            self.upload.start(connection.sock, self.hop.head, self.body)
            self._read_head(connection)
            outcome = UNDELIVERED_OUTCOMES.get(self._execution())
            if outcome is not None:
                if outcome is not Outcome.UNCLEAR:
                    self._read_rejection(connection)
                return self._completed(outcome)
            buffered = self._read_body(connection, sink)
        except errors.AdmissionExpiredError as error:
            return attempts.Attempt(Outcome.DELAYED, reason=str(error))
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
        self.from_target = status != headers.WRONG_TARGET_STATUS

    def _check_identifier(self, connection: pools.Connection) -> None:
        """Checks that the final response is the one to this request.

        On a kept connection, a response without an identifier may be the copy
        of an earlier one.
        """
        expected_id = self.hop.attempt_id
        self.identifiers = frozenset(self.parser.values(headers.ATTEMPT_ID))
        if expected_id and self.identifiers - {expected_id}:
            raise InvalidResponseError("response to another request")
        if connection.reused and not self.identifiers:
            raise InvalidResponseError(
                "response without identifier on a kept connection"
            )

    def _check_success(self) -> None:
        if not self.parser.first(headers.SIGNATURE):
            raise InvalidResponseError("successful response without signature")
        if self.hop.attempt_id and not self.identifiers:
            raise InvalidResponseError("successful response without identifier")

    def _execution(self) -> headers.Execution:
        self.not_executed = self.parser.members(headers.NOT_EXECUTED)
        return headers.parse_execution(
            self.parser.get_code(), self.not_executed
        )

    def _read_rejection(self, connection: pools.Connection) -> None:
        """Reads a rejection to its end.

        One that breaks off states nothing, nor does one with bytes behind it:
        they may be a second response, which shows that the request ran.
        """
        end_s = min(self.hop.deadline_s, self.now_s() + REJECTION_TIMEOUT_S)
        size = len(self.parser.take())
        while not self.parser.complete:
            if size > MAX_REJECTION_BYTES:
                raise InvalidResponseError("rejection too large")
            try:
                self._receive(connection, end_s)
            except DeadlineExceededError as error:
                if self.now_s() >= self.hop.deadline_s:
                    raise
                raise InvalidResponseError(
                    "rejection not complete in time"
                ) from error
            size += len(self.parser.take())
        if self.parser.surplus or connection.has_unread():
            raise InvalidResponseError("bytes behind a rejection")

    def _read_body(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> attempts.Response | None:
        """Returns the response, or None if it was passed to the sink."""
        parser = self.parser
        self._fill_buffer(connection)
        fields = headers.response_fields(parser.fields)
        if parser.complete:
            return attempts.Response(
                parser.get_code(),
                fields,
                parser.declared_length,
                parser.take(),
            )
        self.response_started = True
        sink.begin(parser.get_code(), fields, parser.declared_length)
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

    def _receive(
        self, connection: pools.Connection, end_s: float | None = None
    ) -> int:
        """Feeds received bytes to the parser; returns their number.

        Args:
            connection: Connection to the target.
            end_s: Latest time to receive, in seconds; None for the deadline.
        """
        if end_s is None:
            end_s = self.hop.deadline_s
        remaining_s = end_s - self.now_s()
        if remaining_s <= 0:
            raise DeadlineExceededError("response not complete by the deadline")
        connection.sock.settimeout(max(exchanges.MIN_TIMEOUT_S, remaining_s))
        try:
            data = connection.sock.recv(exchanges.RECEIVE_BYTES)
        except TimeoutError as error:
            if self.now_s() < end_s:
                raise  # The kernel timed the connection out (ETIMEDOUT).
            raise DeadlineExceededError(
                "response not complete by the deadline"
            ) from error
        if not data:
            self.upload.check_orderly_end()
        for piece in self.slicer.slices(data, self._remaining_s()):
            matching = self.filter.accept(piece)
            if matching or not piece:
                self.parser.accept(matching)
        return len(data)

    def _remaining_s(self) -> float:
        return max(exchanges.MIN_TIMEOUT_S, self.hop.deadline_s - self.now_s())

    def _may_reuse(
        self, connection: pools.Connection, attempt: attempts.Attempt
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
        if self.upload.sent_any:
            connection.record_exchange(self.hop.attempt_id)
        self.pool.release(connection)

    def _completed(
        self, outcome: Outcome, buffered: attempts.Response | None = None
    ) -> attempts.Attempt:
        load = headers.parse_load(self.parser.first(headers.LOAD))
        return attempts.Attempt(
            outcome,
            self.parser.get_code(),
            buffered,
            response_started=self.response_started,
            reported_load=load.running + load.waiting if load else None,
            leaving=self._says_leaving(),
            pause_s=self._pause_s(),
            sent_after_s=self.sent_after_s,
            kept_connection=self.kept_connection,
            identified=bool(self.identifiers),
            not_executed=self.not_executed,
            reported_speed=load.speed if load else None,
        )

    def _says_leaving(self) -> bool:
        text = self.parser.first(headers.LEAVING)
        return self.from_target and headers.parse_leaving(text)

    def _pause_s(self) -> float:
        status = self.parser.get_code()
        if not self.from_target or status != headers.UNAVAILABLE_STATUS:
            return 0.0
        return headers.parse_pause_s(self.parser.first(headers.RETRY_AFTER))

    def _failed(self, outcome: Outcome, error: Exception) -> attempts.Attempt:
        if not self.upload.sent_any:
            outcome = Outcome.NOT_SENT
        if isinstance(error, TimeoutError):
            self.pool.discard_idle(self.hop.address)
        reason = str(error) or type(error).__name__
        return attempts.Attempt(
            outcome,
            response_started=self.response_started,
            leaving=self._says_leaving(),
            pause_s=self._pause_s(),
            reason=reason,
            sent_after_s=self.sent_after_s,
            kept_connection=self.kept_connection,
        )


def keep_alive_s(text: str) -> float | None:
    """Returns the timeout of a `Keep-Alive` field, in seconds, or None."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return None
