"""Logging as JSON lines with eliot, with a prefix per part of the program."""

import contextlib
import os
import sys
from typing import TextIO

import eliot

from mulberrydeck.observability import redaction


class RedactingStream:
    """Text stream for eliot that redacts caller keys."""

    def __init__(self, stream: TextIO) -> None:
        """Wraps a stream.

        Args:
            stream: Destination of the lines.
        """
        self.stream = stream

    def write(self, text: str) -> int:
        """Writes a text; ignores errors, which must not stop the program."""
        if isinstance(text, bytes):
            text = text.decode()
        with contextlib.suppress(OSError, ValueError):
            self.stream.write(redaction.redact(text))
        return len(text)

    def flush(self) -> None:
        """Flushes the stream."""
        with contextlib.suppress(OSError, ValueError):
            self.stream.flush()


def start(stream: TextIO | None = None) -> eliot.FileDestination:
    """Starts logging.

    Args:
        stream: Destination of the lines; standard error if None.

    Returns:
        The destination, to be passed to `stop`.
    """
    wrapped = RedactingStream(stream or sys.stderr)
    destination = eliot.FileDestination(file=wrapped)
    eliot.add_destinations(destination)
    return destination


def start_bounded() -> eliot.FileDestination:
    """Starts logging to standard output without ever blocking on it.

    Lines are dropped while the pipe is full; `NonBlockingStream.lost` counts
    them.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    return start(NonBlockingStream(sys.stdout.fileno()))


class NonBlockingStream:
    """Text stream over a non-blocking descriptor that drops lines when full.

    Attributes:
        unwritten: Rest of the last line that the descriptor did not accept.
        lost: Number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.unwritten = b""
        self.lost = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it while an earlier one is incomplete."""
        data = text.encode()
        if self.unwritten and not self._push(self.unwritten):
            self.lost += 1
            return len(text)
        self._push(data)
        return len(text)

    def flush(self) -> None:
        """Does nothing; the next `write` continues an incomplete line."""

    def _push(self, data: bytes) -> bool:
        """Writes as much as fits; returns whether all was written."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self.unwritten = data[written:]
        return not self.unwritten


def stop(destination: eliot.FileDestination) -> None:
    """Stops logging to a destination of `start`."""
    eliot.remove_destination(destination)


def write(part: str, text: str, **fields: object) -> None:
    """Writes a log line.

    Args:
        part: Part of the program, such as `quota`; prefix of the message.
        text: Message, a short sentence.
        **fields: Additional fields of the line.
    """
    eliot.log_message(f"mulberrydeck:{part}", text=f"{part}: {text}", **fields)
