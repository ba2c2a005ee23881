"""Paths below a service."""

import urllib.parse

import attrs

from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests

SERVICES_PREFIX = "/v1/services/"


@attrs.frozen
class ServicePath:
    """A request path, split into service and rest.

    Attributes:
        service: Name of the service.
        routed: Decoded path below the service, by which the route is chosen.
        forwarded: Path and query that are sent to the target, still encoded.
    """

    service: str
    routed: str
    forwarded: str


def split(path: str, query: str) -> ServicePath:
    """Splits a path below `/v1/services/`.

    Refuses a path that a target might normalise to a path of another route.

    Args:
        path: Path of the request, still encoded.
        query: Query string without `?`.

    Raises:
        requests.RefusedError: The path is not in its normal form.
    """
    service, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
    if not service:
        raise requests.RefusedError(problems.NOT_FOUND)
    raw = f"/{rest}"
    routed = _decode(raw) if "%" in raw else raw
    if _is_ambiguous(routed):
        raise requests.RefusedError(problems.BAD_PATH)
    forwarded = f"{raw}?{query}" if query else raw
    name = _decode(service) if "%" in service else service
    return ServicePath(name, routed, forwarded)


def _decode(path: str) -> str:
    if "%2f" in path.lower():
        raise requests.RefusedError(problems.BAD_PATH)
    try:
        decoded = urllib.parse.unquote(path, errors="strict")
    except UnicodeDecodeError:
        raise requests.RefusedError(problems.BAD_PATH) from None
    if "%" in decoded or not decoded.isprintable():
        raise requests.RefusedError(problems.BAD_PATH)
    return decoded


def _is_ambiguous(path: str) -> bool:
    if "//" in path or "\\" in path:
        return True
    if "/." not in path:
        return False
    return any(segment in (".", "..") for segment in path.split("/"))
