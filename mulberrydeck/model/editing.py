"""Edits of labels and draining states, made by operators at run time."""

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
    config: configuration.Configuration,
    kind: str,
    name: str,
    changes: dict[str, str | None],
) -> configuration.Configuration:
    """Returns the configuration with labels of one item changed.

    Args:
        config: The configuration.
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
    item = _find_item(config, table, name)
    merged = item.labels | changes
    labels = {key: value for key, value in merged.items() if value is not None}
    return _replace_item(config, table, attrs.evolve(item, labels=labels))


def set_draining(
    config: configuration.Configuration, target: str, draining: bool
) -> configuration.Configuration:
    """Returns the configuration with one target's draining state changed.

    Args:
        config: The configuration.
        target: Name of the target.
        draining: Whether it receives no new requests.

    Raises:
        errors.ConfigurationError: The target does not exist.
    """
    item = _find_item(config, "targets", target)
    return _replace_item(
        config, "targets", attrs.evolve(item, draining=draining)
    )


def _check_label(key: str, value: str | None) -> None:
    for word in (key, value):
        if word is not None and not selector_text.is_word(word):
            raise errors.ConfigurationError(
                f"{word!r} is not a label key or value; use letters, digits "
                "and inner `.`, `_`, `/` or `-`."
            )


def _find_item(
    config: configuration.Configuration, table: str, name: str
) -> object:
    for item in getattr(config, table):
        if item.name == name:
            return item
    raise errors.ConfigurationError(
        f"{name!r} is not declared in [[{table}]]; see `mulberrydeck get`."
    )


def _replace_item(
    config: configuration.Configuration, table: str, item: object
) -> configuration.Configuration:
    items = tuple(
        item if other.name == item.name else other
        for other in getattr(config, table)
    )
    return attrs.evolve(config, **{table: items})
