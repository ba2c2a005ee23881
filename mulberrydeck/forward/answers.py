"""Parsing of answers, one parser per exchange."""

from geventhttpclient import response

NO_CONTENT_STATUSES = frozenset((204, 304))
SWITCHING_PROTOCOLS = 101


class SurplusBytesError(response.HTTPParseError):
    """Bytes follow the end of the answer."""


class AnswerParser(response.HTTPResponse):
    """Parses one final answer; interim (1xx) answers are dropped.

    Attributes:
        fields: Header fields in order: lower-case name and value.
        pieces: Decoded body bytes that were not yet taken.
        surplus: Whether bytes followed the end of the answer.
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
            response.HTTPParseError: The answer is malformed or truncated.
        """
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
        value = self._current_header_value or ""
        self.fields.append((name.lower(), value))
        self._current_header_field = None
        self._current_header_value = None

    def _on_body(self, buf: bytearray) -> None:
        self.pieces.append(bytes(buf))
