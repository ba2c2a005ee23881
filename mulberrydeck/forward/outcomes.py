"""Outcomes of attempts."""

import enum


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt of a request.

    `ANSWERED`: a response was passed on to the caller.
    `NOT_SENT`: this VM was too late to send the request within its admission,
    which says nothing about the next hop.
    `NOT_RUN`: no byte can have reached a target, or the response says that the
    request was not run.
    `UNKNOWN`: a target may have run the request, completely or in part.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
