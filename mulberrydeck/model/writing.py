"""Writes a configuration as TOML."""

import attrs
import tomlkit

from mulberrydeck.model import configuration
from mulberrydeck.model import loading
from mulberrydeck.model import selector_text
from mulberrydeck.model import selectors


def dumps(config: configuration.Configuration, version: int) -> str:
    """Returns the TOML text of a configuration; `loading.loads` reverses it.

    Args:
        config: The configuration.
        version: Its version in the platform, written as `based_on_version`.
    """
    content = {loading.BASED_ON_VERSION_KEY: version} | to_toml_value(config)
    return tomlkit.dumps(content)


def to_toml_value(value: object) -> object:
    """Returns a part of a configuration in TOML types, without default values.

    Args:
        value: A model object or a value within it.
    """
    match value:
        case selectors.Selector():
            return selector_text.write(value)
        case tuple():
            return [to_toml_value(item) for item in value]
        case dict():
            return dict(value)
        case _ if attrs.has(type(value)):
            return _fields(value)
        case _:
            return value


def _fields(value: object) -> dict[str, object]:
    written = {}
    for field in attrs.fields(type(value)):
        item = getattr(value, field.name)
        if item != _default(field):
            written[field.name] = to_toml_value(item)
    return written


def _default(field: attrs.Attribute) -> object:
    if isinstance(field.default, attrs.Factory):
        return field.default.factory()
    return field.default
