"""HTTP exchanges, each over a new connection and without retries."""

import time
import urllib.parse

import attrs
import gevent.socket
from geventhttpclient import response as http_response

from mulberrydeck.forward import receiving
from mulberrydeck.forward import responses

RECEIVE_BYTES = 65_536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class NotSentError(Exception):
    """No connection could be opened, so nothing was sent."""


class NoResponseError(Exception):
    """The request may have been sent, but no complete response was received."""


@attrs.frozen
class Request:
    """A request to the platform.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Additional headers.
        body: Raw body.
        max_response_bytes: Size of the largest body of the response, in bytes.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    max_response_bytes: int = MAX_RESPONSE_BYTES


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Headers by lower-case name.
        body: Raw body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def int_header(self, header: str) -> int:
        """Returns a header's value as an integer; 0 if absent or malformed.

        Args:
            header: Name of the header in lower case.
        """
        text = self.headers.get(header, "")
        if text.isascii() and text.isdigit():
            return int(text)
        return 0


class Endpoint:
    """Server to which requests are sent.

    Args:
        url: Base URL, `http://host:port`.
        source_ip: Local IP of connections; empty lets the system choose.

    Raises:
        ValueError: The URL has no host or a scheme other than `http`.
    """

    def __init__(self, url: str, source_ip: str = "") -> None:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(
                f"{url!r} is not a URL of the form http://host:port."
            )
        self.host = parts.hostname
        self.port = parts.port or 80
        self.base_path = parts.path.rstrip("/")
        self.authority = parts.netloc
        self.source_ip = source_ip

    def exchange(self, request: Request, timeout_s: float) -> Response:
        """Sends a request once and returns the complete response.

        Args:
            request: Request to send.
            timeout_s: Time allowed for the whole exchange, in seconds.

        Raises:
            NotSentError: No connection could be opened.
            NoResponseError: The request may have been sent, but no complete
                response was received.
        """
        deadline_s = time.monotonic() + timeout_s
        connection = self._connect(timeout_s)
        try:
            _set_timeout(connection, deadline_s)
            connection.sendall(self._encode(request))
            return _receive(connection, request, deadline_s)
        except (OSError, http_response.HTTPParseError) as error:
            raise NoResponseError(str(error) or type(error).__name__) from error
        finally:
            connection.close()

    def _connect(self, timeout_s: float) -> gevent.socket.socket:
        family = gevent.socket.AF_INET
        if ":" in self.host:
            family = gevent.socket.AF_INET6
        connection = gevent.socket.socket(family, gevent.socket.SOCK_STREAM)
        try:
            connection.settimeout(timeout_s)
            connection.setsockopt(
                gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
            )
            if self.source_ip:
                connection.bind((self.source_ip, 0))
            connection.connect((self.host, self.port))
        except OSError as error:
            connection.close()
            raise NotSentError(str(error)) from error
        return connection

    def _encode(self, request: Request) -> bytes:
        lines = [
            f"{request.method} {self.base_path}{request.path} HTTP/1.1",
            f"Host: {self.authority}",
            "Connection: close",
            f"Content-Length: {len(request.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in request.headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("ascii") + request.body


def _receive(
    connection: gevent.socket.socket, request: Request, deadline_s: float
) -> Response:
    parser = responses.ResponseParser(request.method)
    slicer = receiving.Slicer()
    while not parser.complete:
        timeout_s = _set_timeout(connection, deadline_s)
        data = connection.recv(RECEIVE_BYTES)
        for piece in slicer.slices(data, timeout_s):
            parser.accept(piece)
        if parser.body_bytes > request.max_response_bytes:
            raise OSError(
                f"the response exceeds {request.max_response_bytes} bytes"
            )
    return Response(parser.get_code(), dict(parser.fields), parser.take())


def _set_timeout(connection: gevent.socket.socket, deadline_s: float) -> float:
    """Sets and returns the time until the deadline, in seconds."""
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("response not complete within the timeout")
    connection.settimeout(remaining_s)
    return remaining_s
