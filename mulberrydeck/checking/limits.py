"""Finds limits whose values contradict each other."""

from collections.abc import Iterator
import math

import attrs

from mulberrydeck.checking import diagnostics
from mulberrydeck.model import compiled
from mulberrydeck.settings import declarations

# The file does not contain the VMs' settings, so their default is assumed.
ADMISSION_LIFETIME_S = attrs.fields(
    declarations.Settings
).admission_lifetime_s.default


def check(
    active: compiled.CompiledConfiguration,
) -> Iterator[diagnostics.Diagnostic]:
    """Yields a warning for each burst that is too small for its rate.

    VMs subtract from the burst what the rate admits within one admission
    lifetime (see `core.shares`), so that targets see at most the burst.

    Args:
        active: The configuration.
    """
    for position, rule in enumerate(active.source.limits):
        admitted = rule.rate_per_s * ADMISSION_LIFETIME_S
        if admitted > rule.burst:
            needed = math.floor(admitted) + 1
            yield diagnostics.warning(
                f"limits[{position}].burst",
                f"{rule.burst} is less than the rate admits within "
                f"{ADMISSION_LIFETIME_S:g} s ({admitted:g}), so requests are "
                f"admitted one at a time; use at least {needed}.",
            )
