"""One HTTP exchange over a fresh connection, which is never sent again."""

import time
import urllib.parse

import attrs
import gevent.socket
from geventhttpclient import response as http_response

RECEIVE_BYTES = 65_536
MAX_ANSWER_BYTES = 64_000_000


class NotSentError(Exception):
    """No byte of the request left this process."""


class NoResponseError(Exception):
    """The request was sent, at least in part, and no whole answer came."""


@attrs.frozen
class Request:
    """A request to the platform.

    Attributes:
        method: HTTP method.
        path: Path with query.
        headers: Additional headers.
        body: Raw body.
    """

    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class Response:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Headers by lower-case name.
        body: Raw body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def number(self, header: str) -> int:
        """Returns a header's value as a number, or 0.

        Args:
            header: Name of the header in lower case.
        """
        text = self.headers.get(header, "")
        if text.isascii() and text.isdigit():
            return int(text)
        return 0


class Endpoint:
    """Where requests go.

    Args:
        url: Base URL, `http://host:port`.
        source_ip: Local IP of connections; empty lets the system choose.

    Raises:
        ValueError: The URL has no host or another scheme.
    """

    def __init__(self, url: str, source_ip: str = "") -> None:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{url!r} is no URL of the form http://host:port.")
        self.host = parts.hostname
        self.port = parts.port or 80
        self.base_path = parts.path.rstrip("/")
        self.authority = parts.netloc
        self.source_ip = source_ip

    def exchange(self, request: Request, timeout_s: float) -> Response:
        """Sends a request once and returns the whole answer.

        Args:
            request: What to send.
            timeout_s: Time allowed for all of it, in seconds.

        Raises:
            NotSentError: No connection could be opened.
            NoResponseError: Bytes were sent and no whole answer came.
        """
        deadline_s = time.monotonic() + timeout_s
        connection = self._connect(timeout_s)
        try:
            _set_timeout(connection, deadline_s)
            connection.sendall(self._encode(request))
            return _receive(connection, request.method, deadline_s)
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
    connection: gevent.socket.socket, method: str, deadline_s: float
) -> Response:
    parser = _WholeResponse(method)
    while not parser.is_final():
        _set_timeout(connection, deadline_s)
        data = connection.recv(RECEIVE_BYTES)
        parser.feed(data)
        if not data and not parser.is_final():
            raise OSError("the connection ended within the answer")
        if len(parser.body) > MAX_ANSWER_BYTES:
            raise OSError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    headers = {name.lower(): value for name, value in parser.items()}
    return Response(parser.status_code, headers, bytes(parser.body))


class _WholeResponse(http_response.HTTPResponse):
    """Collects the body of a response and skips interim responses."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.body = bytearray()

    def is_final(self) -> bool:
        return self.message_complete and self.status_code >= 200

    def _on_body(self, buf: bytearray) -> None:
        self.body += buf


def _set_timeout(connection: gevent.socket.socket, deadline_s: float) -> None:
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimeoutError("no answer in time")
    connection.settimeout(left_s)
