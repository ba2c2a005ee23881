"""Refusals of requests; each detail text tells the caller what to do."""

from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import state as states

DETAILS = {
    "starting": "This VM has not read its configuration yet; come back soon.",
    "stopping": "This VM stops before the deadline; use another VM now.",
    "no-route": "No route has this host and path; see the configuration.",
    "unknown-key": "The key is unknown or withdrawn; ask for a new one.",
    "body-too-large": "The body exceeds the configured limit; send less.",
    "rate-limited": "The client account is over its rate; come back later.",
    "no-capacity": "No target has room now; come back later.",
    "deadline-exceeded": "The deadline has passed; allow more time.",
    "outcome-unknown": "A target may have run the request; check its effect.",
}


def refusal(
    request: states.Request,
    status: int,
    kind: str,
    retry_after_s: float | None,
    inputs: dict[str, object] | None = None,
) -> effects.Refuse:
    """Returns the refusal of a request in progress.

    Statuses 429 and 503 tell the caller that the request did not run. If an
    attempt may have run it, the refusal is a 502 with an unknown outcome.

    Args:
        request: The request.
        status: HTTP status.
        kind: Kind of refusal, a key of `DETAILS`.
        retry_after_s: Delay before a retry, in seconds; None if a retry is not
            advised.
        inputs: Values that led to the decision, with their ages or versions,
            for logs.
    """
    if request.may_have_run and status in (429, 503):
        status, kind, retry_after_s = 502, "outcome-unknown", None
    logged = {
        "service": request.service,
        "sent": request.sent,
        **(inputs or {}),
    }
    return effects.Refuse(
        request.request_id, status, kind, DETAILS[kind], retry_after_s, logged
    )


def refusal_on_arrival(
    event: events.RequestArrived,
    status: int,
    kind: str,
    retry_after_s: float | None = None,
) -> effects.Refuse:
    """Returns the refusal of a request for which no state was created.

    Args:
        event: Arrival of the request.
        status: HTTP status.
        kind: Kind of refusal, a key of `DETAILS`.
        retry_after_s: Delay before a retry, in seconds; None if a retry is not
            advised.
    """
    return effects.Refuse(
        event.request_id, status, kind, DETAILS[kind], retry_after_s
    )
