"""Blocking HTTP/1.1 client that never resends a request by itself."""

import collections.abc
import http.client
import json
import socket
import time

import attrs
from gevent import socket as gevent_socket

from standins import serving

DEFAULT_TIMEOUT_S = 30.0

Body = bytes | collections.abc.Iterable[bytes] | None


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Headers by lower-case name.
        body: Complete body.
        latency_s: Time from the start of the exchange to the last byte, in
            seconds.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    latency_s: float

    def json(self) -> object:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


@attrs.frozen
class NoResponse:
    """The failure of an exchange that gave no complete response.

    Attributes:
        reason: Type and text of the error.
        latency_s: Time from the start of the exchange to the error, in
            seconds.
    """

    reason: str
    latency_s: float


class UnreachableError(Exception):
    """A server sent no complete response; check that its process runs."""


class Client:
    """One keep-alive connection to one address.

    Attributes:
        address: Server, `ip:port`.
        source_ip: Local IP; empty lets the system choose.
        timeout_s: Longest wait for the next bytes of a response, in seconds.
        headers: Headers of every request.
        connection: The open connection, if there is one.
    """

    def __init__(
        self,
        address: str,
        source_ip: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        headers: dict[str, str] | None = None,
    ):
        self.address = address
        self.source_ip = source_ip
        self.timeout_s = timeout_s
        self.headers = headers or {}
        self.connection: http.client.HTTPConnection | None = None

    def open(self) -> http.client.HTTPConnection:
        """Returns the open connection; opens one if there is none.

        Raises:
            OSError: The server can't be reached.
        """
        if self.connection is None or self.connection.sock is None:
            host, port = serving.split_address(self.address)
            source = (self.source_ip, 0) if self.source_ip else None
            sock = gevent_socket.create_connection(
                (host, port), self.timeout_s, source
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = http.client.HTTPConnection(host, port)
            connection.auto_open = 0
            connection.sock = sock
            self.connection = connection
        return self.connection

    def close(self) -> None:
        """Closes the connection if one is open."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def request(
        self,
        method: str,
        path: str,
        body: Body = None,
        headers: dict[str, str] | None = None,
        on_head: collections.abc.Callable[[int], None] = lambda _status: None,
    ) -> Response | NoResponse:
        """Sends one request and reads the complete response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body; an iterable is sent in chunks.
            headers: Headers in addition to those of the client.
            on_head: Called with the status when the head of the response has
                arrived.
        """
        start_s = time.monotonic()
        merged = self.headers | (headers or {})
        try:
            connection = self.open()
            connection.request(method, path, body, merged)
            response = connection.getresponse()
            on_head(response.status)
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            reason = f"{type(error).__name__}: {error}"
            return NoResponse(reason, time.monotonic() - start_s)
        lowered = {name.lower(): value for name, value in response.getheaders()}
        if response.will_close:
            self.close()
        latency_s = time.monotonic() - start_s
        return Response(response.status, lowered, content, latency_s)


def call(
    address: str, method: str, path: str, data: object = None
) -> Response | NoResponse:
    """Sends one request with a JSON body on a new connection."""
    client = Client(address)
    body = None if data is None else json.dumps(data).encode()
    try:
        return client.request(method, path, body)
    finally:
        client.close()


def fetch(address: str, path: str) -> object:
    """Returns the decoded JSON response to a GET request.

    Raises:
        UnreachableError: There was no complete response.
    """
    return json_of(call(address, "GET", path), address)


def post(address: str, path: str, data: object) -> object:
    """Posts JSON and returns the decoded JSON response.

    Raises:
        UnreachableError: There was no complete response.
    """
    return json_of(call(address, "POST", path, data), address)


def json_of(response: Response | NoResponse, address: str) -> object:
    """Returns the decoded body of a response.

    Raises:
        UnreachableError: There was no complete response.
    """
    match response:
        case NoResponse(reason=reason):
            raise UnreachableError(f"{address}: {reason}")
        case Response():
            return response.json()
