"""Finds routes that no request can reach."""

from collections.abc import Iterator
import urllib.parse

from mulberrydeck.checking import diagnostics
from mulberrydeck.core import admission
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import paths
from mulberrydeck.model import route_index

# Stands for all methods that no route names; callers cannot send it.
OTHER_METHOD = ""


def check(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    """Yields warnings about the routes of all services.

    Args:
        active: The configuration.
    """
    for position, service in enumerate(active.source.services):
        index = active.route_indexes[service.name]
        if not service.routes:
            yield diagnostics.warning(
                f"services[{position}].routes",
                f"{service.name} has no route, so all of its requests are "
                "refused; add one.",
            )
        for number, route in enumerate(service.routes):
            place = f"services[{position}].routes[{number}]"
            yield from _check_reach(place, route, index)
            yield from _check_deadline(place, route)


def _check_reach(
    place: str, route: configuration.Route, index: route_index.RouteIndex
) -> Iterator[diagnostics.Diagnostic]:
    path = _request_path(route.path_prefix)
    if path is None:
        yield diagnostics.warning(
            f"{place}.path_prefix",
            f"no path matches {route.path_prefix!r}, because paths are "
            "compared after decoding; write it decoded, without `;`.",
        )
        return
    methods_by_route: dict[str, list[str]] = {}
    for method in route.methods or (OTHER_METHOD,):
        found = index.find(method, path)
        if found is not route:
            methods_by_route.setdefault(found.name, []).append(method)
    for name, methods in methods_by_route.items():
        subject = f"{route.name} gets no request"
        if methods != [OTHER_METHOD]:
            subject = f"{route.name} gets no {', '.join(methods)} request"
        yield diagnostics.warning(
            place,
            f"{subject}, because route {name} covers the same paths; remove "
            "one of the two.",
        )


def _request_path(prefix: str) -> str | None:
    """Returns a path as a caller sends it that has just the prefix, or None."""
    segments = tuple(part for part in prefix.split("/") if part)
    path = "/" + "/".join(
        urllib.parse.quote(segment, safe="") for segment in segments
    )
    return path if paths.segments(path) == segments else None


def _check_deadline(
    place: str, route: configuration.Route
) -> Iterator[diagnostics.Diagnostic]:
    if route.deadline_s < admission.MIN_TIME_TO_START_S:
        yield diagnostics.warning(
            f"{place}.deadline_s",
            f"{route.deadline_s:g} s is shorter than a VM needs to start a "
            f"request; use at least {admission.MIN_TIME_TO_START_S:g}.",
        )
