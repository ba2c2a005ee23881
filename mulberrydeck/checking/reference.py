"""Compares a configuration with another version and with what runs under it."""

from collections.abc import Iterator

import attrs

from mulberrydeck.checking import diagnostics
from mulberrydeck.model import configuration
from mulberrydeck.model import differences


@attrs.frozen
class Reference:
    """A version to compare with.

    Attributes:
        configuration: The configuration.
        keyed_accounts: Accounts with a valid key; None if this is unknown.
        vm_zones: Zones of the VMs that the platform lists; empty if they are
            unknown.
    """

    configuration: configuration.Configuration
    keyed_accounts: frozenset[str] | None = None
    vm_zones: frozenset[str] = frozenset()


def changes(
    candidate: configuration.Configuration, reference: Reference
) -> Iterator[diagnostics.Diagnostic]:
    """Yields what differs from the reference.

    Args:
        candidate: The configuration that is checked.
        reference: The version to compare with.
    """
    for change in differences.changes(reference.configuration, candidate):
        yield diagnostics.Diagnostic(
            diagnostics.Kind.CHANGE, change.path, differences.describe(change)
        )


def check(
    candidate: configuration.Configuration, reference: Reference
) -> Iterator[diagnostics.Diagnostic]:
    """Yields warnings about accounts without a key and zones without a VM.

    Accounts and zones that only the candidate declares are left out: a key can
    be issued, and a VM can serve, only once the account or zone is in force.

    Args:
        candidate: The configuration that is checked.
        reference: The version to compare with.
    """
    known_accounts = {item.name for item in reference.configuration.accounts}
    known_zones = {item.name for item in reference.configuration.zones}
    if reference.keyed_accounts is not None:
        for position, account in enumerate(candidate.accounts):
            if account.name in known_accounts - reference.keyed_accounts:
                yield diagnostics.warning(
                    f"accounts[{position}]",
                    f"{account.name} has no valid key; run `mulberrydeck key "
                    f"issue {account.name}` or remove the account.",
                )
    if not reference.vm_zones:
        return
    for position, zone in enumerate(candidate.zones):
        if zone.name in known_zones - reference.vm_zones:
            yield diagnostics.warning(
                f"zones[{position}]",
                f"no VM runs in {zone.name}, so its targets and its part of "
                "the limits are unused; start one or remove the zone.",
            )
    declared_zones = {zone.name for zone in candidate.zones}
    for name in sorted(reference.vm_zones - declared_zones):
        yield diagnostics.warning(
            "zones",
            f"{name} is not declared, but VMs run there; declare it or stop "
            "them.",
        )
