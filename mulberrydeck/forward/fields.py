"""Header fields that may pass from one hop to the next."""

from collections.abc import Iterable

from mulberrydeck.observability import redaction

Field = tuple[str, str]

OWN_PREFIX = "mulberrydeck-"
# Seconds since the epoch as `t=...`; a usual name among load balancers.
REQUEST_START = "x-request-start"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_REWRITTEN_REQUEST = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    "traceparent",
    REQUEST_START,
}
_REWRITTEN_ANSWER = HOP_BY_HOP | {"content-length"}


def filter_request(
    fields: Iterable[Field], secrets: tuple[str, ...]
) -> list[Field]:
    """Returns the caller's fields that may reach a target.

    Names with an underscore are dropped, since many servers do not tell them
    from names with a hyphen.

    Args:
        fields: Fields as received, names in lower case.
        secrets: Keys that the caller presented.
    """
    named = _named_in_connection(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in _REWRITTEN_REQUEST
        and "_" not in name
        and not name.startswith(OWN_PREFIX)
        and name not in named
        and not redaction.reveals_key(value, secrets)
    ]


def end_to_end(fields: Iterable[Field], dropped: frozenset[str]) -> list[Field]:
    """Returns all fields but those of one connection and some others.

    Args:
        fields: Fields as received, names in lower case.
        dropped: Names, in lower case, that are left out besides.
    """
    named = _named_in_connection(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in HOP_BY_HOP and name not in named and name not in dropped
    ]


def filter_response(fields: Iterable[Field]) -> list[Field]:
    """Returns the fields of an answer that may reach the caller.

    Args:
        fields: Fields as received, names in lower case.
    """
    named = _named_in_connection(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in _REWRITTEN_ANSWER
        and not name.startswith(OWN_PREFIX)
        and name not in named
    ]


def encode(fields: Iterable[Field]) -> str:
    """Returns fields as lines of a message head."""
    return "".join([f"{name}: {value}\r\n" for name, value in fields])


def _named_in_connection(fields: Iterable[Field]) -> frozenset[str]:
    named: set[str] = set()
    for name, value in fields:
        if name == "connection":
            named.update(part.strip() for part in value.lower().split(","))
    return frozenset(named)
