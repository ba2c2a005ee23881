"""Reads the refusal that another VM gave."""

import msgspec

from mulberrydeck import errors

MAX_PROBLEM_BYTES = 64 * 1024
CONTENT_TYPE = "application/problem+json"


class _Members(msgspec.Struct):
    kind: str
    status: int
    detail: str
    ran: str
    retry_after_s: float | None = None


_DECODER = msgspec.json.Decoder(_Members)


def decode(body: bytes) -> errors.Problem | None:
    """Returns the problem of a refusal, or None if it is malformed.

    Args:
        body: Whole body of the answer.
    """
    try:
        members = _DECODER.decode(body)
    except msgspec.MsgspecError:
        return None
    return errors.Problem(
        members.kind,
        members.status,
        members.detail,
        members.ran,
        members.retry_after_s,
    )
