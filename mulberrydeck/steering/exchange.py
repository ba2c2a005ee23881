"""One attempt at a target: sends a request and reads the whole answer.

Small answers are read to their end before the caller gets any byte, so that
one that breaks off can still be asked for again.
"""

from collections.abc import Callable
import math

import attrs
from geventhttpclient import response

from mulberrydeck.forward import exchange as exchanges
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward import responses
from mulberrydeck.forward import sending
from mulberrydeck.forward import uploads
from mulberrydeck.platform import headers
from mulberrydeck.steering import events
from mulberrydeck.steering import foreign

# Answers up to this size are held back until they are whole.
MAX_HELD_BYTES = 256 * 1024
# A target closes idle connections on its own clock; leave it some room.
KEEP_ALIVE_PART = 0.7
# A target may forget an idle connection without notice; a single run that is
# reset there has an unknown outcome.
MAX_IDLE_SINGLE_RUN_S = 0.5

Outcome = events.Outcome


@attrs.frozen
class Hop:
    """Where and how to send a request.

    Attributes:
        address: `ip:port` of the target.
        head: Encoded request head.
        method: HTTP method.
        attempt_id: Identifier that the answer must carry; empty for any.
        ends_s: When the final answer is due, in seconds.
        repeatable: Whether the request may run more than once.
    """

    address: str
    head: bytes
    method: str
    attempt_id: str
    ends_s: float
    repeatable: bool = True


@attrs.frozen
class Answer:
    """A whole answer that was held back.

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
    """How an exchange ended.

    Attributes:
        outcome: How it ended.
        status: HTTP status of the answer, or 0.
        answer: The answer if it was held back, else None.
        begun: Whether the answer was begun towards the caller.
        reported_load: Requests that the target reported to have, or None.
        reason: Why it failed, for logs.
        sent_after_s: Time from its start to the first byte of the request, in
            seconds; None if none was sent.
    """

    outcome: Outcome
    status: int = 0
    answer: Answer | None = None
    begun: bool = False
    reported_load: int | None = None
    reason: str = ""
    sent_after_s: float | None = None


class BrokenAnswerError(Exception):
    """The answer is no whole answer to the request."""


class DeadlineError(Exception):
    """The final answer was due."""


class TargetExchange:
    """State of one attempt."""

    def __init__(
        self,
        pool: pools.ConnectionPool,
        hop: Hop,
        body: uploads.Body | None,
        now_s: Callable[[], float],
    ) -> None:
        """Prepares an attempt.

        Args:
            pool: Source of connections.
            hop: Where to send the request.
            body: Request body, or None.
            now_s: Clock of the process, in seconds.
        """
        self.pool = pool
        self.hop = hop
        self.body = body
        self.now_s = now_s
        self.started_s = now_s()
        self.sent_after_s: float | None = None
        self.begun = False
        self.upload = uploads.Upload(None, now_s)
        self.parser = responses.ResponseParser(hop.method)
        self.filter = foreign.ForeignAnswerFilter(
            headers.ATTEMPT_ID, hop.attempt_id
        )

    def run(self, sink: exchanges.Sink) -> Attempt:
        """Carries out the attempt.

        Args:
            sink: Where an answer goes that is too large to be held back.

        Raises:
            Exception: The caller's side failed; the attempt was cancelled.
        """
        try:
            connection = self.pool.acquire(
                self.hop.address,
                self._left_s(),
                max_idle_s=math.inf
                if self.hop.repeatable
                else MAX_IDLE_SINGLE_RUN_S,
            )
        except pools.ConnectError as error:
            return Attempt(Outcome.NOT_SENT, reason=str(error))
        reusable = False
        try:
            attempt = self._exchange(connection, sink)
            reusable = self._may_reuse(attempt)
            return attempt
        finally:
            self.upload.stop()
            if reusable:
                self._keep(connection)
            else:
                connection.sock.close()

    def _exchange(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> Attempt:
        connection.sock.settimeout(self._left_s())
        try:
            self.sent_after_s = self.now_s() - self.started_s
            self.upload.start(connection.sock, self.hop.head, self.body)
            self._read_head(connection)
            rejected = self._rejection()
            if rejected is not None:
                return self._attempt(rejected)
            answer = self._read_body(connection, sink)
        except DeadlineError as error:
            return self._failed(Outcome.EXPIRED, error)
        except (
            OSError,
            response.HTTPParseError,
            BrokenAnswerError,
            foreign.ForeignAnswerError,
        ) as error:
            self.upload.raise_caller_error()
            return self._failed(Outcome.BROKEN, error)
        return self._attempt(Outcome.ANSWERED, answer)

    def _read_head(self, connection: pools.Connection) -> None:
        received = 0
        while not self.parser.head_complete:
            received += self._receive(connection)
            # Answers to other requests, which are skipped, count as well.
            if received > responses.MAX_HEAD_BYTES:
                raise BrokenAnswerError("the answer head is too large")
            if self.parser.get_code() == responses.SWITCHING_PROTOCOLS:
                raise BrokenAnswerError("unexpected upgrade")
        status = self.parser.get_code()
        if 200 <= status < 300:
            self._check_success()

    def _check_success(self) -> None:
        if not self.parser.first(headers.SIGNATURE):
            raise BrokenAnswerError("a success without a signature")
        found = self.parser.first(headers.ATTEMPT_ID)
        if self.hop.attempt_id and found != self.hop.attempt_id:
            raise BrokenAnswerError("an answer to another request")

    def _rejection(self) -> Outcome | None:
        if self.parser.get_code() == headers.WRONG_TARGET_STATUS:
            return Outcome.WRONG_TARGET
        if self.parser.first(headers.NOT_RUN):
            return Outcome.REJECTED
        return None

    def _read_body(
        self, connection: pools.Connection, sink: exchanges.Sink
    ) -> Answer | None:
        """Returns the answer, or None if it went to the sink."""
        parser = self.parser
        held: list[bytes] = []
        size = 0
        while not parser.complete and size <= MAX_HELD_BYTES:
            self._receive(connection)
            piece = parser.take()
            held.append(piece)
            size += len(piece)
        held.append(parser.take())
        if parser.complete:
            return Answer(
                parser.get_code(),
                parser.fields,
                parser.declared_length,
                b"".join(held),
            )
        self.begun = True
        sink.begin(parser.get_code(), parser.fields, parser.declared_length)
        sink.write(b"".join(held))
        while not parser.complete:
            sink.flush()
            sending.yield_to_other_greenlets()
            self._receive(connection)
            sink.write(parser.take())
        sink.finish()
        return None

    def _receive(self, connection: pools.Connection) -> int:
        """Feeds the parser; returns how many bytes came."""
        left_s = self.hop.ends_s - self.now_s()
        if left_s <= 0:
            raise DeadlineError("the answer was due")
        connection.sock.settimeout(max(exchanges.MIN_TIMEOUT_S, left_s))
        try:
            data = connection.sock.recv(exchanges.RECEIVE_BYTES)
        except TimeoutError as error:
            if self.now_s() < self.hop.ends_s:
                raise  # The kernel gave the connection up.
            raise DeadlineError("the answer was due") from error
        own = self.filter.accept(data)
        if own or not data:
            self.parser.accept(own)
        return len(data)

    def _left_s(self) -> float:
        return max(exchanges.MIN_TIMEOUT_S, self.hop.ends_s - self.now_s())

    def _may_reuse(self, attempt: Attempt) -> bool:
        return (
            attempt.status > 0
            and self.parser.keeps_connection
            and self.upload.finished
        )

    def _keep(self, connection: pools.Connection) -> None:
        timeout_s = keep_alive_s(self.parser.first("keep-alive"))
        if timeout_s is not None:
            connection.idle_limit_s = timeout_s * KEEP_ALIVE_PART
        self.pool.release(connection)

    def _attempt(
        self, outcome: Outcome, answer: Answer | None = None
    ) -> Attempt:
        load = headers.load(self.parser.first(headers.LOAD))
        return Attempt(
            outcome,
            self.parser.get_code(),
            answer,
            begun=self.begun,
            reported_load=load.running + load.waiting if load else None,
            sent_after_s=self.sent_after_s,
        )

    def _failed(self, outcome: Outcome, error: Exception) -> Attempt:
        if not self.upload.sent_any:
            outcome = Outcome.NOT_SENT
        if isinstance(error, TimeoutError):
            self.pool.discard_idle(self.hop.address)
        reason = str(error) or type(error).__name__
        return Attempt(
            outcome,
            begun=self.begun,
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
