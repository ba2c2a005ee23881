"""Refusals as problem details (RFC 9457)."""

import http
import json
import math

from mulberrydeck import errors

CONTENT_TYPE = "application/problem+json"


def encode(problem: errors.Problem, request_id: str) -> bytes:
    """Returns the JSON body of a refusal.

    Args:
        problem: Problem details of the refusal.
        request_id: Identifier that is reported to the caller.
    """
    members = {
        "title": reason_phrase(problem.status),
        "status": problem.status,
        "detail": problem.detail,
        "kind": problem.kind,
        "ran": problem.ran,
        "request_id": request_id,
    }
    if problem.retry_after_s is not None:
        members["retry_after_s"] = round(problem.retry_after_s, 3)
    return json.dumps(members).encode()


def fields(problem: errors.Problem) -> list[tuple[str, str]]:
    """Returns the header fields of a refusal."""
    result = [
        ("content-type", CONTENT_TYPE),
        ("mulberrydeck-ran", problem.ran),
    ]
    if problem.retry_after_s is not None:
        seconds = max(1, math.ceil(problem.retry_after_s))
        result.append(("retry-after", str(seconds)))
    return result


def reason_phrase(status: int) -> str:
    """Returns the standard phrase of an HTTP status, or empty."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ""


BAD_REQUEST = errors.Problem(
    "bad-request", 400, "The request is malformed; send valid HTTP/1.1."
)
NOT_FOUND = errors.Problem(
    "not-found", 404, "No such path; see the caller documentation."
)
METHOD_NOT_ALLOWED = errors.Problem(
    "method-not-allowed", 405, "Use GET on this path."
)
BAD_PATH = errors.Problem(
    "bad-path",
    400,
    "The path holds empty, dot or encoded separator segments; send it "
    "normalised.",
)
MISPLACED_KEY = errors.Problem(
    "misplaced-key",
    400,
    "A key stands in the URL; send it in Mulberrydeck-Key only and have it "
    "replaced.",
)
AMBIGUOUS_KEY = errors.Problem(
    "ambiguous-key", 400, "Send one Mulberrydeck-Key, not several."
)
BAD_DEADLINE = errors.Problem(
    "bad-deadline",
    400,
    "Mulberrydeck-Deadline must be a positive number of seconds.",
)
RELAY_REJECTED = errors.Problem(
    "relay-rejected",
    403,
    "The relayed request is not authenticated; give all VMs the same "
    "fleet_secret.",
)
INTERNAL = errors.Problem(
    "internal-error", 500, "The VM failed; see its log.", ran="unknown"
)


def deadline_exceeded(ran: str) -> errors.Problem:
    """Returns the refusal of a request whose deadline has passed.

    Args:
        ran: `no` if no target can have run the request, else `unknown`.
    """
    return errors.Problem(
        "deadline-exceeded",
        504,
        "No answer came in time; ask again with a longer deadline.",
        ran=ran,
    )


def bad_identifier(name: str) -> errors.Problem:
    """Returns the refusal of a request with an invalid identifier.

    Args:
        name: Lower-case name of the header field.
    """
    return errors.Problem(
        "bad-identifier",
        400,
        f"Send {name} once, with 1 to 128 letters, digits or ._:~- signs.",
    )


def answer_withheld(status: int) -> errors.Problem:
    """Returns the refusal of a single run that a target may have run.

    Args:
        status: HTTP status of the target's response.
    """
    return errors.Problem(
        "outcome-unknown",
        502,
        f"The target answered {status} and did not state whether the request "
        "ran; ask the service's operators before sending it again.",
        ran="unknown",
    )


ANSWER_BROKEN = errors.Problem(
    "answer-broken",
    502,
    "The answer broke off; look up whether the request ran before asking "
    "again.",
    ran="unknown",
)
