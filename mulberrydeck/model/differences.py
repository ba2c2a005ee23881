"""Compares two configurations item by item."""

from collections.abc import Iterator

import attrs

from mulberrydeck.model import configuration
from mulberrydeck.model import places
from mulberrydeck.model import writing


def compare(
    old: configuration.Configuration, new: configuration.Configuration
) -> tuple[str, ...]:
    """Returns one line for each difference; empty if there is none.

    Args:
        old: The configuration in force.
        new: The configuration that replaces it.
    """
    lines: list[str] = []
    for field in attrs.fields(configuration.Configuration):
        table = field.name
        lines += _compare_tables(
            table, getattr(old, table), getattr(new, table)
        )
    return tuple(lines)


def _compare_tables(
    table: str, old: tuple[object, ...], new: tuple[object, ...]
) -> Iterator[str]:
    old_by_name = {_name(item): item for item in old}
    new_by_name = {_name(item): item for item in new}
    for name in old_by_name:
        if name not in new_by_name:
            yield f"{table} {name}: removed"
    for name, item in new_by_name.items():
        if name not in old_by_name:
            yield f"{table} {name}: added"
        else:
            yield from _compare_items(
                f"{table} {name}", old_by_name[name], item
            )
    if set(old_by_name) == set(new_by_name) and list(old_by_name) != list(
        new_by_name
    ):
        yield f"{table}: order changed"


def _compare_items(item_path: str, old: object, new: object) -> Iterator[str]:
    for field in attrs.fields(type(old)):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before != after:
            yield (
                f"{item_path}: {field.name} "
                f"{writing.to_toml_value(before)!r} -> "
                f"{writing.to_toml_value(after)!r}"
            )


def _name(item: object) -> str:
    if isinstance(item, places.Link):
        return f"{item.source}/{item.destination}"
    return item.name
