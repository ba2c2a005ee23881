"""Small edits that operators make while traffic runs."""

import attrs

from mulberrydeck import errors
from mulberrydeck.model import configuration
from mulberrydeck.model import selector_text

LABELLED_TABLES = {
    "region": "regions",
    "zone": "zones",
    "service": "services",
    "target": "targets",
    "account": "accounts",
}


def set_labels(
    edited: configuration.Configuration,
    kind: str,
    name: str,
    changes: dict[str, str | None],
) -> configuration.Configuration:
    """Returns the configuration with labels of one item changed.

    Args:
        edited: The configuration.
        kind: One of `LABELLED_TABLES`.
        name: Name of the item.
        changes: New values; None removes a label.

    Raises:
        errors.ConfigurationError: The item does not exist or a label is
            malformed.
    """
    for key, value in changes.items():
        _check_label(key, value)
    table = LABELLED_TABLES[kind]
    item = _find(edited, table, name)
    merged = item.labels | changes
    labels = {key: value for key, value in merged.items() if value is not None}
    return _replace(edited, table, attrs.evolve(item, labels=labels))


def set_draining(
    edited: configuration.Configuration, target: str, draining: bool
) -> configuration.Configuration:
    """Returns the configuration with one target's draining mark changed.

    Args:
        edited: The configuration.
        target: Name of the target.
        draining: Whether it gets no new work.

    Raises:
        errors.ConfigurationError: The target does not exist.
    """
    item = _find(edited, "targets", target)
    return _replace(edited, "targets", attrs.evolve(item, draining=draining))


def _check_label(key: str, value: str | None) -> None:
    for word in (key, value):
        if word is not None and not selector_text.is_word(word):
            raise errors.ConfigurationError(
                f"{word!r} is no label key or value; use letters, digits and "
                "inner `.`, `_`, `/` or `-`."
            )


def _find(edited: configuration.Configuration, table: str, name: str) -> object:
    for item in getattr(edited, table):
        if item.name == name:
            return item
    raise errors.ConfigurationError(
        f"{name!r} is not declared in [[{table}]]; see `mulberrydeck get`."
    )


def _replace(
    edited: configuration.Configuration, table: str, item: object
) -> configuration.Configuration:
    items = tuple(
        item if other.name == item.name else other
        for other in getattr(edited, table)
    )
    return attrs.evolve(edited, **{table: items})
