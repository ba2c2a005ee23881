"""Checks of values and references within a configuration."""

from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress

from mulberrydeck.model import client_blocks
from mulberrydeck.model import configuration
from mulberrydeck.model import findings
from mulberrydeck.model import selector_text
from mulberrydeck.model import steering_checks

MAX_PORT = 65_535


def check(config: configuration.Configuration) -> list[findings.Finding]:
    """Returns all problems of a configuration; empty if it is valid."""
    problems: list[findings.Finding] = []
    for run_check in _checks:
        problems.extend(run_check(config))
    return problems


def _check_names(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    for table in (
        "regions",
        "zones",
        "services",
        "targets",
        "accounts",
        "access",
        "steering",
        "limits",
    ):
        yield from _check_table_names(table, getattr(config, table))
    for position, service in enumerate(config.services):
        yield from _check_table_names(
            f"services[{position}].routes", service.routes
        )


def _check_table_names(
    table: str, items: Iterable[object]
) -> Iterator[findings.Finding]:
    seen = set()
    for position, item in enumerate(items):
        key = f"{table}[{position}].name"
        if not selector_text.is_word(item.name):
            yield findings.Finding(
                key,
                item.name,
                "is not a valid name; use letters, digits and inner `.`, `_` "
                "or `-`.",
            )
        elif "/" in item.name:
            yield findings.Finding(
                key, item.name, "must not contain a slash; use `-`."
            )
        if item.name in seen:
            yield findings.Finding(
                key, item.name, "is used twice; rename one of the two."
            )
        seen.add(item.name)


def _check_labels(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    for table in ("regions", "zones", "services", "targets", "accounts"):
        for position, item in enumerate(getattr(config, table)):
            for label, value in item.labels.items():
                key = f"{table}[{position}].labels.{label}"
                if not selector_text.is_word(label):
                    yield findings.Finding(
                        key, value, "has an invalid label key; rename it."
                    )
                if not selector_text.is_word(value):
                    yield findings.Finding(
                        key,
                        value,
                        "is not a valid label value; use letters, digits and "
                        "inner `.`, `_`, `/` or `-`.",
                    )


def _check_places(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    regions = {region.name for region in config.regions}
    for position, zone in enumerate(config.zones):
        if zone.region not in regions:
            yield _undeclared(
                f"zones[{position}].region", zone.region, "regions"
            )
    yield from client_blocks.check(config.zones)


def _check_links(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    regions = {region.name for region in config.regions}
    seen = set()
    for position, link in enumerate(config.links):
        key = f"links[{position}]"
        for end in ("source", "destination"):
            region = getattr(link, end)
            if region not in regions:
                yield _undeclared(f"{key}.{end}", region, "regions")
        if link.source == link.destination:
            yield findings.Finding(
                f"{key}.destination",
                link.destination,
                "equals the source; name two different regions.",
            )
        if link.cap_bytes_per_s <= 0:
            yield _not_positive(f"{key}.cap_bytes_per_s", link.cap_bytes_per_s)
        if (link.source, link.destination) in seen:
            yield findings.Finding(
                key,
                f"{link.source}/{link.destination}",
                "is declared twice; remove one of the two.",
            )
        seen.add((link.source, link.destination))


def _check_routes(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    for position, service in enumerate(config.services):
        seen = set()
        for number, route in enumerate(service.routes):
            key = f"services[{position}].routes[{number}]"
            yield from _check_route(key, route)
            for method in route.methods or ("",):
                if (route.path_prefix, method) in seen:
                    yield findings.Finding(
                        f"{key}.path_prefix",
                        route.path_prefix,
                        "has the same prefix and method as another route; "
                        "remove one of the two.",
                    )
                seen.add((route.path_prefix, method))


def _check_route(
    key: str, route: configuration.Route
) -> Iterator[findings.Finding]:
    segments = route.path_prefix.split("/")
    if not route.path_prefix.startswith("/") or {".", ".."} & set(segments):
        yield findings.Finding(
            f"{key}.path_prefix",
            route.path_prefix,
            "must start with `/` and contain no `.` or `..` segment.",
        )
    # JSON, in which the configuration is stored, has no infinity and no NaN.
    if not 0 < route.deadline_s < float("inf"):
        yield findings.Finding(
            f"{key}.deadline_s",
            route.deadline_s,
            "must be above 0 and finite; correct it.",
        )
    for method in route.methods:
        if not (method.isalpha() and method.isupper()):
            yield findings.Finding(
                f"{key}.methods", method, "write methods like `GET`."
            )


def _check_targets(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    zones = {zone.name for zone in config.zones}
    services = {service.name for service in config.services}
    for position, target in enumerate(config.targets):
        key = f"targets[{position}]"
        if target.zone not in zones:
            yield _undeclared(f"{key}.zone", target.zone, "zones")
        if target.service not in services:
            yield _undeclared(f"{key}.service", target.service, "services")
        if target.slots <= 0:
            yield _not_positive(f"{key}.slots", target.slots)
        if not 0 < target.port <= MAX_PORT:
            yield findings.Finding(
                f"{key}.port", target.port, f"use a port from 1 to {MAX_PORT}."
            )
        if not _is_ip(target.host):
            yield findings.Finding(
                f"{key}.host", target.host, "write an IP address."
            )


def _check_limits(
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    for position, limit in enumerate(config.limits):
        if not 0 < limit.rate_per_s < float("inf"):
            yield _not_positive(
                f"limits[{position}].rate_per_s", limit.rate_per_s
            )
        if limit.burst < 1:
            yield findings.Finding(
                f"limits[{position}].burst", limit.burst, "use at least 1."
            )


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _undeclared(key: str, value: str, table: str) -> findings.Finding:
    return findings.Finding(
        key, value, f"is not declared in [[{table}]]; declare or correct it."
    )


def _not_positive(key: str, value: float) -> findings.Finding:
    return findings.Finding(key, value, "must be above 0; raise it.")


_checks = (
    _check_names,
    _check_labels,
    _check_places,
    _check_links,
    _check_routes,
    _check_targets,
    _check_limits,
    steering_checks.check,
)
