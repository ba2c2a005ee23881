"""Runs the benchmarks one after another and writes one report.

Run `make bench` or `python -m bench.report`. Names of sections given as
arguments run these alone and print them.
"""

import os
import pathlib
import subprocess
import sys

import attrs

REPORT = pathlib.Path("docs/measurements/REPORT.md")
TIME_LIMIT_S = 240


@attrs.frozen
class Section:
    """One benchmark.

    Attributes:
        title: Heading.
        module: Module that is run.
        seed: Seed of its random streams, or empty if it draws none.
        note: What the figures are.
    """

    title: str
    module: str
    seed: str
    note: str


SECTIONS = (
    Section(
        "Look-ups and requests through one VM",
        "bench.lookups",
        "",
        "16 connections, 5 rounds of 1 s in turns, medians. The whole core is "
        "in use; the target answers at once. «small»: 10 VMs, 36 targets, 6 "
        "client blocks; «blocks»: 510,000 client blocks; «fleet»: 2,500 VMs "
        "in 53 zones besides, each heard once.",
    ),
    Section(
        "HTTP side alone",
        "bench.http_path",
        "",
        "A fixed core, and added latency of one connection against asking the "
        "target itself.",
    ),
    Section(
        "Cost of events",
        "bench.reducer_cost",
        "",
        "Processor time of one event, the least of 5 rounds; one size grows "
        "at a time, the others stay as today. A request is arrival, end of "
        "attempt and close; «second» is a tick with heartbeats to all peers.",
    ),
    Section(
        "Control of idle fleets",
        "bench.fleet_idle",
        "",
        "Real processes, no callers, 8 s. Bytes are payloads of ZeroMQ "
        "messages, without TCP and IP.",
    ),
    Section(
        "Configuration",
        "bench.document_cost",
        "",
        "The platform holds values up to 1 MB.",
    ),
    Section(
        "Detectors of bad targets",
        "bench.detectors",
        "20261203",
        "See docs/design/health.md.",
    ),
)


def run(section: Section) -> str:
    """Runs a benchmark and returns its section of the report."""
    command = [sys.executable, "-m", section.module]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=TIME_LIMIT_S
    )
    output = done.stdout.strip()
    if done.returncode:
        output = f"Failed:\n\n```\n{done.stderr.strip()[-800:]}\n```"
    elif not output.startswith("|"):
        output = f"```\n{output}\n```"
    seed = f", seed {section.seed}" if section.seed else ", no random draws"
    load = os.getloadavg()[0]
    return (
        f"## {section.title}\n\n`python -m {section.module}`{seed}, commit "
        f"{commit()}, load average {load:.1f} of {os.cpu_count()} processors."
        f" {section.note}\n\n{output}\n"
    )


def commit() -> str:
    """Returns the commit that is measured, marked if files have changed."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=9"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


def main(titles: list[str]) -> None:
    """Writes the report, or prints the sections that are named."""
    if titles:
        for section in SECTIONS:
            if section.module in titles:
                print(run(section))
        return
    parts = ["# Measurements\n"]
    parts.append("Written by `make bench`. Compare ratios, not machines.\n")
    for section in SECTIONS:
        print(f"{section.module} ...", flush=True)
        parts.append(run(section))
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(parts))
    print(f"Wrote {REPORT}.")


if __name__ == "__main__":
    main(sys.argv[1:])
