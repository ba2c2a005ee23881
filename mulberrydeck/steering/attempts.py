"""What an attempt at a target sends, and its result."""

import math

import attrs

from mulberrydeck.steering import events

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
        fresh: Whether to open a new connection, since a kept one may carry the
            response to an earlier attempt, which has the same identifier.
    """

    address: str
    head: bytes
    method: str
    attempt_id: str
    deadline_s: float
    repeatable: bool = True
    send_by_s: float = math.inf
    fresh: bool = False


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
        kept_connection: Whether the connection carried an earlier request.
        identified: Whether the response carries the request's identifier.
        not_executed: Values of the fields by which the target states that it
            did not run the request, for logs.
        reported_speed: Current duration of work at the target, as a multiple of
            the usual one; None if it did not report it.
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
    kept_connection: bool = False
    identified: bool = False
    not_executed: tuple[str, ...] = ()
    reported_speed: float | None = None
