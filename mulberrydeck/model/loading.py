"""Reads and checks configuration files."""

import pathlib
import tomllib

import attrs

from mulberrydeck import errors
from mulberrydeck.model import checks
from mulberrydeck.model import configuration
from mulberrydeck.model import documents
from mulberrydeck.model import findings
from mulberrydeck.model import structuring

BASED_ON_VERSION_KEY = "based_on_version"


@attrs.frozen
class ConfigurationFile:
    """Content of a configuration file.

    Attributes:
        configuration: The checked configuration.
        based_on_version: Version of the stored configuration that it was
            derived from, or None if the file does not state it.
    """

    configuration: configuration.Configuration
    based_on_version: int | None = None


def load(path: pathlib.Path) -> configuration.Configuration:
    """Returns the checked configuration of a TOML file.

    Args:
        path: The file.

    Raises:
        errors.ConfigurationError: See `load_file`.
    """
    return load_file(path).configuration


def loads(text: str, source: str) -> configuration.Configuration:
    """Returns the checked configuration of a TOML text.

    Args:
        text: The TOML text.
        source: Name of the source for messages.

    Raises:
        errors.ConfigurationError: See `load_file`.
    """
    return parse(text, source).configuration


def load_file(path: pathlib.Path) -> ConfigurationFile:
    """Returns the checked content of a TOML file.

    Args:
        path: The file.

    Raises:
        errors.ConfigurationError: The file is missing or malformed, a key is
            unknown or missing, or a value has the wrong type, is out of range
            or inconsistent with another. The message lists all problems, one
            per line. If the file could be read as TOML, it is a
            `findings.InvalidConfigurationError`.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigurationError(
            f"{path}: cannot be read ({error}); check path and encoding."
        ) from error
    return parse(text, str(path))


def parse(text: str, source: str) -> ConfigurationFile:
    """Returns the checked content of a TOML text.

    Args:
        text: The TOML text.
        source: Name of the source for messages.

    Raises:
        errors.ConfigurationError: See `load_file`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.ConfigurationError(
            f"{source}: is not valid TOML ({error}); correct the line."
        ) from error
    based_on_version = _pop_based_on_version(raw, source)
    structured = structuring.structure(raw)
    if isinstance(structured, list):
        raise findings.error_of(source, structured)
    verify(structured, source)
    return ConfigurationFile(structured, based_on_version)


def decode(content: bytes) -> configuration.Configuration:
    """Returns the configuration of an encoded document.

    Args:
        content: What `documents.encode` wrote.

    Raises:
        errors.ConfigurationError: The content is malformed.
    """
    return documents.decode(content).configuration


def verify(config: configuration.Configuration, source: str) -> None:
    """Checks values and references of a configuration.

    Args:
        config: The configuration.
        source: Name of the source for messages.

    Raises:
        errors.ConfigurationError: A value is out of range or inconsistent.
    """
    problems = checks.check(config)
    if problems:
        raise findings.error_of(source, problems)


def _pop_based_on_version(raw: dict[str, object], source: str) -> int | None:
    version = raw.pop(BASED_ON_VERSION_KEY, None)
    if version is None or (type(version) is int and version >= 0):
        return version
    finding = findings.Finding(
        BASED_ON_VERSION_KEY,
        version,
        "write the version that `mulberrydeck get` printed.",
    )
    raise findings.error_of(source, [finding])
