"""Marks failures of tests in KNOWN-RED.txt as xfailed and prints them."""

import pathlib

import pytest

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


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Marks the failure of a test in KNOWN-RED.txt as xfailed."""
    report = yield
    if report.failed and item.nodeid in known_red():
        report.outcome = "skipped"
        report.wasxfail = "KNOWN-RED.txt"
    return report


def pytest_terminal_summary(terminalreporter):
    """Prints each test in KNOWN-RED.txt and whether it failed in this run."""
    failed = {
        report.nodeid for report in terminalreporter.stats.get("xfailed", ())
    }
    for nodeid in sorted(known_red()):
        outcome = "failed" if nodeid in failed else "did not fail"
        terminalreporter.write_line(f"KNOWN RED ({outcome}): {nodeid}")
