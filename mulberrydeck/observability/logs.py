"""Logs as JSON lines by eliot, with a fixed prefix per part."""

import contextlib
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
