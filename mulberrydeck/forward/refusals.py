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


def decode(body: bytes) -> errors.Problem | None:
    """Returns the decoded problem details, or None if malformed.

    Args:
        body: Complete body of the response.
    """
    try:
        details = _DECODER.decode(body)
    except msgspec.MsgspecError:
        return None
    return errors.Problem(
        details.kind,
        details.status,
        details.detail,
        details.ran,
        details.retry_after_s,
    )
