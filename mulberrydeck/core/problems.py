"""Problems with which requests are refused, each with its remedy."""

from mulberrydeck import errors

RETRY_SOON_S = 1.0


def not_configured() -> errors.Problem:
    """No configuration is applied on this VM yet."""
    return errors.Problem(
        "not-configured",
        503,
        "This VM has no configuration yet; ask for another VM and retry.",
        retry_after_s=RETRY_SOON_S,
    )


def unknown_route(service: str) -> errors.Problem:
    """No route matches the service, method and path."""
    return errors.Problem(
        "unknown-route",
        404,
        f"No route of service {service!r} matches; check method and path.",
    )


def key_missing() -> errors.Problem:
    """The route requires a key, and none was presented."""
    return errors.Problem(
        "key-missing",
        401,
        "Present a key in the header Mulberrydeck-Key.",
    )


def key_rejected() -> errors.Problem:
    """The key is unknown or was withdrawn."""
    return errors.Problem(
        "key-rejected",
        401,
        "The key is unknown or withdrawn; ask an operator for a new one.",
    )


def keys_stale() -> errors.Problem:
    """The platform has not confirmed the keyring for too long."""
    return errors.Problem(
        "keys-stale",
        503,
        "This VM is cut off and can no longer check keys; use another VM.",
        retry_after_s=RETRY_SOON_S,
    )


def not_allowed(account: str, service: str) -> errors.Problem:
    """No access rule allows the account to use the service."""
    return errors.Problem(
        "not-allowed",
        403,
        f"No access rule lets {account!r} reach {service!r}; ask an operator.",
    )


def run_id_missing() -> errors.Problem:
    """The route runs at most once, and the request has no run identifier."""
    return errors.Problem(
        "run-id-missing",
        400,
        "This route runs at most once; send a unique Mulberrydeck-Run-Id and "
        "use the same one when you retry.",
    )


def rate_limited(account: str, retry_after_s: float) -> errors.Problem:
    """The account exceeds its rate and burst."""
    return errors.Problem(
        "rate-limited",
        429,
        f"Account {account!r} is over its rate; retry later.",
        retry_after_s=retry_after_s,
    )


def no_capacity(service: str, retry_after_s: float) -> errors.Problem:
    """No target of the service has a free slot."""
    return errors.Problem(
        "no-capacity",
        503,
        f"All targets of {service!r} are busy; retry later.",
        retry_after_s=retry_after_s,
    )


def deadline_exceeded(ran: str) -> errors.Problem:
    """The deadline of the request has passed.

    Args:
        ran: `no` when no target can have run the request, else `unknown`.
    """
    return errors.Problem(
        "deadline-exceeded",
        504,
        "The deadline passed; allow more time or retry.",
        ran=ran,
        retry_after_s=RETRY_SOON_S,
    )


def outcome_unknown() -> errors.Problem:
    """A target may have run the request, but gave no complete response."""
    return errors.Problem(
        "outcome-unknown",
        502,
        "The request may have run; ask /v1/runs for a single run, or retry "
        "an idempotent request.",
        ran="unknown",
        retry_after_s=RETRY_SOON_S,
    )


def claim_taken() -> errors.Problem:
    """Another attempt has claimed the run, and its outcome is not recorded."""
    return errors.Problem(
        "run-started",
        409,
        "A run with this Mulberrydeck-Run-Id was started before and its "
        "outcome is not known yet; ask /v1/runs later.",
        ran="unknown",
        retry_after_s=RETRY_SOON_S,
    )


def claim_finished(status: int) -> errors.Problem:
    """The run has already finished, with the given HTTP status."""
    return errors.Problem(
        "run-finished",
        409,
        f"A run with this Mulberrydeck-Run-Id was answered with {status}; "
        "do not send it again.",
        ran="unknown",
    )


def claim_unavailable() -> errors.Problem:
    """The claim of the single run could not be recorded."""
    return errors.Problem(
        "run-not-recorded",
        503,
        "The run could not be recorded, so it was not started; retry later.",
        retry_after_s=RETRY_SOON_S,
    )
