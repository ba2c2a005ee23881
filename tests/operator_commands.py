"""Runs operators' commands as processes against a platform in this process."""

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
DEFAULT_TIMEOUT_S = 30.0
SHORT_TIMEOUT_S = 4.0


class GatedPlatform(app.Platform):
    """A platform stand-in that can delay writes.

    Attributes:
        gate: Event that every write waits for.
        waiting: Number of writes that are waiting.
        holds_next_write: Whether the next write waits until a later write has
            ended, or for `WAIT_S`.
        later_write_ended: Event set at the end of each write; a held write
            waits for it.
        after_write: Called with the revision of each write that took effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.gate = gevent.event.Event()
        self.gate.set()
        self.waiting = 0
        self.holds_next_write = False
        self.later_write_ended = gevent.event.Event()
        self.after_write = lambda revision: None

    def serve_write(self, key, value, environ, start_response):
        self.waiting += 1
        if self.holds_next_write:
            self.holds_next_write = False
            self.later_write_ended.clear()
            self.later_write_ended.wait(WAIT_S)
        self.gate.wait(WAIT_S)
        self.waiting -= 1
        before = self.store.revision
        response = super().serve_write(key, value, environ, start_response)
        if self.store.revision != before:
            self.after_write(self.store.revision)
        self.later_write_ended.set()
        return response

    def wait_for_writes(self, count: int) -> None:
        """Waits until exactly this many writes are waiting."""
        with gevent.Timeout(WAIT_S):
            while self.waiting != count:
                gevent.sleep(POLL_INTERVAL_S)

    def configuration(self) -> documents.ConfigurationDocument:
        """Returns the stored configuration."""
        return documents.decode(self.store.get(names.CONFIG).value)


@attrs.frozen
class CommandResult:
    """Exit code and output of a command.

    Attributes:
        code: Exit code.
        output: What it wrote to the standard output.
        errors: What it wrote to the standard error output.
    """

    code: int
    output: str
    errors: str


@attrs.frozen
class RunningCommand:
    """A command that was started.

    Attributes:
        process: Its process.
        errors_path: File that receives its standard error output.
    """

    process: processes.Process
    errors_path: pathlib.Path

    def finish(self) -> CommandResult:
        """Waits for the end of the command and returns its result."""
        code = self.process.wait_end(WAIT_S)
        return CommandResult(
            code, self.process.log(), self.errors_path.read_text()
        )


class CommandRunner:
    """Starts operators' commands.

    Attributes:
        platform: The platform that commands change.
        directory: Directory of files and logs.
        timeout_s: Time-out of each call that a command makes, in seconds.
    """

    def __init__(
        self, group: processes.ProcessGroup, directory: pathlib.Path
    ) -> None:
        self.group = group
        self.directory = directory
        self.platform = GatedPlatform()
        self.server = serving.start("127.0.0.1:0", self.platform)
        self.timeout_s = DEFAULT_TIMEOUT_S
        self.numbers = itertools.count()

    def start(self, author: str, *arguments: str) -> RunningCommand:
        """Starts a command on behalf of an operator."""
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
        return RunningCommand(process, errors_path)

    def run(self, author: str, *arguments: str) -> CommandResult:
        """Runs a command on behalf of an operator to its end."""
        return self.start(author, *arguments).finish()

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def race(self, *commands: tuple[str, ...]) -> list[CommandResult]:
        """Runs commands at once; all have read before any of them writes."""
        self.platform.gate.clear()
        running = [self.start(*command) for command in commands]
        self.platform.wait_for_writes(len(commands))
        self.platform.gate.set()
        return [command.finish() for command in running]

    def close(self) -> None:
        """Stops the platform."""
        self.server.stop()
