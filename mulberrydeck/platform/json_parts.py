"""Splits encoded JSON containers without decoding what they hold.

A decoder refuses a whole document for one value that it cannot read, such as a
half of a surrogate pair or very deep nesting. Split into their parts, the other
values of a list can still be read.
"""

from collections.abc import Iterator
import re

# A complete string, or a character that separates values.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)


class MalformedContainerError(Exception):
    """The text is not a JSON array or object that has an end."""


def elements(array: bytes) -> list[bytes]:
    """Returns the encoded elements of an encoded array.

    Raises:
        MalformedContainerError: The text is not an array.
    """
    if not array.lstrip().startswith(b"["):
        raise MalformedContainerError("not an array")
    return list(_parts(array))


def members(container: bytes) -> dict[bytes, bytes]:
    """Returns the encoded values of an encoded object by encoded name.

    Raises:
        MalformedContainerError: The text is not an object.
    """
    if not container.lstrip().startswith(b"{"):
        raise MalformedContainerError("not an object")
    values = {}
    for part in _parts(container):
        member = _MEMBER.match(part)
        if member is None:
            raise MalformedContainerError("a member has no name")
        values[member.group(1)] = part[member.end() :].strip()
    return values


def _parts(container: bytes) -> Iterator[bytes]:
    """Yields what stands between the commas of the outermost container.

    Raises:
        MalformedContainerError: The container has no end.
    """
    depth = 0
    start = 0
    for token in _TOKEN.finditer(container):
        match token.group()[:1]:
            case b"[" | b"{":
                depth += 1
                if depth == 1:
                    start = token.end()
            case b"]" | b"}":
                depth -= 1
                if depth == 0:
                    last = container[start : token.start()].strip()
                    if last:
                        yield last
                    return
            case b"," if depth == 1:
                yield container[start : token.start()].strip()
                start = token.end()
    raise MalformedContainerError("the container has no end")
