"""Logs as JSON lines by eliot, with a fixed prefix per part."""

import contextlib
import os
import sys
from typing import TextIO

import eliot

from mulberrydeck.observability import redaction


class RedactingStream:
    """Text stream for eliot that replaces keys before it writes."""

    def __init__(self, stream: TextIO) -> None:
        """Wraps a stream.

        Args:
            stream: Where the lines go.
        """
        self.stream = stream

    def write(self, text: str) -> int:
        """Writes one piece; a broken stream never stops the program."""
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
    """Starts to write logs.

    Args:
        stream: Where the lines go; None is standard error.

    Returns:
        The destination, for `stop`.
    """
    wrapped = RedactingStream(stream or sys.stderr)
    destination = eliot.FileDestination(file=wrapped)
    eliot.add_destinations(destination)
    return destination


def start_bounded() -> eliot.FileDestination:
    """Starts to write logs to standard output without ever waiting for it.

    Lines that a full pipe does not take are lost; `NonBlockingStream.lost`
    counts them.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    return start(NonBlockingStream(sys.stdout.fileno()))


class NonBlockingStream:
    """Text stream over a file descriptor that drops what it cannot write.

    Attributes:
        lost: Lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.rest = b""
        self.lost = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it if a former one is not yet written."""
        data = text.encode()
        if self.rest and not self._push(self.rest):
            self.lost += 1
            return len(text)
        self._push(data)
        return len(text)

    def flush(self) -> None:
        """Does nothing, since nothing is held back."""

    def _push(self, data: bytes) -> bool:
        """Writes what fits; returns whether all did."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self.rest = data[written:]
        return not self.rest


def stop(destination: eliot.FileDestination) -> None:
    """Ends what `start` began."""
    eliot.remove_destination(destination)


def write(part: str, text: str, **fields: object) -> None:
    """Writes a log line.

    Args:
        part: Prefix of the part, such as `quota`.
        text: A short sentence.
        **fields: Further members of the line.
    """
    eliot.log_message(f"mulberrydeck:{part}", text=f"{part}: {text}", **fields)
