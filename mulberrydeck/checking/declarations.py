"""Finds accounts, services, places and labels that are never used."""

from collections.abc import Iterator

from mulberrydeck.checking import diagnostics
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import differences

_implied_labels = (
    ("accounts", ("name",)),
    ("services", ("name",)),
    ("regions", ("zone", "region", "local")),
    ("zones", ("zone", "region", "local")),
)


def check(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    """Yields warnings about declared items.

    Args:
        active: The configuration.
    """
    yield from _check_labels(active.source)
    yield from _check_accounts(active)
    yield from _check_places(active)
    for position, service in enumerate(active.source.services):
        place = f"services[{position}]"
        yield from _check_targets(place, service, active.source)
        yield from _check_callers(place, service, active)


def _check_labels(
    source: configuration.Configuration,
) -> Iterator[diagnostics.Diagnostic]:
    for table, implied in _implied_labels:
        for position, item in enumerate(getattr(source, table)):
            for label in implied:
                if label in item.labels:
                    yield diagnostics.warning(
                        f"{table}[{position}].labels.{label}",
                        "is hidden by the implied label of that name; rename "
                        "it.",
                    )


def _check_accounts(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    for position, account in enumerate(active.source.accounts):
        if not any(
            active.access_rule(account.name, service)
            for service in active.services
        ):
            yield diagnostics.warning(
                f"accounts[{position}]",
                f"no access rule lets {account.name} reach a service; add one "
                "or remove the account.",
            )


def _check_places(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    for position, zone in enumerate(active.source.zones):
        if not zone.client_blocks and not active.targets_in(zone.name):
            yield diagnostics.warning(
                f"zones[{position}]",
                f"{zone.name} has no target and no client block; add one or "
                "remove the zone.",
            )
    used_regions = {zone.region for zone in active.source.zones}
    for position, region in enumerate(active.source.regions):
        if region.name not in used_regions:
            yield diagnostics.warning(
                f"regions[{position}]",
                f"{region.name} has no zone, so its links are unused; add a "
                "zone or remove the region.",
            )


def _check_targets(
    place: str,
    service: configuration.Service,
    source: configuration.Configuration,
) -> Iterator[diagnostics.Diagnostic]:
    targets = [
        target for target in source.targets if target.service == service.name
    ]
    if not targets:
        yield diagnostics.warning(
            place,
            f"{service.name} has no target; add one or remove the service.",
        )
    elif all(target.draining for target in targets):
        yield diagnostics.warning(
            place,
            f"all targets of {service.name} are draining, so it serves no new "
            "request; undrain or add one.",
        )


def _check_callers(
    place: str,
    service: configuration.Service,
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    keyed = [route.name for route in service.routes if not route.open_to_all]
    if keyed and not any(
        active.access_rule(account, service.name) for account in active.accounts
    ):
        yield diagnostics.warning(
            place,
            f"no access rule lets an account reach {service.name}, so no "
            f"request uses its routes {differences.name_some(keyed)}; add a "
            "rule or open the routes to all.",
        )
