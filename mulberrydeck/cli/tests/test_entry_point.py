"""What happens before the program has loaded its parts."""

import signal
import subprocess
import sys

import pytest

SCRIPT = """
import signal, sys
sys.argv = ["mulberrydeck", {command!r}]
import mulberrydeck.__main__
print(signal.getsignal(signal.SIGHUP).name, "gevent" in sys.modules)
"""


@pytest.mark.parametrize(
    ("command", "expected"),
    [("steer", "SIG_IGN False"), ("status", "SIG_DFL False")],
)
def test_a_signal_to_reload_does_not_end_a_vm_that_starts(command, expected):
    said = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(command=command)],
        check=True,
        capture_output=True,
        text=True,
    )
    assert said.stdout.strip() == expected


STOPPED = """
import os, signal, sys
sys.argv = ["mulberrydeck", "steer"]
import mulberrydeck.__main__
os.kill(os.getpid(), signal.SIGTERM)
print("runs on")
"""


def test_a_vm_that_is_asked_to_stop_while_it_starts_ends_well():
    said = subprocess.run(
        [sys.executable, "-c", STOPPED], check=False, capture_output=True
    )
    assert (said.returncode, said.stdout) == (0, b"")


def test_other_commands_end_by_the_signal():
    script = STOPPED.replace('"steer"', '"status"')
    said = subprocess.run(
        [sys.executable, "-c", script], check=False, capture_output=True
    )
    assert said.returncode == -signal.SIGTERM
