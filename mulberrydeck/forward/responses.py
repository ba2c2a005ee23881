"""Parsing of HTTP responses, one parser per exchange."""

from geventhttpclient import response

# Largest head of a response, including the interim responses before it.
MAX_HEAD_BYTES = 256 * 1024
# A parsed field takes about 130 bytes of memory in addition to its text, so
# that a limit in bytes alone would not limit memory.
MAX_FIELDS = 1000
# Limit on the total size of chunk headers, chunk extensions and trailers if the
# body is empty.
MAX_FRAMING_BYTES = 64 * 1024
# Added to that limit per body byte; a chunk of one byte has 5 bytes of framing.
MAX_FRAMING_PER_BODY_BYTE = 8

NO_CONTENT_STATUSES = frozenset((204, 304))
SWITCHING_PROTOCOLS = 101
# Other numbers are no statuses (RFC 9110, section 15).
STATUSES = range(100, 600)


class SurplusBytesError(response.HTTPParseError):
    """Bytes follow the end of the response."""


class InvalidStatusError(response.HTTPParseError):
    """The status of the response is not one of the protocol."""


class ResponseParser(response.HTTPResponse):
    """Parses one final response; drops interim (1xx) responses and trailers.

    A faulty target may send an endless head or endless framing. The size of
    the head and of the framing is limited, so that such a response ends with
    an error.

    Attributes:
        fields: Header fields in order: lower-case name and value.
        decoded: Body bytes that `take` has not yet returned.
        surplus: Whether bytes followed the end of the response.
        head_bytes: Bytes received until the head was complete.
        body_bytes: Decoded body bytes so far.
        framing_bytes: Bytes received after the head, excluding the body.
    """

    def __init__(self, method: str) -> None:
        """Starts a parser.

        Args:
            method: Method of the request; a response to HEAD has no body.
        """
        super().__init__(method)
        self.fields: list[tuple[str, str]] = []
        self.decoded = bytearray()
        self.surplus = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.framing_bytes = 0

    @property
    def head_complete(self) -> bool:
        """Whether the head of the final response was parsed."""
        return self.headers_complete and self.get_code() >= 200

    @property
    def complete(self) -> bool:
        """Whether the final response was parsed to its end."""
        return self.message_complete and self.get_code() >= 200

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection can carry another request."""
        return self.complete and not self.surplus and not self.should_close()

    @property
    def declared_length(self) -> int | None:
        """Content-Length in bytes; None if not declared."""
        for name, value in self.fields:
            if name == "content-length":
                return int(value)
        return None

    def first(self, field_name: str) -> str:
        """Returns the first value of a field, or an empty string.

        Args:
            field_name: Name in lower case.
        """
        for name, value in self.fields:
            if name == field_name:
                return value
        return ""

    def values(self, field_name: str) -> tuple[str, ...]:
        """Returns the values of all fields of a name, in order.

        Args:
            field_name: Name in lower case.
        """
        return tuple(value for name, value in self.fields if name == field_name)

    def members(self, field_name: str) -> tuple[str, ...]:
        """Returns the members of a list that may be split into several fields.

        Args:
            field_name: Name in lower case.
        """
        return tuple(
            member.strip()
            for value in self.values(field_name)
            for member in value.split(",")
        )

    def accept(self, data: bytes) -> None:
        """Parses received bytes; empty if the peer closed the connection.

        Raises:
            response.HTTPParseError: The response is malformed or truncated, its
                status is invalid, or its head or framing is too large.
        """
        head_was_complete = self.head_complete
        previous_body_bytes = self.body_bytes
        try:
            self.feed(data)
        except SurplusBytesError:
            self.surplus = True
        except response.HTTPParseError:
            if not self.complete or self.get_code() < 200:
                raise
            self.surplus = True
        if not data and not self.complete:
            raise response.HTTPParseError(
                "connection closed before the end of the response"
            )
        if head_was_complete:
            new_body_bytes = self.body_bytes - previous_body_bytes
            self.framing_bytes += len(data) - new_body_bytes
        else:
            self.head_bytes += len(data)
        if not self.complete:
            self._check_limits()

    def _check_limits(self) -> None:
        """Raises an error if the head or the framing is too large."""
        if not self.head_complete and self.head_bytes > MAX_HEAD_BYTES:
            raise response.HTTPParseError("the response head is too large")
        allowed = (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
        )
        if self.framing_bytes > allowed:
            raise response.HTTPParseError(
                "the response has too many framing bytes"
            )

    def take(self) -> bytes:
        """Returns the decoded body bytes and removes them from the parser."""
        data = bytes(self.decoded)
        self.decoded.clear()
        return data

    def _on_headers_complete(self) -> bool:
        if self.get_code() not in STATUSES:
            raise InvalidStatusError(
                f"the response has the invalid status {self.get_code():03}"
            )
        skips_body = super()._on_headers_complete()
        if self.get_code() < 200:
            # Only the final response to HEAD ends with its head; otherwise, a
            # truncated final head after an interim response seems complete.
            self._message_ended_in_skip_body = False
            return False
        return skips_body

    def _on_message_begin(self) -> None:
        if self.complete:
            raise SurplusBytesError("bytes after the end of the response")
        self.fields.clear()
        super()._on_message_begin()

    def _flush_header(self) -> None:
        name = self._current_header_field
        if name is None:
            return
        if len(self.fields) >= MAX_FIELDS:
            raise response.HTTPParseError(
                "the response has too many header fields"
            )
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
        if self.get_code() < 200:
            raise response.HTTPParseError("an interim response has a body")
        self.body_bytes += len(buf)
        # Not a list, since each of many tiny chunks would take 50 bytes more.
        self.decoded += buf
