"""Decoding of the problem details with which another VM refuses a request."""

import msgspec

from mulberrydeck import errors

# Largest body of a refusal of a target or VM.
MAX_BODY_BYTES = 64 * 1024
CONTENT_TYPE = "application/problem+json"


class _ProblemDetails(msgspec.Struct):
    kind: str
    status: int
    detail: str
    ran: str
    retry_after_s: float | None = None


_DECODER = msgspec.json.Decoder(_ProblemDetails)


def decode(body: bytes, status: int, ran: str) -> errors.Problem | None:
    """Returns the decoded problem details.

    Args:
        body: Complete body of the response.
        status: HTTP status of the response.
        ran: Value of `Mulberrydeck-Ran`.

    Returns:
        The problem, or None if the problem details are malformed or contradict
        the head of the response.
    """
    try:
        details = _DECODER.decode(body)
    except msgspec.MsgspecError:
        return None
    if details.status != status or details.ran != ran:
        return None
    return errors.Problem(
        details.kind, status, details.detail, ran, details.retry_after_s
    )
