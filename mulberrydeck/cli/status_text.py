"""Text of status reports and explanations."""

from collections.abc import Iterable
from collections.abc import Iterator
import math

import attrs

from mulberrydeck.cli import vm_api
from mulberrydeck.core import gateway

HEADINGS = ("VM", "ZONE", "STATE", "CONFIG", "KEYS", "PLATFORM", "HOLDER")
READY = "ready"


@attrs.frozen
class Report:
    """Status of several VMs.

    Attributes:
        vms: Status of each VM that answered.
        silent: VMs that were asked and did not answer.
        missing: Names of VMs that the platform lists and that did not answer.
    """

    vms: tuple[gateway.Status, ...]
    silent: tuple[vm_api.RequestFailure, ...]
    missing: tuple[str, ...]


def report_of(
    answers: dict[str, gateway.Status | vm_api.RequestFailure],
    listed: Iterable[str],
) -> Report:
    """Returns the report of all answers.

    Args:
        answers: Answers by caller address.
        listed: Names of VMs that the platform lists.
    """
    statuses = [
        answer
        for answer in answers.values()
        if isinstance(answer, gateway.Status)
    ]
    statuses.sort(key=lambda status: (status.zone, status.name))
    silent = [
        answer
        for answer in answers.values()
        if isinstance(answer, vm_api.RequestFailure)
    ]
    heard = {status.name for status in statuses}
    missing = tuple(sorted(set(listed) - heard))
    return Report(tuple(statuses), tuple(silent), missing)


def lines(report: Report, details: bool) -> Iterator[str]:
    """Yields the lines that show a report.

    Args:
        report: The report.
        details: Whether all targets and quotas are shown.
    """
    rows = [HEADINGS] + [_row(status) for status in report.vms]
    yield from _table(rows)
    for status in report.vms:
        yield from _notable(status)
        if details:
            yield from _details(status)
    for silent in report.silent:
        yield f"No answer: {silent.reason}"
    if report.missing:
        names = ", ".join(report.missing)
        yield f"Listed by the platform, not heard: {names}"
    versions = {status.config_version for status in report.vms}
    if len(versions) > 1:
        yield (
            "The VMs differ in their configuration; ask again in a few "
            "seconds, then look at those that lag."
        )


def explanation_lines(
    address: str, answer: gateway.Explanation | vm_api.RequestFailure
) -> Iterator[str]:
    """Yields the lines that show one VM's explanation.

    Args:
        address: Caller address of the VM.
        answer: What it said.
    """
    match answer:
        case vm_api.RequestFailure(reason=reason):
            yield f"No answer: {reason}"
        case gateway.Explanation():
            verdict = "allowed" if answer.allowed else "refused"
            yield f"{address}: {verdict}"
            for step in answer.steps:
                yield f"  {step}"
            if answer.vm:
                yield f"  VM {answer.vm}"
            if answer.target:
                yield f"  target {answer.target}"


def _row(status: gateway.Status) -> tuple[str, ...]:
    return (
        status.name,
        status.zone,
        "leaving" if status.leaving else "serving",
        str(status.config_version),
        str(status.keys_version),
        _age_text(status.platform_age_s),
        status.zone_holder or "-",
    )


def _table(rows: list[tuple[str, ...]]) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        yield "  ".join(cells).rstrip()


def _age_text(age_s: float) -> str:
    return "never" if math.isinf(age_s) else f"{age_s:.0f} s ago"


def _notable(status: gateway.Status) -> Iterator[str]:
    silent = [peer.name for peer in status.peers if not peer.alive]
    if silent:
        yield f"{status.name}: not heard from {', '.join(sorted(silent))}"
    for target in status.targets:
        if target.owned and target.state != READY:
            yield _target_text(status, target)


def _details(status: gateway.Status) -> Iterator[str]:
    for target in status.targets:
        if target.owned and target.state == READY:
            yield _target_text(status, target)
    for quota in status.quotas:
        yield (
            f"{status.name}: quota {quota.resource} owns {quota.own_units}, "
            f"lent {quota.lent_units}, borrowed {quota.borrowed_units}, "
            f"{quota.tokens:.1f} tokens"
        )


def _target_text(status: gateway.Status, target: gateway.TargetStatus) -> str:
    return (
        f"{status.name}: target {target.name} of {target.service} is "
        f"{target.state}, {target.used_slots} of {target.usable_slots} slots "
        "used"
    )
