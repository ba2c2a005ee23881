"""Finds steps of spill orders without effect, and zones that they omit."""

from collections.abc import Iterator

from mulberrydeck.checking import diagnostics
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import differences


def check(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    """Yields warnings about the spill orders of all steering rules.

    Args:
        active: The configuration.
    """
    services_by_rule: dict[str, list[str]] = {}
    for service in active.source.services:
        rule = active.steering_rule(service.name)
        if rule is not None and active.zones_by_service[service.name]:
            services_by_rule.setdefault(rule.name, []).append(service.name)
    for position, rule in enumerate(active.source.steering):
        services = services_by_rule.get(rule.name, [])
        place = f"steering[{position}].spill_order"
        if services:
            yield from _check_preferences(place, rule, services, active)
        for service in services:
            yield from _check_omissions(place, service, active)


def _check_preferences(
    place: str,
    rule: configuration.SteeringRule,
    services: list[str],
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    effective: set[int] = set()
    selecting: set[int] = set()
    for service in services:
        for from_zone in active.source.zones:
            labels = active.zone_labels(service, from_zone)
            chosen_zones = compiled.zones_by_preference(rule, labels)
            for number, preference in enumerate(rule.spill_order):
                if chosen_zones[number]:
                    effective.add(number)
                if any(map(preference.zones.matches, labels.values())):
                    selecting.add(number)
    if rule.spill_order[0].same_step:
        yield diagnostics.warning(
            f"{place}[0].same_step",
            "has no effect, because no step comes before it; remove it.",
        )
    for number in range(len(rule.spill_order)):
        if number in effective:
            continue
        reason = (
            "earlier steps contain all of its zones; move it up or remove it."
            if number in selecting
            else "its zones have no target of "
            f"{differences.name_some(services)}; correct or remove it."
        )
        yield diagnostics.warning(
            f"{place}[{number}]", f"is never used: {reason}"
        )


def _check_omissions(
    place: str, service: str, active: compiled.CompiledConfiguration
) -> Iterator[diagnostics.Diagnostic]:
    reached = {
        zone
        for from_zone in active.zone_names
        for step in active.spill_order(service, from_zone)
        for zone, _ in step.zones
    }
    omitted = sorted(active.zones_by_service[service] - reached)
    if omitted:
        yield diagnostics.warning(
            place,
            f"omits {differences.name_some(omitted)}, so targets of {service} "
            "there get no request; add a step.",
        )
