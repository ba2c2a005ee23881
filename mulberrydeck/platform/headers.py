"""Header fields and paths of callers' requests and targets' answers."""

import urllib.parse

import attrs

from mulberrydeck.forward import fields as header_fields
from mulberrydeck.frontend import heads

MS_PER_S = 1000.0
KEY_SCHEME = "bearer"

LOOKUP_PATH = "/resolutions"
READINESS_PATH = "/readiness"

# Names in lower case, as `heads` and the answer parser give them.
ATTEMPT_ID = "x-attempt-id"
DEADLINE = "x-deadline-ms"
OBJECT_KEY = "x-affinity-key"
AUTHORIZATION = "authorization"
ACCOUNT = "x-tenant"
EXPECTED_TARGET = "x-target-instance"
SIGNATURE = "x-response-signature"
NOT_EXECUTED = "x-not-executed"
# Running requests, waiting requests and slots.
LOAD = "x-instance-load"
COLD = "x-cold-ms"

WRONG_TARGET_STATUS = 421

_SET_BY_THIS_VM = frozenset(
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


@attrs.frozen
class CallerFields:
    """What the head of a caller's request says.

    Attributes:
        host: Host that the caller named.
        attempt_id: Identifier of the request, or empty.
        deadline_s: How long the caller waits, in seconds; None if not said.
        object_key: Object that the request concerns, or empty.
        key: Key that the caller presented, or empty.
    """

    host: str
    attempt_id: str
    deadline_s: float | None
    object_key: str
    key: str


@attrs.frozen
class TargetLoad:
    """Load that a target reported.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it works on at the same time.
    """

    running: int
    waiting: int
    slots: int


def parse_caller_fields(head: heads.RequestHead) -> CallerFields:
    """Returns what a request head says.

    Raises:
        heads.BadRequestError: The deadline is not a number.
    """
    values = head.index
    scheme, _, key = values.get(AUTHORIZATION, "").partition(" ")
    return CallerFields(
        host=values.get("host", ""),
        attempt_id=values.get(ATTEMPT_ID, ""),
        deadline_s=_seconds(values.get(DEADLINE)),
        object_key=values.get(OBJECT_KEY, ""),
        key=key.strip() if scheme.lower() == KEY_SCHEME else "",
    )


def encode_forwarded_fields(head: heads.RequestHead) -> str:
    """Returns the encoded fields of a caller that a target may see.

    Args:
        head: Head as the caller sent it.
    """
    kept = header_fields.end_to_end(head.fields, _SET_BY_THIS_VM)
    return header_fields.encode(kept)


def encode_target_fields(
    passed: str,
    host: str,
    target: str,
    account: str,
    remaining_s: float,
) -> str:
    """Returns the encoded header fields of a request to a target.

    Args:
        passed: Fields of the caller, from `encode_forwarded_fields`.
        host: Host that the caller named.
        target: Name of the target, which others reject.
        account: Client account of the key, or empty.
        remaining_s: Time left for the answer, in seconds.
    """
    own = (
        f"host: {host}\r\n{passed}"
        f"{EXPECTED_TARGET}: {target}\r\n"
        f"{DEADLINE}: {max(1, int(remaining_s * MS_PER_S))}\r\n"
    )
    return own + (f"{ACCOUNT}: {account}\r\n" if account else "")


def parse_load(text: str) -> TargetLoad | None:
    """Returns the load that an answer reports, or None."""
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)


def cold_s(text: str) -> float:
    """Returns how long a target stays cold, in seconds."""
    return int(text) / MS_PER_S if text.isdigit() else 0.0


def retry_after_fields(delay_s: float | None) -> list[tuple[str, str]]:
    """Returns the field that says when to come back, if ever.

    Callers here accept fractions of a second, unlike RFC 9110.
    """
    return [] if delay_s is None else [("retry-after", f"{delay_s:.2f}")]


def parse_lookup_query(query: str) -> tuple[str, str, str]:
    """Returns host, region and zone that a look-up names, each maybe empty."""
    values = urllib.parse.parse_qs(query)
    return tuple(
        values.get(name, [""])[0] for name in ("Name", "Region", "Zone")
    )


def lookup_response(
    addresses: tuple[str, ...], lifetime_s: float
) -> dict[str, object]:
    """Returns the members of a look-up answer."""
    return {"Addresses": list(addresses), "TtlS": lifetime_s}


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise heads.BadRequestError("The deadline must be whole milliseconds.")
    return int(text) / MS_PER_S
