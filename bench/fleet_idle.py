"""Measures the control-plane overhead of fleets without callers.

Run `python -m bench.fleet_idle`, which starts real processes.
"""

import os
import pathlib
import tempfile
import time

import attrs

from standins import deployments
from standins import fleet
from standins import http_client
from standins import waiting

SETTLE_S = 6.0
WINDOW_S = 8.0
START_TIMEOUT_S = 60.0
# VMs in each zone, by number of VMs.
SIZES = {10: (2, 2, 2, 2, 1, 1), 20: (4, 4, 4, 4, 2, 2), 30: (5,) * 6}


@attrs.frozen
class Sample:
    """Counters of a fleet at one time.

    Attributes:
        at_s: Monotonic time, in seconds.
        processor_s: Processor time of all VMs.
        messages: Peer messages sent and received by all VMs.
        sent_bytes: Bytes of peer messages sent by all VMs.
        calls: Calls of the platform, by kind.
    """

    at_s: float
    processor_s: float
    messages: float
    sent_bytes: float
    calls: dict[str, int]


@attrs.frozen
class Row:
    """Figures of one size, per VM and second unless stated otherwise.

    Attributes:
        vms: Number of VMs.
        messages: Peer messages sent and received.
        sent_bytes: Bytes of peer messages sent.
        processor_percent: Processor time, in percent of a core.
        reads: Reads of the platform, all VMs together.
        watches: Watch calls, all VMs together.
        resident_mb: Largest resident memory of a VM, in megabytes.
    """

    vms: int
    messages: float
    sent_bytes: float
    processor_percent: float
    reads: float
    watches: float
    resident_mb: float


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


def read_metrics(address: str) -> dict[str, float]:
    """Returns the metrics of a VM, by name and labels."""
    response = http_client.call(address, "GET", "/metrics")
    metrics = {}
    for line in response.body.decode().splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            metrics[name] = float(value)
    return metrics


def sample(running: fleet.Fleet) -> Sample:
    """Reads the counters of all VMs and of the platform."""
    messages = 0.0
    sent_bytes = 0.0
    for name in running.vms:
        address = running.layout.vm_addresses(name).caller
        metrics = read_metrics(address)
        prefix = "mulberrydeck_peer_"
        for direction in ("in", "out"):
            key = f'{prefix}messages_total{{direction="{direction}"}}'
            messages += metrics[key]
        sent_bytes += metrics[f'{prefix}bytes_total{{direction="out"}}']
    counters = running.stand_ins.platform_counters()
    used_s = sum(processor_s(vm.pid) for vm in running.vms.values())
    calls = {kind: counters[kind] for kind in ("reads", "watches", "writes")}
    return Sample(time.monotonic(), used_s, messages, sent_bytes, calls)


def measure(vms: int) -> Row:
    """Runs a fleet and returns its figures."""
    deployment = deployments.load("kilele", SIZES[vms])
    options = fleet.Options(proxied=frozenset())
    with (
        tempfile.TemporaryDirectory() as directory,
        fleet.Fleet(deployment, pathlib.Path(directory), options) as running,
    ):
        running.start()
        running.apply()
        running.wait_all(
            lambda status: (
                len(status["peers"]) == vms - 1
                and status["config_version"] > 0
                and all(peer["alive"] for peer in status["peers"])
            ),
            "each VM lists all others as alive",
            START_TIMEOUT_S,
        )
        time.sleep(SETTLE_S)
        first = sample(running)
        time.sleep(WINDOW_S)
        last = sample(running)
        max_resident_mb = max(
            resident_mb(vm.pid) for vm in running.vms.values()
        )
    return _row(vms, first, last, max_resident_mb)


def _row(vms: int, first: Sample, last: Sample, max_resident_mb: float) -> Row:
    window_s = last.at_s - first.at_s
    per_vm = vms * window_s
    return Row(
        vms=vms,
        messages=(last.messages - first.messages) / per_vm,
        sent_bytes=(last.sent_bytes - first.sent_bytes) / per_vm,
        processor_percent=100 * (last.processor_s - first.processor_s) / per_vm,
        reads=(last.calls["reads"] - first.calls["reads"]) / window_s,
        watches=(last.calls["watches"] - first.calls["watches"]) / window_s,
        resident_mb=max_resident_mb,
    )


def render() -> str:
    """Returns the figures as a Markdown table."""
    lines = [
        "| VMs | messages in+out per VM and s | bytes sent per VM and s | "
        "processor share per VM | platform reads/s, all | watches/s, all | "
        "resident, largest |",
        "|---|---|---|---|---|---|---|",
    ]
    for vms in SIZES:
        row = measure(vms)
        lines.append(
            f"| {row.vms} | {row.messages:.1f} | {row.sent_bytes:.0f} | "
            f"{row.processor_percent:.2f}% | {row.reads:.2f} | "
            f"{row.watches:.2f} | {row.resident_mb:.0f} MB |"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    waiting.WAIT_TIMEOUT_S = START_TIMEOUT_S
    print(render())
