"""A platform in this process and operators' commands as real processes."""

import itertools
import pathlib
import sys

import attrs
import gevent.event

from mulberrydeck.model import documents
from mulberrydeck.platformapi import names
from standins import processes
from standins import serving
from standins.platform import app

COMMAND = (sys.executable, "-m", "mulberrydeck")
WAIT_S = 60.0
POLL_INTERVAL_S = 0.01
PATIENT_TIMEOUT_S = 30.0
SHORT_TIMEOUT_S = 4.0


class GatedPlatform(app.Platform):
    """A platform whose writes can be held back.

    Attributes:
        gate: Writes wait until it is set.
        waiting: Number of writes that wait.
        holds_next_write: Whether the next write waits for a later one to be
            done.
        after_write: Called with each carried-out write's revision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.gate = gevent.event.Event()
        self.gate.set()
        self.waiting = 0
        self.holds_next_write = False
        self.overtaking = gevent.event.Event()
        self.after_write = lambda revision: None

    def serve_write(self, key, value, environ, start_response):
        self.waiting += 1
        if self.holds_next_write:
            self.holds_next_write = False
            self.overtaking.clear()
            self.overtaking.wait(WAIT_S)
        self.gate.wait(WAIT_S)
        self.waiting -= 1
        before = self.store.revision
        answer = super().serve_write(key, value, environ, start_response)
        if self.store.revision != before:
            self.after_write(self.store.revision)
        self.overtaking.set()
        return answer

    def wait_for_writes(self, count: int) -> None:
        """Returns once this many writes wait."""
        with gevent.Timeout(WAIT_S):
            while self.waiting != count:
                gevent.sleep(POLL_INTERVAL_S)

    def configuration(self) -> documents.ConfigurationDocument:
        """Returns the configuration as stored."""
        return documents.decode(self.store.get(names.CONFIG).value)


@attrs.frozen
class Finished:
    """What a command left behind."""

    code: int
    output: str
    errors: str


@attrs.frozen
class Running:
    """A command that was started."""

    process: processes.Process
    errors_path: pathlib.Path

    def finish(self) -> Finished:
        """Waits for the end of the command."""
        code = self.process.wait_end(WAIT_S)
        return Finished(code, self.process.log(), self.errors_path.read_text())


class CommandRunner:
    """Starts operators' commands.

    Attributes:
        platform: The platform that they change.
        directory: Where files and logs are kept.
        timeout_s: Time that commands allow for one call, in seconds.
    """

    def __init__(
        self, group: processes.ProcessGroup, directory: pathlib.Path
    ) -> None:
        self.group = group
        self.directory = directory
        self.platform = GatedPlatform()
        self.server = serving.start("127.0.0.1:0", self.platform)
        self.timeout_s = PATIENT_TIMEOUT_S
        self.numbers = itertools.count()

    def start(self, author: str, *arguments: str) -> Running:
        """Starts a command of an operator."""
        timeout = ("--timeout", str(self.timeout_s))
        name = f"{author}-{next(self.numbers)}"
        errors_path = self.directory / f"{name}.errors"
        environment = {
            "MULBERRYDECK_PLATFORM": f"http://{serving.address_of(self.server)}",
            "MULBERRYDECK_AUTHOR": author,
        }
        process = self.group.start(
            name, [*COMMAND, *arguments, *timeout], errors_path, environment
        )
        return Running(process, errors_path)

    def run(self, author: str, *arguments: str) -> Finished:
        """Runs a command of an operator to its end."""
        return self.start(author, *arguments).finish()

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def race(self, *commands: tuple[str, ...]) -> list[Finished]:
        """Runs commands that all have read before any of them writes."""
        self.platform.gate.clear()
        running = [self.start(*command) for command in commands]
        self.platform.wait_for_writes(len(commands))
        self.platform.gate.set()
        return [command.finish() for command in running]

    def close(self) -> None:
        """Stops the platform."""
        self.server.stop()
