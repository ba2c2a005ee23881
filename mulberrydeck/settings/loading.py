"""Loads and validates settings files."""

import pathlib
import tomllib
from typing import TypeVar

import attrs
import cattrs
import cattrs.errors

from mulberrydeck import errors
from mulberrydeck.settings import declarations

T = TypeVar("T")


def load(path: pathlib.Path) -> declarations.Settings:
    """Returns the validated settings of a TOML file.

    Raises:
        errors.SettingsError: The file is missing or malformed, a key is unknown
            or missing, or a value is of a wrong type or out of range.
    """
    return load_as(path, declarations.Settings, "docs/settings.md")


def load_as(path: pathlib.Path, declared: type[T], reference_page: str) -> T:
    """Returns the validated content of a TOML file.

    Args:
        path: The file.
        declared: attrs class that declares the keys.
        reference_page: Path of the page that documents the keys, for messages.

    Raises:
        errors.SettingsError: The file is missing or malformed, a key is unknown
            or missing, or a value is of a wrong type or out of range.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: cannot be read ({error.strerror}); check the path."
        ) from error
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(
            f"{path}: is not valid TOML ({error}); correct the line."
        ) from error
    return structure_as(raw, str(path), declared, reference_page)


def structure(raw: dict[str, object], source: str) -> declarations.Settings:
    """Returns validated settings from decoded TOML.

    Args:
        raw: Decoded TOML.
        source: Name of the source for messages.

    Raises:
        errors.SettingsError: A key is unknown or missing, or a value is of a
            wrong type or out of range.
    """
    return structure_as(raw, source, declarations.Settings, "docs/settings.md")


def structure_as(
    raw: dict[str, object], source: str, declared: type[T], reference_page: str
) -> T:
    """Returns validated content from decoded TOML.

    Args:
        raw: Decoded TOML.
        source: Name of the source for messages.
        declared: attrs class that declares the keys.
        reference_page: Path of the page that documents the keys, for messages.

    Raises:
        errors.SettingsError: A key is unknown or missing, or a value is of a
            wrong type or out of range.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        loaded = converter.structure(raw, declared)
    except cattrs.errors.BaseValidationError as error:
        causes = "; ".join(cattrs.transform_error(error))
        raise errors.SettingsError(
            f"{source}: {causes}; see {reference_page} for keys and types."
        ) from error
    _check_durations(loaded, source)
    return loaded


def _check_durations(loaded: object, source: str) -> None:
    for field in attrs.fields(type(loaded)):
        value = getattr(loaded, field.name)
        if field.metadata.get("unit") == "s" and value <= 0:
            raise errors.SettingsError(
                f"{source}: {field.name} = {value} must be above 0; set a "
                "duration in seconds."
            )
