"""All findings about a configuration, in the order of a report."""

from collections.abc import Iterable

import attrs

from mulberrydeck.checking import declarations
from mulberrydeck.checking import diagnostics
from mulberrydeck.checking import limits
from mulberrydeck.checking import reference as reference_module
from mulberrydeck.checking import routes
from mulberrydeck.checking import rules
from mulberrydeck.checking import spills
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import findings

_checks = (
    declarations.check,
    limits.check,
    routes.check,
    rules.check,
    spills.check,
)


@attrs.frozen
class Report:
    """Findings about one configuration.

    Attributes:
        diagnostics: All findings, sorted.
    """

    diagnostics: tuple[diagnostics.Diagnostic, ...]

    def count(self, kind: diagnostics.Kind) -> int:
        """Returns the number of findings of a kind."""
        return sum(item.kind == kind for item in self.diagnostics)

    def is_clean(self) -> bool:
        """Returns whether there is no error and no warning."""
        return all(
            item.kind == diagnostics.Kind.CHANGE for item in self.diagnostics
        )


def of_invalid(problems: Iterable[findings.Finding]) -> Report:
    """Returns the report on a configuration that VMs reject.

    It contains no warnings, since these follow references that may be wrong.

    Args:
        problems: What the validation found.
    """
    return _report(
        diagnostics.Diagnostic(
            diagnostics.Kind.ERROR, findings.location(problem), problem.remedy
        )
        for problem in problems
    )


def of_valid(
    candidate: configuration.Configuration,
    reference: reference_module.Reference | None = None,
) -> Report:
    """Returns the report on a valid configuration.

    Args:
        candidate: The configuration.
        reference: Version to compare with, if any.
    """
    active = compiled.compile_configuration(candidate, 0)
    found = [item for check in _checks for item in check(active)]
    if reference is not None:
        found += reference_module.check(candidate, reference)
        found += reference_module.changes(candidate, reference)
    return _report(found)


def _report(found: Iterable[diagnostics.Diagnostic]) -> Report:
    redacted = map(diagnostics.redact, found)
    return Report(tuple(sorted(redacted, key=diagnostics.sort_key)))
