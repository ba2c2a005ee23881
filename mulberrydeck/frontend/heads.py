"""Strict parsing of request heads (RFC 9112).

Heads that two HTTP implementations could interpret differently are rejected, so
that no request can be smuggled past this VM.
"""

import re

import attrs

MAX_HEAD_BYTES = 32 * 1024
END_OF_HEAD = b"\r\n\r\n"

_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(rf"({_TOKEN}) ([!-~]+) HTTP/1\.([01])")
_FIELD = re.compile(rf"({_TOKEN}):([^\x00-\x08\x0a-\x1f\x7f]*)")
_DIGITS = re.compile(r"[0-9]{1,18}")


class BadRequestError(Exception):
    """The request is malformed; the connection must be closed."""


@attrs.frozen
class RequestHead:
    """A parsed request head.

    Attributes:
        method: HTTP method.
        target: Request target as sent, origin form.
        minor: Minor HTTP version, 0 or 1.
        fields: Header fields in order: lower-case name and value.
        index: First value by lower-case name.
        length: Content-Length in bytes; None if absent.
        chunked: Whether the body has the chunked transfer coding.
    """

    method: str
    target: str
    minor: int
    fields: tuple[tuple[str, str], ...]
    index: dict[str, str]
    length: int | None
    chunked: bool

    def values(self, name: str) -> tuple[str, ...]:
        """Returns all values of a header field.

        Args:
            name: Lower-case field name.
        """
        return tuple(
            value for field_name, value in self.fields if field_name == name
        )

    @property
    def has_body(self) -> bool:
        """Whether body bytes follow the head."""
        return self.chunked or bool(self.length)

    @property
    def wants_close(self) -> bool:
        """Whether the sender asks to close the connection after the request."""
        connection = self.index.get("connection")
        if connection is None:
            return self.minor == 0
        options = ",".join(self.values("connection")).lower().split(",")
        stripped = [option.strip() for option in options]
        if "close" in stripped:
            return True
        return self.minor == 0 and "keep-alive" not in stripped


def has_bare_line_ends(data: bytes) -> bool:
    """Returns whether part of a head contains a bare CR or LF.

    Args:
        data: Bytes received so far; a CR at the end is accepted, since its LF
            may follow.
    """
    pairs = data.count(b"\r\n")
    carriage_returns = data.count(b"\r") - data.endswith(b"\r")
    return data.count(b"\n") != pairs or carriage_returns != pairs


def parse(data: bytes) -> RequestHead:
    """Parses a request head.

    Args:
        data: The head without its empty line.

    Raises:
        BadRequestError: The head is malformed or ambiguous.
    """
    if has_bare_line_ends(data) or data.endswith(b"\r"):
        raise BadRequestError("Every line must end in CRLF.")
    lines = data.decode("latin-1").split("\r\n")
    matched = _REQUEST_LINE.fullmatch(lines[0])
    if matched is None:
        raise BadRequestError("The request line is malformed.")
    method, target, minor = matched.groups()
    fields = tuple([_parse_field(line) for line in lines[1:]])
    index: dict[str, str] = {}
    for name, value in fields:
        index.setdefault(name, value)
    _check_host(fields, index, minor)
    length, chunked = _framing(fields, index, minor)
    return RequestHead(
        method, _origin_form(target), int(minor), fields, index, length, chunked
    )


def _parse_field(line: str) -> tuple[str, str]:
    matched = _FIELD.fullmatch(line)
    if matched is None:
        raise BadRequestError("A header field is malformed.")
    name, value = matched.groups()
    return name.lower(), value.strip(" \t")


def _origin_form(target: str) -> str:
    if target.startswith("/"):
        return target
    if not target.lower().startswith("http://"):
        raise BadRequestError("The request target must be a path.")
    _, slash, path = target[len("http://") :].partition("/")
    return slash + path if slash else "/"


def _check_host(
    fields: tuple[tuple[str, str], ...], index: dict[str, str], minor: str
) -> None:
    hosts = sum(name == "host" for name, _ in fields)
    if hosts > 1 or (hosts == 0 and minor == "1"):
        raise BadRequestError("Exactly one Host field is required.")


def _framing(
    fields: tuple[tuple[str, str], ...], index: dict[str, str], minor: str
) -> tuple[int | None, bool]:
    has_encoding = "transfer-encoding" in index
    if "content-length" not in index:
        return None, has_encoding and _is_chunked(fields, minor)
    if has_encoding:
        raise BadRequestError(
            "Content-Length and Transfer-Encoding are mutually exclusive."
        )
    lengths = {value for name, value in fields if name == "content-length"}
    text = lengths.pop()
    if lengths or _DIGITS.fullmatch(text) is None:
        raise BadRequestError("Content-Length must be one decimal number.")
    return int(text), False


def _is_chunked(fields: tuple[tuple[str, str], ...], minor: str) -> bool:
    codings = [value for name, value in fields if name == "transfer-encoding"]
    if minor == "0" or len(codings) != 1 or codings[0].lower() != "chunked":
        raise BadRequestError(
            "Only the transfer coding `chunked` is supported."
        )
    return True
