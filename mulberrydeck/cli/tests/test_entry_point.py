"""Signals that arrive before the program has loaded its modules."""

import signal
import subprocess
import sys

import pytest

HANDLER_SCRIPT = """
import signal, sys
sys.argv = ["mulberrydeck", {command!r}]
import mulberrydeck.__main__
print(signal.getsignal(signal.SIGHUP).name, "gevent" in sys.modules)
"""


@pytest.mark.parametrize(
    ("command", "expected"),
    [("steer", "SIG_IGN False"), ("status", "SIG_DFL False")],
)
def test_sighup_does_not_end_a_starting_vm(command, expected):
    completed = subprocess.run(
        [sys.executable, "-c", HANDLER_SCRIPT.format(command=command)],
        check=True,
        capture_output=True,
        text=True,
    )
    assert completed.stdout.strip() == expected


SIGTERM_SCRIPT = """
import os, signal, sys
sys.argv = ["mulberrydeck", "steer"]
import mulberrydeck.__main__
os.kill(os.getpid(), signal.SIGTERM)
print("still running")
"""


def test_sigterm_ends_a_starting_vm_with_exit_code_0():
    completed = subprocess.run(
        [sys.executable, "-c", SIGTERM_SCRIPT], check=False, capture_output=True
    )
    assert (completed.returncode, completed.stdout) == (0, b"")


def test_sigterm_kills_other_commands():
    script = SIGTERM_SCRIPT.replace('"steer"', '"status"')
    completed = subprocess.run(
        [sys.executable, "-c", script], check=False, capture_output=True
    )
    assert completed.returncode == -signal.SIGTERM
