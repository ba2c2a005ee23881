"""Starts processes, waits for their ready lines, and kills them at the end."""

import ctypes
import os
import pathlib
import signal
import subprocess
import sys
import time

import gevent

READY = "ready"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
SET_PARENT_DEATH_SIGNAL = 1
LIBC = ctypes.CDLL(None)
REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


class ProcessError(Exception):
    """A process did not become ready or end in time; see its log."""


def die_with_parent() -> None:
    """Asks the kernel to kill this process when its parent dies."""
    LIBC.prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Process:
    """One process with its log.

    Attributes:
        name: Name in messages.
        log_path: File for standard output, and by default standard error.
        log_start: Size of that file when the process started, in bytes.
        popen: The process, running or ended.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        log_path: pathlib.Path,
        errors_path: pathlib.Path | None = None,
        environment: dict[str, str] | None = None,
    ):
        self.name = name
        self.log_path = log_path
        self.log_start = log_path.stat().st_size if log_path.exists() else 0
        errors_path = errors_path or log_path
        with log_path.open("ab") as log, errors_path.open("ab") as errors:
            self.popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=errors,
                cwd=REPOSITORY,
                env=os.environ | (environment or {}),
                preexec_fn=die_with_parent,
            )

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Returns whether the process is still running."""
        return self.popen.poll() is None

    def log(self) -> str:
        """Returns the output of this process so far."""
        with self.log_path.open("rb") as log:
            log.seek(self.log_start)
            return log.read().decode(errors="replace")

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> list[str]:
        """Waits for the ready line and returns the words after `ready`.

        Raises:
            ProcessError: It ended, or printed no ready line in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for line in self.log().splitlines(keepends=True):
                if line.startswith(READY) and line.endswith("\n"):
                    return line.split()[1:]
            if not self.is_running():
                break
            gevent.sleep(POLL_INTERVAL_S)
        raise ProcessError(f"{self.name} is not ready:\n{self.log()}")

    def send_signal(self, number: int) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running():
            os.kill(self.pid, number)

    def wait_end(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code.

        Raises:
            ProcessError: It is still running after `timeout_s` seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.is_running():
            if time.monotonic() > deadline_s:
                raise ProcessError(
                    f"{self.name} did not end in time:\n{self.log()}"
                )
            gevent.sleep(POLL_INTERVAL_S)
        return self.popen.returncode

    def kill(self) -> None:
        """Kills the process and reaps it."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()


class ProcessGroup:
    """Processes that are killed together.

    Use it as a context manager; its exit kills all that still run.

    Attributes:
        directory: Directory for logs.
        processes: All processes that were started.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.processes: list[Process] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *details: object) -> None:
        self.kill_all()

    def start(
        self,
        name: str,
        command: list[str],
        errors_path: pathlib.Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Starts a command; its log is `<name>.log`.

        Args:
            name: Name in messages.
            command: Program and arguments.
            errors_path: File for standard error; None means the log.
            environment: Variables to add to the environment of this process.
        """
        log_path = self.directory / f"{name}.log"
        process = Process(name, command, log_path, errors_path, environment)
        self.processes.append(process)
        return process

    def start_module(self, name: str, module: str, *arguments: str) -> Process:
        """Starts a module with the current interpreter."""
        return self.start(name, [sys.executable, "-m", module, *arguments])

    def kill_all(self) -> None:
        """Kills all processes that still run, and reaps them."""
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait()
