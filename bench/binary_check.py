"""Checks the executable that `bench.binary` builds.

It must start without an interpreter on the machine, run as one process with
one thread, remove the files of interrupted starts, and pass the demonstration.
"""

import os
import pathlib
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time

import click

from bench import binary
from standins import deployments
from standins import fleet
from standins import processes

DIRECTORY_VARIABLE = "MULBERRYDECK_RUNTIME_DIR"
UNUSED_PID = 2**22 + 1  # above the largest process id of Linux
PROGRAM = "mulberrydeck"
ZMQ_THREAD = "ZMQbg"
STARTS = 9


class CheckError(click.ClickException):
    """A check of the executable failed; the message names the check."""


def require(condition: object, text: str) -> None:
    """Raises an error unless a condition holds."""
    if not condition:
        raise CheckError(text)
    click.echo(f"ok: {text}")


def check_help(directory: pathlib.Path) -> None:
    """Checks a start without `PATH` and other variables."""
    environment = {DIRECTORY_VARIABLE: str(directory)}
    result = subprocess.run(
        [binary.OUTPUT, "--help"],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    require(
        result.returncode == 0 and "serve" in result.stdout,
        "--help works without PATH and other variables",
    )


def check_leftovers(directory: pathlib.Path) -> None:
    """Checks that the files of an interrupted start are removed."""
    [unpacked] = directory.glob("mulberrydeck-*")
    interrupted = directory / f".{unpacked.name}.{UNUSED_PID}"
    unpacked.rename(interrupted)
    check_help(directory)
    require(
        not interrupted.exists(), "files of an interrupted start are removed"
    )
    names = [path.name for path in directory.iterdir()]
    require(names == [unpacked.name], "no other files remain")


def child_pids(pid: int) -> list[int]:
    """Returns the child processes of a process, from /proc."""
    pids = []
    for children in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        pids += [int(child) for child in children.read_text().split()]
    return pids


def thread_names(pid: int) -> list[str]:
    """Returns the names of a process's threads, from /proc."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return [(task / "comm").read_text().strip() for task in tasks]


def check_process(process: processes.Process) -> None:
    """Checks that a serving VM is one process with one thread."""
    program = os.readlink(f"/proc/{process.pid}/exe")
    require(program.endswith("/mulberrydeck"), "serve runs the program")
    require(not child_pids(process.pid), "serve has no child process")
    others = [name for name in thread_names(process.pid) if name != PROGRAM]
    require(
        all(name.startswith(ZMQ_THREAD) for name in others),
        f"serve has one thread besides libzmq's ({', '.join(others)})",
    )


def check_serve(directory: pathlib.Path) -> None:
    """Checks a small deployment whose VMs run from the executable."""
    options = fleet.Options(program=(str(binary.OUTPUT),))
    with fleet.Fleet(deployments.small(), directory, options) as running:
        running.start()
        running.apply()
        name = running.listed[0]
        running.wait_serving()
        check_process(running.vms[name])
        running.vms[name].send_signal(signal.SIGTERM)
        exit_code = running.vms[name].wait_end()
        require(exit_code == 0, "a planned stop ends with exit code 0")


def check_demo() -> None:
    """Runs the demonstration with the executable."""
    command = [sys.executable, "-m", "bench.demo", "--program", binary.OUTPUT]
    result = subprocess.run(command, cwd=binary.ROOT, check=False)
    require(result.returncode == 0, "the demonstration keeps all promises")


def start_time_s(
    command: list[str], directory: pathlib.Path, is_cold: bool
) -> float:
    """Returns the median time of `--version`, in seconds.

    Args:
        command: Program to start.
        directory: Runtime directory, into which an executable is unpacked.
        is_cold: Whether each start unpacks it into an empty directory.
    """
    environment = os.environ | {DIRECTORY_VARIABLE: str(directory)}
    times = []
    for _ in range(STARTS):
        if is_cold:
            shutil.rmtree(directory)
            directory.mkdir()
        start_s = time.perf_counter()
        subprocess.run(
            [*command, "--version"],
            env=environment,
            stdout=subprocess.DEVNULL,
            check=True,
            cwd=binary.ROOT,
        )
        times.append(time.perf_counter() - start_s)
    return statistics.median(times)


def report_start_times(directory: pathlib.Path) -> None:
    """Prints how long a start takes from sources and as an executable."""
    built = [str(binary.OUTPUT)]
    sources = list(fleet.Options().program)
    for name, command, is_cold in (
        ("from sources", sources, False),
        ("executable, first start", built, True),
        ("executable, later starts", built, False),
    ):
        median_s = start_time_s(command, directory, is_cold)
        click.echo(f"start {name}: {median_s * 1e3:.0f} ms")


@click.command()
def main() -> None:
    """Check dist/mulberrydeck, which `make binary` builds."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        check_help(directory)
        check_leftovers(directory)
        report_start_times(directory)
    with tempfile.TemporaryDirectory() as name:
        check_serve(pathlib.Path(name))
    check_demo()


if __name__ == "__main__":
    main()
