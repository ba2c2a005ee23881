"""HTTP server shared by the stand-ins: one event loop, small JSON bodies."""

import collections.abc
import json
import socket
import struct
import time
import urllib.parse

import attrs
import gevent
from gevent import pywsgi
from gevent import socket as gevent_socket

# Pause between checks while unread data of a pipelining peer keeps its socket
# readable.
PIPELINED_PAUSE_S = 0.01
# Value of SO_LINGER: on, with a time-out of 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Environ = dict[str, object]
StartResponse = collections.abc.Callable[..., object]
Application = collections.abc.Callable[
    [Environ, StartResponse], collections.abc.Iterable[bytes]
]


@attrs.frozen
class RawJson:
    """A value whose encoded form is given, also one that is not valid JSON.

    Attributes:
        encoded: The encoded form.
    """

    encoded: bytes


class Connection:
    """The accepted connection of a request, for faults below HTTP.

    Attributes:
        socket: The accepted socket.
    """

    def __init__(self, accepted: gevent_socket.socket):
        self.socket = accepted

    def shut_down(self) -> None:
        """Sends buffered data and shuts the connection down."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def reset(self) -> None:
        """Ends the connection with a TCP reset."""
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.shut_down()

    def peer_closes_within(self, wait_s: float) -> bool:
        """Waits up to `wait_s` seconds; returns whether the peer closed."""
        deadline_s = time.monotonic() + wait_s
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            try:
                gevent_socket.wait_read(
                    self.socket.fileno(), timeout=remaining_s
                )
                if not self.socket.recv(1, socket.MSG_PEEK):
                    return True
            except TimeoutError:
                return False
            except OSError:
                return True
            gevent.sleep(PIPELINED_PAUSE_S)
        return False


class Handler(pywsgi.WSGIHandler):
    """Request handler that passes its connection to the application."""

    def get_environ(self) -> Environ:
        """Returns the WSGI environment with the connection added."""
        environ = super().get_environ()
        environ["standins.connection"] = Connection(self.socket)
        environ["standins.headers"] = self.headers.items()
        return environ


class Server(pywsgi.WSGIServer):
    """WSGI server without the delay of Nagle's algorithm before the body."""

    handler_class = Handler

    def handle(self, client_socket: object, address: object) -> None:
        """Serves one accepted connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)


def start(listen: str, application: Application) -> Server:
    """Returns a started server.

    Args:
        listen: Address as `ip:port`; port 0 lets the system choose.
        application: The WSGI application.
    """
    host, port = split_address(listen)
    server = Server((host, port), application, log=None, backlog=1024)
    server.start()
    return server


def address_of(server: Server) -> str:
    """Returns the `ip:port` that a started server listens on."""
    return f"{server.server_host}:{server.server_port}"


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP and port of an `ip:port` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def announce(*words: str) -> None:
    """Prints the ready line, for which a parent process waits."""
    print("ready", *words, flush=True)


def connection_of(environ: Environ) -> Connection:
    """Returns the connection of a request."""
    return environ["standins.connection"]


def query_of(environ: Environ) -> dict[str, str]:
    """Returns the query parameters of a request."""
    return dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))


def read_body(environ: Environ) -> bytes:
    """Returns the complete body of a request."""
    return environ["wsgi.input"].read()


def read_json(environ: Environ) -> object:
    """Returns the decoded JSON body of a request."""
    return json.loads(read_body(environ) or b"{}")


def respond(
    start_response: StartResponse,
    status: str,
    body: bytes = b"",
    headers: collections.abc.Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Responds with a complete body.

    Args:
        start_response: The WSGI callable.
        status: Status code and reason.
        body: The complete body.
        headers: Headers in addition to `Content-Length`.
    """
    length = ("Content-Length", str(len(body)))
    start_response(status, [*headers, length])
    return [body]


def respond_json(
    start_response: StartResponse, data: object, status: str = "200 OK"
) -> list[bytes]:
    """Responds with JSON; `RawJson` values stand in it as they are."""
    raw_values: list[RawJson] = []

    def placeholder(value: RawJson) -> str:
        raw_values.append(value)
        return f"\0{len(raw_values) - 1}\0"

    body = json.dumps(data, default=placeholder).encode()
    for number, value in enumerate(raw_values):
        body = body.replace(json.dumps(f"\0{number}\0").encode(), value.encoded)
    content_type = ("Content-Type", "application/json")
    return respond(start_response, status, body, [content_type])


def drop_connection(
    environ: Environ, start_response: StartResponse
) -> list[bytes]:
    """Resets the connection instead of sending a response."""
    connection_of(environ).reset()
    start_response("500 Dropped", [("Connection", "close")])
    return []
