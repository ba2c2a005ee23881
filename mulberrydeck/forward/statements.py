"""What a response states about whether a target ran the request."""

import enum

from geventhttpclient import response

from mulberrydeck.forward import responses

FIELD = "mulberrydeck-ran"
# Statuses after which clients repeat any request, since they take it for not
# run (RFC 9110, RFC 6585 and RFC 8470).
REPEAT_STATUSES = frozenset((408, 421, 425, 429, 503))


class Statement(enum.Enum):
    """Statement of a response in the field `Mulberrydeck-Ran`.

    `NONE`: the request may have run, and the response can be passed on.
    `NOT_RUN`: nothing ran, provided that the response is complete.
    `UNKNOWN`: another VM does not know whether the request ran.
    """

    NONE = "none"
    NOT_RUN = "no"
    UNKNOWN = "unknown"


class ContradictionError(response.HTTPParseError):
    """The response contradicts its statement that nothing ran."""


def of_response(parser: responses.ResponseParser, is_vm: bool) -> Statement:
    """Returns the statement of a response.

    Args:
        parser: Parser that has read the head.
        is_vm: Whether the response comes from another VM.

    Raises:
        ContradictionError: Another field or the status contradicts the
            statement that nothing ran.
    """
    values = parser.members(FIELD)
    if "no" not in values:
        return Statement.UNKNOWN if values and is_vm else Statement.NONE
    status = parser.get_code()
    if set(values) != {"no"} or not _is_refusal(status):
        raise ContradictionError(
            f"{status} response with contradictory {FIELD}: {values}"
        )
    return Statement.NOT_RUN


def _is_refusal(status: int) -> bool:
    """Returns whether a status can mean that nothing ran.

    Servers also send 500 when a handler fails that has already begun.
    """
    return status >= 400 and status != 500
