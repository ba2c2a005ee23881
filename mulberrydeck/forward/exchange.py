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
from mulberrydeck.forward import uploads

RECEIVE_BYTES = 64 * 1024
# A timeout of 0 would make the socket non-blocking.
MIN_TIMEOUT_S = 0.001
RAN_FIELD = "mulberrydeck-ran"


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
        fresh: Whether to open a new connection, since the outcome is unknown
            if the peer has just closed a reused one.
        start_by_s: Latest time at which the first byte may be sent, on the
            clock of the pool, in seconds.
    """

    address: str
    head: bytes
    method: str
    remaining_s: float
    pace: Callable[[int], int] | None = None
    is_vm: bool = False
    fresh: bool = False
    start_by_s: float = float("inf")


@attrs.frozen
class Attempt:
    """How an exchange ended.

    Attributes:
        outcome: Outcome that is reported to the core.
        status: HTTP status of the response, or 0 if there was none.
        latency_s: Time from start to response head, in seconds.
        response_started: Whether the response to the caller was started.
        expired: Whether the deadline passed before the response started.
        reason: Why it failed, for logs.
        problem: Problem details with which another VM refused the request, or
            None.
        may_be_copy: Whether a refusal may be the copy of one to an earlier
            request, which a faulty target writes once more on a kept
            connection.
    """

    outcome: outcomes.AttemptOutcome
    status: int = 0
    latency_s: float = 0.0
    response_started: bool = False
    expired: bool = False
    reason: str = ""
    problem: errors.Problem | None = None
    may_be_copy: bool = False


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
                self.hop.address, self._remaining_s(), self.hop.fresh
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
            if self._is_refusal():
                problem = self._read_problem(connection)
                may_be_copy = connection.reused and not self.hop.is_vm
                return self._refused(problem, may_be_copy)
            self._stream_response(connection, sink)
        except (
            OSError,
            response.HTTPParseError,
            ExchangeTimeoutError,
        ) as error:
            self.upload.raise_caller_error()
            self._discard_idle_after_timeout(error)
            return self._failed(str(error))
        return self.answered()

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

    def _is_refusal(self) -> bool:
        ran = self.parser.first(RAN_FIELD)
        return ran == "no" or (self.hop.is_vm and ran == "unknown")

    def _read_problem(
        self, connection: pools.Connection
    ) -> errors.Problem | None:
        if not self.hop.is_vm:
            return None
        body = self.parser.take()
        while not self.parser.complete:
            if len(body) > refusals.MAX_PROBLEM_BYTES:
                return None
            self._receive(connection)
            body += self.parser.take()
        return refusals.decode(body)

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
        return (
            attempt.status > 0
            and self.parser.keeps_connection
            and self.upload.finished
        )

    def _discard_idle_after_timeout(self, error: Exception) -> None:
        # Also a TimeoutError, but not caused by the peer: nothing was sent yet.
        if isinstance(error, errors.AdmissionExpiredError):
            return
        if isinstance(error, (ExchangeTimeoutError, TimeoutError)):
            self.pool.discard_idle(self.hop.address)

    def answered(self) -> Attempt:
        """Returns the result of an attempt whose response was started."""
        return Attempt(
            outcomes.AttemptOutcome.ANSWERED,
            self.parser.get_code(),
            self.latency_s,
            response_started=True,
        )

    def _refused(
        self, problem: errors.Problem | None, may_be_copy: bool
    ) -> Attempt:
        outcome = outcomes.AttemptOutcome.UNKNOWN
        if self.parser.first(RAN_FIELD) == "no":
            outcome = outcomes.AttemptOutcome.NOT_RUN
        return Attempt(
            outcome,
            self.parser.get_code(),
            self.latency_s,
            problem=problem,
            may_be_copy=may_be_copy,
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
