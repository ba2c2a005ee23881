"""How attempts of requests end."""

import enum


class AttemptOutcome(enum.Enum):
    """How one attempt of a request ended.

    `NOT_RUN`: no byte can have reached a target, or the target said so.
    `UNKNOWN`: a target may have run it, wholly or in part.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
