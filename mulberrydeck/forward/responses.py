"""Parsing of answers, one parser per exchange."""

from geventhttpclient import response

# Largest head of an answer, with the interim answers before it.
MAX_HEAD_BYTES = 256 * 1024
# Header fields of an answer; each takes some 130 bytes besides its own.
MAX_FIELDS = 1000
# Chunk sizes, chunk extensions and trailers of any answer, in bytes.
MAX_FRAMING_BYTES = 64 * 1024
# Beyond that, for each byte of the body; a chunk of one byte has five.
MAX_FRAMING_PER_BODY_BYTE = 8

NO_CONTENT_STATUSES = frozenset((204, 304))
SWITCHING_PROTOCOLS = 101


class SurplusBytesError(response.HTTPParseError):
    """Bytes follow the end of the answer."""


class ResponseParser(response.HTTPResponse):
    """Parses one final answer; interim (1xx) answers and trailers are dropped.

    A target may send bytes without end that are no answer. Bounds of what is
    parsed besides the body end such an answer, whoever reads it.

    Attributes:
        fields: Header fields in order: lower-case name and value.
        pieces: Decoded body bytes that were not yet taken.
        surplus: Whether bytes followed the end of the answer.
        head_bytes: Bytes received until the head was complete.
        body_bytes: Decoded body bytes so far.
        framing_bytes: Bytes received after the head, without the body.
    """

    def __init__(self, method: str) -> None:
        """Starts a parser.

        Args:
            method: Method of the request, since HEAD has no answer body.
        """
        super().__init__(method)
        self.fields: list[tuple[str, str]] = []
        self.pieces: list[bytes] = []
        self.surplus = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.framing_bytes = 0

    @property
    def head_complete(self) -> bool:
        """Whether the head of the final answer was parsed."""
        return self.headers_complete and self.get_code() >= 200

    @property
    def complete(self) -> bool:
        """Whether the final answer was parsed to its end."""
        return self.message_complete and self.get_code() >= 200

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection can carry another request."""
        return self.complete and not self.surplus and not self.should_close()

    @property
    def declared_length(self) -> int | None:
        """Body length that the head declares, in bytes; None if unknown."""
        for name, value in self.fields:
            if name == "content-length":
                return int(value)
        return None

    def first(self, wanted: str) -> str:
        """Returns the first value of a field, or empty.

        Args:
            wanted: Lower-case field name.
        """
        for name, value in self.fields:
            if name == wanted:
                return value
        return ""

    def accept(self, data: bytes) -> None:
        """Parses received bytes; empty means the end of the connection.

        Raises:
            response.HTTPParseError: The answer is malformed, truncated or has
                too many bytes besides its body.
        """
        had_head = self.head_complete
        known_body_bytes = self.body_bytes
        try:
            self.feed(data)
        except SurplusBytesError:
            self.surplus = True
        except response.HTTPParseError:
            if not self.complete or self.get_code() < 200:
                raise
            self.surplus = True
        if not data and not self.complete:
            raise response.HTTPParseError("closed before the answer ended")
        if had_head:
            body_bytes = self.body_bytes - known_body_bytes
            self.framing_bytes += len(data) - body_bytes
        else:
            self.head_bytes += len(data)
        if not self.complete:
            self._check_bounds()

    def _check_bounds(self) -> None:
        """Ends an answer that consists of ever more bytes besides a body."""
        if not self.head_complete and self.head_bytes > MAX_HEAD_BYTES:
            raise response.HTTPParseError("the answer head is too large")
        allowed = (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
        )
        if self.framing_bytes > allowed:
            raise response.HTTPParseError("too many bytes besides the body")

    def take(self) -> bytes:
        """Returns and forgets the decoded body bytes."""
        if len(self.pieces) == 1:
            return self.pieces.pop()
        data = b"".join(self.pieces)
        self.pieces.clear()
        return data

    def _on_message_begin(self) -> None:
        if self.complete:
            raise SurplusBytesError("bytes after the end of the answer")
        self.fields.clear()
        super()._on_message_begin()

    def _flush_header(self) -> None:
        name = self._current_header_field
        if name is None:
            return
        if len(self.fields) >= MAX_FIELDS:
            raise response.HTTPParseError("the answer has too many fields")
        value = self._current_header_value or ""
        self.fields.append((name.lower(), value))
        self._current_header_field = None
        self._current_header_value = None

    def _on_header_field(self, string: str) -> None:
        if not self.headers_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.headers_complete:
            super()._on_header_value(string)

    def _on_body(self, buf: bytearray) -> None:
        self.body_bytes += len(buf)
        self.pieces.append(bytes(buf))
