"""Discards responses that belong to another request of the same connection.

A faulty target may send a second response to an earlier request where the
response to the current one is expected. It carries the earlier request's
identifier.
"""

import re

END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINES = b"\r\n"
START = b"HTTP/"
UPGRADE_START = b"HTTP/1.1 101 "  # The parser rejects it.
MAX_HEAD_BYTES = 64 * 1024

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r]")
_INTERIM_LINE = re.compile(rb"HTTP/1\.1 1[0-9]{2}[ \r]")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n", re.I)


class MismatchedResponseError(Exception):
    """The end of a response to another request cannot be determined."""


class MismatchedResponseFilter:
    """Passes on bytes from the head of the matching response onwards.

    Empty lines and interim responses before it are discarded as well, since
    responses to other requests may follow them. Bytes that start no response
    are passed on at once, so that the parser rejects them without a wait.

    Attributes:
        skipped: Number of responses that were discarded.
        matched: Whether the head of the matching response was seen.
    """

    def __init__(self, id_field: str, expected_id: str) -> None:
        """Initializes the filter.

        Args:
            id_field: Name of the header field that carries the identifier.
            expected_id: Identifier of the current request; empty accepts any
                response.
        """
        self.id_field = re.compile(
            rb"\r\n" + re.escape(id_field.encode()) + rb":([^\r\n]*)\r\n",
            re.I,
        )
        self.expected_id = expected_id.encode("latin-1")
        self.pending = b""
        self.skip_bytes = 0
        self.skipped = 0
        self.matched = not expected_id

    def accept(self, data: bytes) -> bytes:
        """Returns the bytes that belong to the matching response.

        Args:
            data: Received bytes; empty means the end of the connection.

        Raises:
            MismatchedResponseError: A response to another request has no
                `Content-Length`, so that its end is unknown.
        """
        if self.matched:
            return data
        self.pending += data
        while not self.matched:
            if self.skip_bytes:
                count = min(self.skip_bytes, len(self.pending))
                self.pending = self.pending[count:]
                self.skip_bytes -= count
            if not self.skip_bytes:
                self.pending = self.pending.lstrip(EMPTY_LINES)
                self.matched = not _may_start_response(self.pending)
            end = self.pending.find(END_OF_HEAD)
            if self.matched or self.skip_bytes or end < 0:
                break
            self._check_head(self.pending[: end + len(END_OF_HEAD)])
        if not self.matched and data and len(self.pending) <= MAX_HEAD_BYTES:
            return b""
        passed = self.pending
        self.pending = b""
        self.matched = True
        return passed

    def _check_head(self, head: bytes) -> None:
        if _STATUS_LINE.match(head) is None:
            # An invalid status is left to the parser, which rejects it.
            self.matched = True
            return
        if _INTERIM_LINE.match(head) and not head.startswith(UPGRADE_START):
            self.skip_bytes = len(head)
            return
        id_match = self.id_field.search(head)
        # A response without an identifier is left to the code that parses it.
        if id_match is None or id_match.group(1).strip() == self.expected_id:
            self.matched = True
            return
        length_match = _LENGTH.search(head)
        if length_match is None:
            raise MismatchedResponseError(
                "a response to another request has no Content-Length"
            )
        self.skip_bytes = len(head) + int(length_match.group(1))
        self.skipped += 1


def _may_start_response(data: bytes) -> bool:
    return data[: len(START)] == START[: len(data)]
