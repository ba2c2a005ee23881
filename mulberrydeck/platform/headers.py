"""Header fields and paths of callers' requests and targets' responses."""

import enum
import re
import urllib.parse

import attrs

from mulberrydeck.forward import fields as header_fields
from mulberrydeck.frontend import heads

MS_PER_S = 1000.0
KEY_SCHEME = "bearer"

LOOKUP_PATH = "/resolutions"
READINESS_PATH = "/readiness"

# Names in lower case, as the parsers of requests and responses return them.
ATTEMPT_ID = "x-attempt-id"
DEADLINE = "x-deadline-ms"
OBJECT_KEY = "x-affinity-key"
AUTHORIZATION = "authorization"
ACCOUNT = "x-tenant"
EXPECTED_TARGET = "x-target-instance"
SIGNATURE = "x-response-signature"
NOT_EXECUTED = "x-not-executed"
# Running requests, waiting requests and slots, separated by commas; on new
# deployments also the current duration of work in percent of the usual one.
LOAD = "x-instance-load"
COLD = "x-cold-ms"
# In all responses of the store: rises when it comes back from an older copy.
STORE_ERA = "store-era"
# `1` in all responses of a target that is about to stop.
LEAVING = "server-leaving"
# With status 503: for how long the target wants no requests, in seconds.
RETRY_AFTER = "retry-after"

WRONG_TARGET_STATUS = 421
# Tell a caller that its request did not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
UNAVAILABLE_STATUS = 503
# Longer pauses are taken as this long.
MAX_PAUSE_S = 3600.0

# Values of the not-executed field that do not state what its name says.
_DENIALS = frozenset(("", "0", "false", "no"))
_USUAL_SPEED = 100
# Slower reports are taken for malformed ones.
_MAX_SPEED = 10_000
_LOAD_PATTERN = re.compile(r"\s*[0-9]{1,15}\s*", re.ASCII)
_SECONDS_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?")

_NOT_FORWARDED = frozenset(
    (
        AUTHORIZATION,
        ACCOUNT,
        EXPECTED_TARGET,
        DEADLINE,
        SIGNATURE,
        NOT_EXECUTED,
        "content-length",
        "expect",
        "host",
    )
)


class Execution(enum.Enum):
    """What a response states about whether its request ran.

    `RAN`: the target processed the request, successfully or not.
    `NOT_RUN`: the target did not run the request.
    `WRONG_TARGET`: another target has the address; it did not run the request.
    `UNCLEAR`: the status would tell the caller that the request did not run,
    but the target does not state so, or it states so with a success.
    """

    RAN = enum.auto()
    NOT_RUN = enum.auto()
    WRONG_TARGET = enum.auto()
    UNCLEAR = enum.auto()


@attrs.frozen
class CallerFields:
    """Header fields of a caller's request that this VM uses.

    Attributes:
        host: Requested host.
        attempt_id: Identifier of the request, or empty.
        timeout_s: How long the caller waits, in seconds; None if not given.
        object_key: Key of the object that the request concerns, or empty.
        key: API key of the caller, or empty.
    """

    host: str
    attempt_id: str
    timeout_s: float | None
    object_key: str
    key: str


@attrs.frozen
class TargetLoad:
    """Load that a target reported.

    Attributes:
        running: Requests that the target is processing.
        waiting: Requests in its queue.
        slots: Requests that it processes concurrently.
        speed: Current duration of work there, as a multiple of the usual one;
            None if it did not report it.
    """

    running: int
    waiting: int
    slots: int
    speed: float | None = None


def parse_caller_fields(head: heads.RequestHead) -> CallerFields:
    """Returns the header fields of a request that this VM uses.

    Raises:
        heads.BadRequestError: The deadline is not a whole number of ms.
    """
    values = head.index
    scheme, _, key = values.get(AUTHORIZATION, "").partition(" ")
    return CallerFields(
        host=values.get("host", ""),
        attempt_id=values.get(ATTEMPT_ID, ""),
        timeout_s=_parse_ms_as_seconds(values.get(DEADLINE)),
        object_key=values.get(OBJECT_KEY, ""),
        key=key.strip() if scheme.lower() == KEY_SCHEME else "",
    )


def encode_forwarded_fields(head: heads.RequestHead) -> str:
    """Returns the encoded header fields to be forwarded to a target.

    Hop-by-hop fields, the caller's key, and fields that this VM or targets set
    are removed.

    Args:
        head: Head of the caller's request.
    """
    forwarded = header_fields.end_to_end(head.fields, _NOT_FORWARDED)
    return header_fields.encode(forwarded)


def encode_target_fields(
    forwarded: str,
    host: str,
    target: str,
    account: str,
    remaining_s: float,
) -> str:
    """Returns the encoded header fields of a request to a target.

    Args:
        forwarded: The caller's fields, from `encode_forwarded_fields`.
        host: Host that the caller requested.
        target: Name of the target; any other target rejects the request.
        account: Client account of the key, or empty.
        remaining_s: Time until the deadline, in seconds.
    """
    lines = (
        f"host: {host}\r\n{forwarded}"
        f"{EXPECTED_TARGET}: {target}\r\n"
        f"{DEADLINE}: {max(1, int(remaining_s * MS_PER_S))}\r\n"
    )
    return lines + (f"{ACCOUNT}: {account}\r\n" if account else "")


def parse_load(text: str) -> TargetLoad | None:
    """Returns the load that a response reports, or None if malformed."""
    numbers = text.split(",")
    if len(numbers) not in (3, 4) or not all(
        map(_LOAD_PATTERN.fullmatch, numbers)
    ):
        return None
    running, waiting, slots, *rest = map(int, numbers)
    speed = None
    if rest and 0 < rest[0] <= _MAX_SPEED:
        speed = rest[0] / _USUAL_SPEED
    return TargetLoad(running, waiting, slots, speed)


def parse_execution(status: int, not_executed: tuple[str, ...]) -> Execution:
    """Returns what a response states about whether its request ran.

    Only the not-executed field and status 421 state that it did not. A target
    may run a request and respond with 408, 429 or 503. A statement that the
    status or another field contradicts is none.

    Args:
        status: HTTP status.
        not_executed: Members of the not-executed fields.
    """
    denied = not _DENIALS.isdisjoint(map(str.lower, not_executed))
    if status == WRONG_TARGET_STATUS and not denied:
        return Execution.WRONG_TARGET
    stated = bool(not_executed) and not denied
    rejected = 400 <= status < 500 or status == UNAVAILABLE_STATUS
    if stated and rejected:
        return Execution.NOT_RUN
    succeeded = 200 <= status < 300
    if status in NOT_RUN_STATUSES or (stated and succeeded):
        return Execution.UNCLEAR
    return Execution.RAN


def response_fields(
    fields: list[header_fields.Field],
) -> list[header_fields.Field]:
    """Returns the fields of a response without what it states to this VM.

    Args:
        fields: Fields as received, names in lower case.
    """
    return [field for field in fields if field[0] != NOT_EXECUTED]


def parse_leaving(text: str) -> bool:
    """Returns whether a response says that its target is about to stop."""
    return text.strip() == "1"


def parse_pause_s(text: str) -> float:
    """Returns for how long a target wants no requests, in seconds.

    Dates and malformed values are no request for a pause.
    """
    if _SECONDS_PATTERN.fullmatch(text.strip()) is None:
        return 0.0
    return min(MAX_PAUSE_S, float(text))


def parse_cold_s(text: str) -> float:
    """Returns for how long a target stays cold, in seconds."""
    return int(text) / MS_PER_S if text.isdigit() else 0.0


def retry_after_fields(delay_s: float | None) -> list[tuple[str, str]]:
    """Returns the Retry-After field, or no field without a delay.

    The value may be a fraction of a second, which the platform's callers
    accept, although RFC 9110 allows whole seconds only.
    """
    return [] if delay_s is None else [("retry-after", f"{delay_s:.2f}")]


def parse_lookup_query(query: str) -> tuple[str, str, str]:
    """Returns host, region and zone of a lookup; each may be empty."""
    values = urllib.parse.parse_qs(query)
    return tuple(
        values.get(name, [""])[0] for name in ("Name", "Region", "Zone")
    )


def lookup_response(
    addresses: tuple[str, ...], lifetime_s: float
) -> dict[str, object]:
    """Returns the JSON members of the response to a lookup.

    Args:
        addresses: Addresses of VMs, `ip:port`.
        lifetime_s: How long callers may use the response, in seconds.
    """
    return {"Addresses": list(addresses), "TtlS": lifetime_s}


def _parse_ms_as_seconds(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise heads.BadRequestError(
            "The deadline must be a whole number of ms."
        )
    return int(text) / MS_PER_S
