"""Refusals of requests, each with the remedy."""

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import state as states

DETAILS = {
    "starting": "This VM has not read its configuration yet; come back soon.",
    "no-route": "No route has this host and path; see the configuration.",
    "unknown-key": "The key is unknown or withdrawn; ask for a new one.",
    "body-too-large": "The body exceeds the configured limit; send less.",
    "rate-limited": "The client account is over its rate; come back later.",
    "no-capacity": "No target has room now; come back later.",
    "deadline-exceeded": "The deadline has passed; allow more time.",
    "outcome-unknown": "The target broke off; it may have run the request.",
}


def failure(
    request: states.Request,
    status: int,
    kind: str,
    retry_after_s: float | None,
    inputs: dict[str, object] | None = None,
) -> effects.Refuse:
    """Returns a refusal; one that may have run is never called not run.

    Args:
        request: The request.
        status: HTTP status.
        kind: Kind of refusal, as in `DETAILS`.
        retry_after_s: When to come back, in seconds; None when never.
        inputs: What decided it, with ages or versions, for logs.
    """
    if request.may_have_run and status in (429, 503):
        status, kind, retry_after_s = 502, "outcome-unknown", None
    said = {"service": request.service, "sent": request.sent, **(inputs or {})}
    return effects.Refuse(
        request.request_id, status, kind, DETAILS[kind], retry_after_s, said
    )


def early(
    event: events.RequestArrived,
    status: int,
    kind: str,
    retry_after_s: float | None = None,
) -> effects.Refuse:
    """Returns the refusal of a request that was not taken up.

    Args:
        event: Its arrival.
        status: HTTP status.
        kind: Kind of refusal, as in `DETAILS`.
        retry_after_s: When to come back, in seconds; None when never.
    """
    return effects.Refuse(
        event.request_id, status, kind, DETAILS[kind], retry_after_s
    )
