"""Finds rules that select nothing, or nothing that earlier rules leave."""

from collections.abc import Iterator
import itertools

import attrs

from mulberrydeck.checking import diagnostics
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import differences
from mulberrydeck.model import implied_labels
from mulberrydeck.model import selector_text
from mulberrydeck.model import selectors

Rule = (
    configuration.AccessRule
    | configuration.SteeringRule
    | configuration.LimitRule
)

_value_operators = (selectors.Operator.IN, selectors.Operator.NOT_IN)


@attrs.frozen
class Items:
    """Items that selectors choose from.

    Attributes:
        noun: What one of them is called.
        labels: Labels of each item by its name, implied ones included.
        implied: Values of each implied label.
    """

    noun: str
    labels: dict[str, dict[str, str]]
    implied: dict[str, frozenset[str]]

    def selected_by(self, selector: selectors.Selector) -> list[str]:
        """Returns the names of the items that a selector matches."""
        return [
            name
            for name, labels in self.labels.items()
            if selector.matches(labels)
        ]


def check(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    """Yields warnings about access, steering and limit rules.

    Args:
        active: The configuration.
    """
    source = active.source
    accounts = _items(
        "account",
        {
            item.name: implied_labels.of_account(item)
            for item in source.accounts
        },
    )
    services = _items(
        "service",
        {
            item.name: implied_labels.of_service(item)
            for item in source.services
        },
    )
    yield from _check_access(source.access, accounts, services)
    yield from _check_first_match(
        "steering", "services", source.steering, services
    )
    yield from _check_first_match("limits", "accounts", source.limits, accounts)
    yield from _check_spill_selectors(source)


def _items(noun: str, labels: dict[str, dict[str, str]]) -> Items:
    return Items(noun, labels, {"name": frozenset(labels)})


def _check_access(
    rules: tuple[configuration.AccessRule, ...],
    accounts: Items,
    services: Items,
) -> Iterator[diagnostics.Diagnostic]:
    granted: set[tuple[str, str]] = set()
    for position, rule in enumerate(rules):
        place = f"access[{position}]"
        yield from _check_selector(f"{place}.accounts", rule.accounts, accounts)
        yield from _check_selector(f"{place}.services", rule.services, services)
        pairs = set(
            itertools.product(
                accounts.selected_by(rule.accounts),
                services.selected_by(rule.services),
            )
        )
        if pairs and pairs <= granted:
            yield diagnostics.warning(
                place,
                f"{rule.name} grants only what earlier rules grant; remove it.",
            )
        granted |= pairs


def _check_first_match(
    table: str, field: str, rules: tuple[Rule, ...], items: Items
) -> Iterator[diagnostics.Diagnostic]:
    first_rules: dict[str, str] = {}
    earlier_rules: dict[frozenset[object], Rule] = {}
    for position, rule in enumerate(rules):
        place = f"{table}[{position}]"
        selector = getattr(rule, field)
        yield from _check_selector(f"{place}.{field}", selector, items)
        selected = items.selected_by(selector)
        earlier = earlier_rules.setdefault(_normalized(selector), rule)
        if earlier is not rule:
            yield diagnostics.warning(
                place, _duplicate_text(rule, earlier, field)
            )
        elif selected and all(name in first_rules for name in selected):
            names = sorted({first_rules[name] for name in selected})
            yield diagnostics.warning(
                place,
                f"{rule.name} never applies: earlier rules "
                f"({differences.name_some(names)}) match every {items.noun} "
                "that it selects; move it up or remove it.",
            )
        for name in selected:
            first_rules.setdefault(name, rule.name)


def _duplicate_text(rule: Rule, earlier: Rule, field: str) -> str:
    text = f"{rule.name} selects the same {field} as {earlier.name}"
    match rule, earlier:
        case (
            configuration.LimitRule(rate_per_s=rate, burst=burst),
            configuration.LimitRule(rate_per_s=first_rate, burst=first_burst),
        ) if (rate, burst) != (first_rate, first_burst):
            return (
                f"{text} with other limits ({rate:g} per second, burst "
                f"{burst}; {first_rate:g} and {first_burst} apply); keep one "
                "of the two."
            )
        case _:
            return f"{text}, which comes first; keep one of the two."


def _check_spill_selectors(
    source: configuration.Configuration,
) -> Iterator[diagnostics.Diagnostic]:
    # Labels of zones depend on the zone that decides; `spills` matches them.
    implied = {
        "zone": frozenset(zone.name for zone in source.zones),
        "region": frozenset(region.name for region in source.regions),
        "local": frozenset(compiled.DEFAULT_LOCALITIES),
    }
    zones = Items("zone", {}, implied)
    for position, rule in enumerate(source.steering):
        for number, preference in enumerate(rule.spill_order):
            place = f"steering[{position}].spill_order[{number}].zones"
            yield from _check_values(place, preference.zones, zones)


def _check_selector(
    place: str, selector: selectors.Selector, items: Items
) -> Iterator[diagnostics.Diagnostic]:
    yield from _check_values(place, selector, items)
    if not items.selected_by(selector):
        yield diagnostics.warning(
            place,
            f"{selector_text.write(selector)!r} selects no {items.noun}; "
            f"correct the selector, or declare or label the {items.noun}.",
        )


def _check_values(
    place: str, selector: selectors.Selector, items: Items
) -> Iterator[diagnostics.Diagnostic]:
    """Yields values of implied labels that no item has, such as wrong names."""
    for item in selector.requirements:
        if item.key not in items.implied:
            continue
        if item.operator not in _value_operators:
            continue
        existing = items.implied[item.key]
        absent = [value for value in item.values if value not in existing]
        if absent:
            yield diagnostics.warning(
                place,
                f"no {items.noun} has the label {item.key} = "
                f"{differences.name_some(absent)}; correct or remove it.",
            )


def _normalized(selector: selectors.Selector) -> frozenset[object]:
    return frozenset(
        (item.key, item.operator, frozenset(item.values))
        for item in selector.requirements
    )
