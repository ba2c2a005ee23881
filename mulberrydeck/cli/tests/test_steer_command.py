"""The command that runs a steering VM."""

import os

from click import testing
import pytest

from mulberrydeck.cli import steer_command
from mulberrydeck.steering import assembly


class ProcessEndedError(Exception):
    """Stands for the end of the process."""


# Guards against a stopped VM that is killed while its interpreter ends.
@pytest.mark.parametrize("code", [0, 1])
def test_a_stopped_vm_ends_without_the_end_of_the_interpreter(
    monkeypatch, code
):
    ended_with = []

    def end(exit_code):
        ended_with.append(exit_code)
        raise ProcessEndedError

    monkeypatch.setattr(assembly, "run", lambda _: code)
    monkeypatch.setattr(os, "_exit", end)
    command = ["--settings", "vm.toml"]
    outcome = testing.CliRunner().invoke(steer_command.steer, command)
    assert isinstance(outcome.exception, ProcessEndedError)
    assert ended_with == [code]
