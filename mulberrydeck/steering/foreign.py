"""Skips answers that belong to another request of the same connection.

A faulty target may send a second answer to an earlier request where the next
one is expected. It carries the earlier request's identifier.
"""

import re

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n", re.I)


class ForeignAnswerError(Exception):
    """An answer to another request has no known end."""


class ForeignAnswerFilter:
    """Passes on the bytes from the head of the own answer.

    Attributes:
        skipped: Number of answers that were skipped.
        own: Whether the head of the own answer was seen.
    """

    def __init__(self, id_field: str, wanted_id: str) -> None:
        """Prepares a filter.

        Args:
            id_field: Name of the field that carries the identifier.
            wanted_id: Identifier of the own request; empty accepts any.
        """
        self.id_field = re.compile(
            rb"\r\n" + re.escape(id_field.encode()) + rb":[ \t]*([^\r\n]*)\r\n",
            re.I,
        )
        self.wanted_id = wanted_id.encode("latin-1")
        self.pending = b""
        self.to_skip = 0
        self.skipped = 0
        self.own = not wanted_id

    def accept(self, data: bytes) -> bytes:
        """Returns those bytes that belong to the own answer.

        Args:
            data: Received bytes; empty means the end of the connection.

        Raises:
            ForeignAnswerError: A foreign answer has no known end.
        """
        if self.own:
            return data
        self.pending += data
        while not self.own:
            if self.to_skip:
                cut = min(self.to_skip, len(self.pending))
                self.pending = self.pending[cut:]
                self.to_skip -= cut
            end = self.pending.find(END_OF_HEAD)
            if self.to_skip or end < 0:
                break
            self._judge(self.pending[: end + len(END_OF_HEAD)])
        if not self.own and data and len(self.pending) <= MAX_HEAD_BYTES:
            return b""
        passed = self.pending
        self.pending = b""
        self.own = True
        return passed

    def _judge(self, head: bytes) -> None:
        found = self.id_field.search(head)
        interim = head.startswith(b"HTTP/1.1 1")
        if found is None and interim:
            self.to_skip = len(head)
            return
        # An answer without an identifier is judged by its reader.
        if found is None or found.group(1).strip() == self.wanted_id:
            self.own = True
            return
        length = _LENGTH.search(head)
        if length is None:
            raise ForeignAnswerError("an answer to another request came")
        self.to_skip = len(head) + int(length.group(1))
        self.skipped += 1
