"""Label selectors: equality, set membership and existence."""

import enum

import attrs


class Operator(enum.Enum):
    """How a requirement compares a label."""

    IN = "in"
    NOT_IN = "not in"
    EXISTS = "exists"
    NOT_EXISTS = "not exists"


@attrs.frozen
class Requirement:
    """One condition on one label.

    Attributes:
        key: Label key.
        operator: Comparison; equality is `IN` with one value.
        values: Values to compare with; empty for existence checks.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: dict[str, str]) -> bool:
        """Returns whether the labels meet this requirement."""
        match self.operator:
            case Operator.IN:
                return labels.get(self.key) in self.values
            case Operator.NOT_IN:
                return labels.get(self.key) not in self.values
            case Operator.EXISTS:
                return self.key in labels
            case Operator.NOT_EXISTS:
                return self.key not in labels


@attrs.frozen
class Selector:
    """A conjunction of requirements; the empty selector matches all.

    Attributes:
        requirements: Conditions that must all hold.
    """

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: dict[str, str]) -> bool:
        """Returns whether the labels meet all requirements."""
        return all(item.matches(labels) for item in self.requirements)
