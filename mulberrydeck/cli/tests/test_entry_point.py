"""What happens before the program has loaded its parts."""

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
