"""Filters header fields that are forwarded from one hop to the next."""

from collections.abc import Iterable

from mulberrydeck.observability import redaction

Field = tuple[str, str]

RESERVED_PREFIX = "mulberrydeck-"
# Unix time in seconds as `t=...`; many load balancers use this name.
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
_REWRITTEN_IN_REQUESTS = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    "traceparent",
    REQUEST_START,
}
_REWRITTEN_IN_RESPONSES = HOP_BY_HOP | {"content-length"}


def filter_request(
    fields: Iterable[Field], secrets: tuple[str, ...]
) -> list[Field]:
    """Returns the caller's fields that are forwarded to a target.

    Fields whose value contains a caller key are dropped. So are fields whose
    name has an underscore, since many servers treat it like a hyphen.

    Args:
        fields: Fields as received, names in lower case.
        secrets: Keys that the caller presented.
    """
    connection_options = _connection_options(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in _REWRITTEN_IN_REQUESTS
        and "_" not in name
        and not name.startswith(RESERVED_PREFIX)
        and name not in connection_options
        and not redaction.reveals_key(value, secrets)
    ]


def end_to_end(fields: Iterable[Field], dropped: frozenset[str]) -> list[Field]:
    """Returns the end-to-end fields, without the hop-by-hop ones.

    Args:
        fields: Fields as received, names in lower case.
        dropped: Names, in lower case, of other fields to drop.
    """
    connection_options = _connection_options(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in HOP_BY_HOP
        and name not in connection_options
        and name not in dropped
    ]


def filter_response(fields: Iterable[Field]) -> list[Field]:
    """Returns the fields of a response that are forwarded to the caller.

    Args:
        fields: Fields as received, names in lower case.
    """
    connection_options = _connection_options(fields)
    return [
        (name, value)
        for name, value in fields
        if name not in _REWRITTEN_IN_RESPONSES
        and not name.startswith(RESERVED_PREFIX)
        and name not in connection_options
    ]


def encode(fields: Iterable[Field]) -> str:
    """Returns fields as lines of an HTTP/1.1 message head."""
    return "".join([f"{name}: {value}\r\n" for name, value in fields])


def _connection_options(fields: Iterable[Field]) -> frozenset[str]:
    options: set[str] = set()
    for name, value in fields:
        if name == "connection":
            options.update(part.strip() for part in value.lower().split(","))
    return frozenset(options)
