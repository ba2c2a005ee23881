"""Text of status reports and explanations."""

from collections.abc import Iterable
from collections.abc import Iterator
import math

import attrs

from mulberrydeck.cli import vm_api
from mulberrydeck.core import gateway

HEADINGS = ("VM", "ZONE", "STATE", "CONFIG", "KEYS", "PLATFORM", "HOLDER")
READY_STATE = "ready"


@attrs.frozen
class Report:
    """Status of several VMs.

    Attributes:
        vms: Status of each VM that responded.
        silent: VMs that were queried and sent no usable response.
        missing: Names of VMs that the platform lists and that did not respond.
    """

    vms: tuple[gateway.Status, ...]
    silent: tuple[vm_api.RequestFailure, ...]
    missing: tuple[str, ...]


def build_report(
    responses: dict[str, gateway.Status | vm_api.RequestFailure],
    listed: Iterable[str],
) -> Report:
    """Returns the report on all responses.

    Args:
        responses: Responses by caller address.
        listed: Names of VMs that the platform lists.
    """
    statuses = [
        response
        for response in responses.values()
        if isinstance(response, gateway.Status)
    ]
    statuses.sort(key=lambda status: (status.zone, status.name))
    failures = [
        response
        for response in responses.values()
        if isinstance(response, vm_api.RequestFailure)
    ]
    responding = {status.name for status in statuses}
    missing = tuple(sorted(set(listed) - responding))
    return Report(tuple(statuses), tuple(failures), missing)


def lines(report: Report, details: bool) -> Iterator[str]:
    """Yields the lines that show a report.

    Args:
        report: The report.
        details: Whether all targets and quotas are shown.
    """
    rows = [HEADINGS] + [_status_row(status) for status in report.vms]
    yield from _table_lines(rows)
    for status in report.vms:
        yield from _anomaly_lines(status)
        if details:
            yield from _detail_lines(status)
    for failure in report.silent:
        yield f"No response: {failure.reason}"
    if report.missing:
        names = ", ".join(report.missing)
        yield f"Listed by the platform, no response: {names}"
    versions = {status.config_version for status in report.vms}
    if len(versions) > 1:
        yield (
            "The VMs differ in their configuration; check again in a few "
            "seconds, then look at those that lag."
        )


def explanation_lines(
    address: str, response: gateway.Explanation | vm_api.RequestFailure
) -> Iterator[str]:
    """Yields the lines that show one VM's explanation.

    Args:
        address: Caller address of the VM.
        response: Its response.
    """
    match response:
        case vm_api.RequestFailure(reason=reason):
            yield f"No response: {reason}"
        case gateway.Explanation():
            verdict = "allowed" if response.allowed else "refused"
            yield f"{address}: {verdict}"
            for step in response.steps:
                yield f"  {step}"
            if response.vm:
                yield f"  VM {response.vm}"
            if response.target:
                yield f"  target {response.target}"


def _status_row(status: gateway.Status) -> tuple[str, ...]:
    return (
        status.name,
        status.zone,
        "leaving" if status.leaving else "serving",
        str(status.config_version),
        str(status.keys_version),
        _age_text(status.platform_age_s),
        status.zone_holder or "-",
    )


def _table_lines(rows: list[tuple[str, ...]]) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        yield "  ".join(cells).rstrip()


def _age_text(age_s: float) -> str:
    return "never" if math.isinf(age_s) else f"{age_s:.0f} s ago"


def _anomaly_lines(status: gateway.Status) -> Iterator[str]:
    unreachable = [peer.name for peer in status.peers if not peer.alive]
    if unreachable:
        yield (
            f"{status.name}: no heartbeat from {', '.join(sorted(unreachable))}"
        )
    for target in status.targets:
        if target.owned and target.state != READY_STATE:
            yield _target_line(status, target)


def _detail_lines(status: gateway.Status) -> Iterator[str]:
    for target in status.targets:
        if target.owned and target.state == READY_STATE:
            yield _target_line(status, target)
    for quota in status.quotas:
        yield (
            f"{status.name}: quota {quota.resource} owns {quota.own_units}, "
            f"lent {quota.lent_units}, borrowed {quota.borrowed_units}, "
            f"{quota.tokens:.1f} tokens"
        )


def _target_line(status: gateway.Status, target: gateway.TargetStatus) -> str:
    return (
        f"{status.name}: target {target.name} of {target.service} is "
        f"{target.state}, {target.used_slots} of {target.usable_slots} slots "
        "used"
    )
