"""Checks of the spill orders of steering rules."""

from collections.abc import Iterator

from mulberrydeck.model import configuration
from mulberrydeck.model import findings
from mulberrydeck.model import implied_labels
from mulberrydeck.model import selector_text
from mulberrydeck.model import selectors


def check(config: configuration.Configuration) -> Iterator[findings.Finding]:
    """Yields the problems of all spill orders.

    A spill order must not be empty, weights must be at least 1, and each
    preference must match a zone.

    Args:
        config: The configuration.
    """
    for position, rule in enumerate(config.steering):
        key = f"steering[{position}].spill_order"
        if not rule.spill_order:
            yield findings.Finding(key, [], "is empty; name at least one step.")
        for number, preference in enumerate(rule.spill_order):
            yield from _check_preference(f"{key}[{number}]", preference, config)


def _check_preference(
    key: str,
    preference: configuration.Preference,
    config: configuration.Configuration,
) -> Iterator[findings.Finding]:
    if preference.weight < 1:
        yield findings.Finding(
            f"{key}.weight", preference.weight, "use at least 1."
        )
    if not _matches_any_zone(preference.zones, config):
        yield findings.Finding(
            f"{key}.zones",
            selector_text.write(preference.zones),
            "matches no zone; correct the selector or label a zone.",
        )


def _matches_any_zone(
    selector: selectors.Selector, config: configuration.Configuration
) -> bool:
    regions = {region.name: region for region in config.regions}
    zones = [zone for zone in config.zones if zone.region in regions]
    return any(
        selector.matches(
            implied_labels.of_zone(zone, regions[zone.region], from_zone)
        )
        for from_zone in zones
        for zone in zones
    )
