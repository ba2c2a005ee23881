"""What a check of a configuration reports."""

import enum
import re

import attrs

from mulberrydeck.keys import secrets


class Kind(enum.Enum):
    """Kind of a diagnostic; reports list them in this order.

    An `ERROR` makes every VM reject the configuration. A `WARNING` marks an
    entry without effect or a contradiction. A `CHANGE` is a difference from
    another version and no mistake.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


@attrs.frozen
class Diagnostic:
    """One finding about a configuration.

    Attributes:
        kind: Kind of the finding.
        place: Path such as `services[0].routes[2].path_prefix`; for a change,
            table and name, such as `limits gold`.
        text: What is wrong and what to do, or what changed.
    """

    kind: Kind
    place: str
    text: str


def warning(place: str, text: str) -> Diagnostic:
    """Returns a warning."""
    return Diagnostic(Kind.WARNING, place, text)


def line(diagnostic: Diagnostic) -> str:
    """Returns a diagnostic as one line of text."""
    return f"{diagnostic.kind.value}: {diagnostic.place}: {diagnostic.text}"


def redact(diagnostic: Diagnostic) -> Diagnostic:
    """Returns a diagnostic without the secrets of keys.

    A configuration has no field for keys, but an operator may paste one.
    """
    return Diagnostic(
        diagnostic.kind,
        secrets.redact(diagnostic.place),
        secrets.redact(diagnostic.text),
    )


def sort_key(diagnostic: Diagnostic) -> tuple[object, ...]:
    """Returns a key that sorts by kind and place, positions by their number."""
    kinds = list(Kind)
    parts = re.split(r"(\d+)", diagnostic.place)
    # `re.split` returns texts at even and digits at odd positions, so that
    # parts at the same position have the same type.
    natural = [int(part) if part.isdecimal() else part for part in parts]
    return (kinds.index(diagnostic.kind), natural, diagnostic.text)
