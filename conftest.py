"""Keeps evidence of failed tests, and passes over those in KNOWN-RED.txt."""

import pathlib

import pytest

from standins import evidence

FAILURES = pytest.StashKey[str]()
KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def known_red():
    """Returns the node ids of tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def pytest_addoption(parser):
    """Adds the option that reports known failures like all others."""
    parser.addoption(
        "--strict-known-red",
        action="store_true",
        help="report failures of tests in KNOWN-RED.txt as failures",
    )


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Keeps evidence of a failure; marks known ones as xfailed."""
    report = yield
    if report.failed:
        text = f"{report.when}: {report.longreprtext}"
        item.stash[FAILURES] = item.stash.get(FAILURES, "") + text
    # Deployments end, and write their records, before the teardown's report.
    if report.when == "teardown" and FAILURES in item.stash:
        logs = getattr(item, "funcargs", {}).get("tmp_path")
        kept = evidence.keep(item.nodeid, item.stash[FAILURES], logs)
        report.sections.append(("evidence", str(kept)))
        report.user_properties.append(("evidence", str(kept)))
    strict = item.config.getoption("--strict-known-red")
    if report.failed and not strict and item.nodeid in known_red():
        report.outcome = "skipped"
        report.wasxfail = "KNOWN-RED.txt"
    return report


def pytest_terminal_summary(terminalreporter):
    """Prints where evidence is, and the outcome of each known failure."""
    for reports in terminalreporter.stats.values():
        for report in reports:
            for name, value in getattr(report, "user_properties", ()):
                if name == "evidence":
                    terminalreporter.write_line(f"EVIDENCE: {value}")
    failed = {
        report.nodeid for report in terminalreporter.stats.get("xfailed", ())
    }
    for nodeid in sorted(known_red()):
        outcome = "failed" if nodeid in failed else "did not fail"
        terminalreporter.write_line(f"KNOWN RED ({outcome}): {nodeid}")
