"""Converts decoded TOML to model classes with strict type checks."""

import types

import attrs
import cattrs
import cattrs.errors

from mulberrydeck import errors
from mulberrydeck.model import configuration
from mulberrydeck.model import findings
from mulberrydeck.model import selector_text
from mulberrydeck.model import selectors

_type_descriptions = types.MappingProxyType(
    {str: "a string", int: "a whole number", bool: "true or false"}
)


class ValueRejectedError(errors.ConfigurationError):
    """A value has the wrong type or is malformed.

    Args:
        value: The invalid value.
        remedy: What to write instead.
    """

    def __init__(self, value: object, remedy: str) -> None:
        super().__init__(remedy)
        self.value = value
        self.remedy = remedy


def structure(
    raw: dict[str, object],
) -> configuration.Configuration | list[findings.Finding]:
    """Returns the configuration, or all problems of types and keys.

    Args:
        raw: Decoded TOML.
    """
    try:
        return _converter.structure(raw, configuration.Configuration)
    except cattrs.errors.BaseValidationError as error:
        return _findings_of(error, "")


def _strict_hook(kind: type) -> object:
    def structure_strictly(value: object, _: type) -> object:
        if type(value) is not kind:
            raise ValueRejectedError(
                value, f"write {_type_descriptions[kind]}."
            )
        return value

    return structure_strictly


def _structure_number(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueRejectedError(value, "write a number.")
    return float(value)


def _structure_selector(value: object, _: type) -> selectors.Selector:
    if not isinstance(value, str):
        raise ValueRejectedError(value, "write a selector as a string.")
    try:
        return selector_text.parse(value)
    except errors.ConfigurationError as error:
        raise ValueRejectedError(value, str(error)) from error


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in _type_descriptions:
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(selectors.Selector, _structure_selector)
    return converter


def _findings_of(error: Exception, path: str) -> list[findings.Finding]:
    match error:
        case cattrs.errors.ClassValidationError():
            noted, without_note = error.group_exceptions()
            with_suffix = [(inner, f".{note.name}") for inner, note in noted]
        case cattrs.errors.IterableValidationError():
            noted, without_note = error.group_exceptions()
            with_suffix = [(inner, f"[{note.index}]") for inner, note in noted]
        case _:
            return [_finding_of(error, path)]
    problems = []
    for inner, suffix in with_suffix + [(other, "") for other in without_note]:
        problems.extend(_findings_of(inner, path + suffix))
    return problems


def _finding_of(error: Exception, path: str) -> findings.Finding:
    key = path.removeprefix(".")
    match error:
        case ValueRejectedError():
            return findings.Finding(key, error.value, error.remedy)
        case cattrs.errors.ForbiddenExtraKeysError():
            return _unknown_keys_finding(error, key)
        case KeyError():
            return findings.Finding(key, None, "is missing; add it.")
        case _:
            return findings.Finding(
                key, None, "has the wrong form; see docs/configuration.md."
            )


def _unknown_keys_finding(
    error: cattrs.errors.ForbiddenExtraKeysError, key: str
) -> findings.Finding:
    unknown = ", ".join(sorted(error.extra_fields))
    known = ", ".join(field.name for field in attrs.fields(error.cl))
    return findings.Finding(
        f"{key}.{unknown}".removeprefix("."),
        None,
        f"is an unknown key; use one of {known}.",
    )


_converter = _make_converter()
