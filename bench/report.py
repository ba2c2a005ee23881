"""Runs the benchmarks one after another and writes one report.

Run `make bench` or `python -m bench.report`. With modules as arguments, such as
`bench.lookups`, only their sections are run, and printed instead of written.
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
        note: Description of the figures.
    """

    title: str
    module: str
    seed: str
    note: str


SECTIONS = (
    Section(
        "Lookups and requests through one VM",
        "bench.lookups",
        "",
        "16 connections, 5 rounds of 1 s in turn, medians. The complete core "
        "is in use; the target responds at once. «small»: 10 VMs, 36 targets, "
        "6 client blocks; «blocks»: 510,000 client blocks; «fleet»: also 2,500 "
        "VMs in 53 zones, simulated by heartbeats during the warm-up.",
    ),
    Section(
        "HTTP layer alone",
        "bench.http_path",
        "",
        "A fixed gateway in place of the core. Added latency of one connection "
        "relative to requests sent to the target itself.",
    ),
    Section(
        "Cost of events",
        "bench.reducer_cost",
        "",
        "Processor time of one event, the least of 5 rounds; one size grows "
        "at a time, the others stay at today's size. A request is arrival, end "
        "of attempt and close; «second» is a tick with heartbeats to all "
        "peers.",
    ),
    Section(
        "Control-plane overhead of idle fleets",
        "bench.fleet_idle",
        "",
        "Real processes, no callers, 8 s. Bytes are payloads of ZeroMQ "
        "messages, without TCP and IP.",
    ),
    Section(
        "Configuration",
        "bench.document_cost",
        "",
        "The platform stores values of up to 1 MB.",
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
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=TIME_LIMIT_S
    )
    output = completed.stdout.strip()
    if completed.returncode:
        output = f"Failed:\n\n```\n{completed.stderr.strip()[-800:]}\n```"
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
    """Returns the measured commit, marked if files have been changed since."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=9"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


def main(modules: list[str]) -> None:
    """Writes the report, or prints the sections of the given modules."""
    if modules:
        for section in SECTIONS:
            if section.module in modules:
                print(run(section))
        return
    parts = ["# Measurements\n"]
    parts.append(
        "Written by `make bench`. Compare ratios; absolute figures depend on "
        "the machine.\n"
    )
    for section in SECTIONS:
        print(f"{section.module} ...", flush=True)
        parts.append(run(section))
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(parts))
    print(f"Wrote {REPORT}.")


if __name__ == "__main__":
    main(sys.argv[1:])
