"""Runs tests beside busy processes and prints a table of their outcomes.

    python -m bench.busy --busy 6 --times 10 tests/test_limits.py

Without tests it runs those in KNOWN-RED.txt. The busy processes are started and
ended by this program; priorities and limits of the machine stay as they are.
"""

import collections
import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

import attrs
import click

import conftest
from standins import processes

ENDLESS_LOOP = "while True: pass"
PYTEST_WORKERS = 2
MAX_MESSAGE_LENGTH = 160


@attrs.define
class Outcomes:
    """Outcomes of one test over all runs.

    Attributes:
        passed: Number of runs in which it passed.
        messages: Message of each failure.
    """

    passed: int = 0
    messages: list[str] = attrs.field(factory=list)


def record(report: pathlib.Path, outcomes: dict[str, Outcomes]) -> None:
    """Adds the outcomes in a JUnit report.

    Args:
        report: Path of the report.
        outcomes: Outcomes by test, extended in place.
    """
    for case in ElementTree.parse(report).iter("testcase"):
        name = f"{case.get('classname')}::{case.get('name')}"
        failures = [*case.iter("failure"), *case.iter("error")]
        if not failures:
            outcomes[name].passed += 1
        for failure in failures:
            message = " ".join(failure.get("message", "").split())
            outcomes[name].messages.append(message[:MAX_MESSAGE_LENGTH])


def run_tests(
    tests: tuple[str, ...], workers: int, outcomes: dict[str, Outcomes]
) -> None:
    """Runs tests once and adds their outcomes.

    Raises:
        click.ClickException: pytest wrote no report.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / "report.xml"
        command = [sys.executable, "-m", "pytest", "-n", str(workers)]
        command += ["--strict-known-red", f"--junitxml={report}", *tests]
        subprocess.run(command, check=False, cwd=processes.REPOSITORY)
        if not report.exists():
            raise click.ClickException(
                "pytest wrote no report; check the names of the tests."
            )
        record(report, outcomes)


def table(outcomes: dict[str, Outcomes]) -> str:
    """Returns one line per test, followed by the messages of its failures."""
    lines = []
    for name, outcome in sorted(outcomes.items()):
        lines.append(
            f"{outcome.passed:4} passed {len(outcome.messages):4} failed  "
            f"{name}"
        )
        lines += [f"        {message}" for message in outcome.messages]
    return "\n".join(lines)


@click.command()
@click.option("--busy", default=6, show_default=True, help="Busy processes.")
@click.option("--times", default=1, show_default=True, help="Runs of tests.")
@click.option(
    "--workers",
    default=PYTEST_WORKERS,
    show_default=True,
    help="Tests that run at the same time.",
)
@click.argument("tests", nargs=-1)
def main(busy: int, times: int, workers: int, tests: tuple[str, ...]) -> None:
    """Runs TESTS beside busy processes; exits with 1 if any failed."""
    tests = tests or tuple(sorted(conftest.known_red()))
    if not tests:
        raise click.UsageError("KNOWN-RED.txt is empty; name the tests to run.")
    outcomes: dict[str, Outcomes] = collections.defaultdict(Outcomes)
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.ProcessGroup(pathlib.Path(directory)) as group,
    ):
        for number in range(busy):
            command = [sys.executable, "-c", ENDLESS_LOOP]
            group.start(f"busy-{number}", command)
        for _ in range(times):
            run_tests(tests, workers, outcomes)
            click.echo(table(outcomes))
    if any(outcome.messages for outcome in outcomes.values()):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
