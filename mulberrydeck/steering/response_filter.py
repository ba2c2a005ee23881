"""Skips answers that belong to another request of the same connection.

A faulty target may send a second answer to an earlier request where the next
one is expected. It carries the earlier request's identifier.
"""

import re

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n", re.I)


class MismatchedResponseError(Exception):
    """An answer to another request has no known end."""


class MismatchedResponseFilter:
    """Passes on the bytes from the head of the own answer.

    Attributes:
        skipped: Number of answers that were skipped.
        matched: Whether the head of the own answer was seen.
    """

    def __init__(self, id_field: str, expected_id: str) -> None:
        """Prepares a filter.

        Args:
            id_field: Name of the field that carries the identifier.
            expected_id: Identifier of the own request; empty accepts any.
        """
        self.id_field = re.compile(
            rb"\r\n" + re.escape(id_field.encode()) + rb":[ \t]*([^\r\n]*)\r\n",
            re.I,
        )
        self.expected_id = expected_id.encode("latin-1")
        self.pending = b""
        self.skip_bytes = 0
        self.skipped = 0
        self.matched = not expected_id

    def accept(self, data: bytes) -> bytes:
        """Returns those bytes that belong to the own answer.

        Args:
            data: Received bytes; empty means the end of the connection.

        Raises:
            MismatchedResponseError: A foreign answer has no known end.
        """
        if self.matched:
            return data
        self.pending += data
        while not self.matched:
            if self.skip_bytes:
                cut = min(self.skip_bytes, len(self.pending))
                self.pending = self.pending[cut:]
                self.skip_bytes -= cut
            end = self.pending.find(END_OF_HEAD)
            if self.skip_bytes or end < 0:
                break
            self._check_head(self.pending[: end + len(END_OF_HEAD)])
        if not self.matched and data and len(self.pending) <= MAX_HEAD_BYTES:
            return b""
        passed = self.pending
        self.pending = b""
        self.matched = True
        return passed

    def _check_head(self, head: bytes) -> None:
        found = self.id_field.search(head)
        interim = head.startswith(b"HTTP/1.1 1")
        if found is None and interim:
            self.skip_bytes = len(head)
            return
        # An answer without an identifier is judged by its reader.
        if found is None or found.group(1).strip() == self.expected_id:
            self.matched = True
            return
        length = _LENGTH.search(head)
        if length is None:
            raise MismatchedResponseError("an answer to another request came")
        self.skip_bytes = len(head) + int(length.group(1))
        self.skipped += 1
