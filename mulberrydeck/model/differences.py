"""Compares two configurations item by item."""

from collections.abc import Iterator

import attrs

from mulberrydeck.model import configuration
from mulberrydeck.model import places
from mulberrydeck.model import writing

# Longer values are described by the entries that differ, since a zone may
# declare thousands of client blocks.
MAX_VALUE_LENGTH = 200
MAX_NAMED_ENTRIES = 5


@attrs.frozen
class Added:
    """An item that only the new configuration declares.

    Attributes:
        path: Table and name, such as `zones north-a`.
    """

    path: str


@attrs.frozen
class Removed:
    """An item that only the old configuration declares.

    Attributes:
        path: Table and name.
    """

    path: str


@attrs.frozen
class Changed:
    """A field with different values.

    Attributes:
        path: Table and name of the item.
        field: Name of the field.
        old: Value in the old configuration, in TOML types.
        new: Value in the new configuration, in TOML types.
    """

    path: str
    field: str
    old: object
    new: object


@attrs.frozen
class Reordered:
    """A table whose common items have another order.

    Attributes:
        path: Name of the table.
    """

    path: str


Change = Added | Removed | Changed | Reordered


def compare(
    old: configuration.Configuration, new: configuration.Configuration
) -> tuple[str, ...]:
    """Returns one line for each difference; empty if there is none.

    Args:
        old: The configuration in force.
        new: The configuration that replaces it.
    """
    return tuple(
        f"{change.path}: {describe(change)}" for change in changes(old, new)
    )


def changes(
    old: configuration.Configuration, new: configuration.Configuration
) -> Iterator[Change]:
    """Yields all differences, table by table.

    Args:
        old: The configuration in force.
        new: The configuration that replaces it.
    """
    for field in attrs.fields(configuration.Configuration):
        table = field.name
        yield from _compare_tables(
            table, getattr(old, table), getattr(new, table)
        )


def describe(change: Change) -> str:
    """Returns what changed, without the path."""
    match change:
        case Added():
            return "added"
        case Removed():
            return "removed"
        case Reordered():
            return "order changed"
        case Changed(field=field, old=old, new=new):
            return f"{field} {_describe_values(old, new)}"


def _compare_tables(
    table: str, old: tuple[object, ...], new: tuple[object, ...]
) -> Iterator[Change]:
    old_by_name = {_name(item): item for item in old}
    new_by_name = {_name(item): item for item in new}
    for name in old_by_name:
        if name not in new_by_name:
            yield Removed(f"{table} {name}")
    for name, item in new_by_name.items():
        if name not in old_by_name:
            yield Added(f"{table} {name}")
        else:
            yield from _compare_items(
                f"{table} {name}", old_by_name[name], item
            )
    common_in_old = [name for name in old_by_name if name in new_by_name]
    common_in_new = [name for name in new_by_name if name in old_by_name]
    if common_in_old != common_in_new:
        yield Reordered(table)


def _compare_items(
    item_path: str, old: object, new: object
) -> Iterator[Change]:
    for field in attrs.fields(type(old)):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before == after:
            continue
        if isinstance(old, configuration.Service) and field.name == "routes":
            yield from _compare_tables(f"{item_path} routes", before, after)
        else:
            yield Changed(
                item_path,
                field.name,
                writing.to_toml_value(before),
                writing.to_toml_value(after),
            )


def _describe_values(old: object, new: object) -> str:
    old_text, new_text = repr(old), repr(new)
    is_long = max(len(old_text), len(new_text)) > MAX_VALUE_LENGTH
    match old, new:
        case (list(), list()) if is_long:
            return _describe_entries(
                [str(entry) for entry in old], [str(entry) for entry in new]
            )
        case (dict(), dict()) if is_long:
            return _describe_entries(
                [f"{key}={value}" for key, value in old.items()],
                [f"{key}={value}" for key, value in new.items()],
            )
        case _:
            return f"{old_text} -> {new_text}"


def _describe_entries(old: list[str], new: list[str]) -> str:
    old_entries, new_entries = set(old), set(new)
    parts = []
    for word, entries in (
        ("added", [entry for entry in new if entry not in old_entries]),
        ("removed", [entry for entry in old if entry not in new_entries]),
    ):
        if entries:
            parts.append(f"{word} {name_some(entries)}")
    return ", ".join(parts) or "order changed"


def name_some(entries: list[str]) -> str:
    """Returns the first entries as text, with the number of the others."""
    named = ", ".join(entries[:MAX_NAMED_ENTRIES])
    others = len(entries) - MAX_NAMED_ENTRIES
    return f"{named} and {others} more" if others > 0 else named


def _name(item: object) -> str:
    if isinstance(item, places.Link):
        return f"{item.source}/{item.destination}"
    return item.name
