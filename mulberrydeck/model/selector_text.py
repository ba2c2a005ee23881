"""Text form of label selectors.

A selector is a list of requirements, separated by commas, that must all hold:
`key = value`, `key != value`, `key in (a, b)`, `key not in (a, b)`, `key` (the
label exists) and `!key` (it does not). The empty text selects everything.

Example:
    >>> from mulberrydeck.model import selector_text
    >>> selector = selector_text.parse("tier in (gold, silver), !suspended")
    >>> selector.matches({"tier": "gold"})
    True
"""

import re

from mulberrydeck import errors
from mulberrydeck.model import selectors

_WORD_PATTERN = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_word = re.compile(_WORD_PATTERN)
_equality = re.compile(rf"({_WORD_PATTERN})\s*(!=|==|=)\s*({_WORD_PATTERN})")
_membership = re.compile(rf"({_WORD_PATTERN})\s+(in|not\s+in)\s*\(([^()]*)\)")
_existence = re.compile(rf"(!?)\s*({_WORD_PATTERN})")
_separator = re.compile(r",(?![^()]*\))")


def is_word(text: str) -> bool:
    """Returns whether a text can be a label key or value."""
    return _word.fullmatch(text) is not None


def parse(text: str) -> selectors.Selector:
    """Returns the selector that a text describes.

    Args:
        text: Requirements separated by commas; empty selects everything.

    Raises:
        errors.ConfigurationError: The text is malformed.
    """
    if not text.strip():
        return selectors.Selector()
    parts = _separator.split(text)
    return selectors.Selector(tuple(_parse_requirement(part) for part in parts))


def write(selector: selectors.Selector) -> str:
    """Returns the text of a selector; `parse` reverses it."""
    return ", ".join(_write_requirement(item) for item in selector.requirements)


def _parse_requirement(text: str) -> selectors.Requirement:
    stripped = text.strip()
    if match := _equality.fullmatch(stripped):
        key, symbol, value = match.groups()
        operator = selectors.Operator.IN
        if symbol == "!=":
            operator = selectors.Operator.NOT_IN
        return selectors.Requirement(key, operator, (value,))
    if match := _membership.fullmatch(stripped):
        return _parse_membership(*match.groups())
    if match := _existence.fullmatch(stripped):
        negated, key = match.groups()
        operator = selectors.Operator.EXISTS
        if negated:
            operator = selectors.Operator.NOT_EXISTS
        return selectors.Requirement(key, operator)
    raise errors.ConfigurationError(
        f"{stripped!r} is not a selector requirement; write `key = value`, "
        "`key != value`, `key in (a, b)`, `key not in (a, b)`, `key` or `!key`."
    )


def _parse_membership(
    key: str, keyword: str, value_list: str
) -> selectors.Requirement:
    values = tuple(value.strip() for value in value_list.split(","))
    for value in values:
        if not is_word(value):
            raise errors.ConfigurationError(
                f"{value!r} is not a label value in "
                f"`{key} {keyword} ({value_list})`; use letters, digits and "
                "inner `.`, `_`, `/` or `-`."
            )
    operator = selectors.Operator.IN
    if keyword != "in":
        operator = selectors.Operator.NOT_IN
    return selectors.Requirement(key, operator, values)


def _write_requirement(item: selectors.Requirement) -> str:
    match item.operator:
        case selectors.Operator.IN | selectors.Operator.NOT_IN:
            return _write_membership(item)
        case selectors.Operator.EXISTS:
            return item.key
        case selectors.Operator.NOT_EXISTS:
            return f"!{item.key}"


def _write_membership(item: selectors.Requirement) -> str:
    negated = item.operator == selectors.Operator.NOT_IN
    if len(item.values) == 1:
        symbol = "!=" if negated else "="
        return f"{item.key} {symbol} {item.values[0]}"
    keyword = "not in" if negated else "in"
    return f"{item.key} {keyword} ({', '.join(item.values)})"
