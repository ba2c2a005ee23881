"""Serves the requests of one accepted connection, one after another."""

import traceback
from typing import Protocol

import gevent.socket

from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import disconnects
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.frontend import responses
from mulberrydeck.observability import logs

KEEP_ALIVE_S = 75.0


class Server(Protocol):
    """What a connection needs of its server.

    Attributes:
        open_connections: Open connections.
        idle_timeout_s: Time allowed between two pieces, in seconds.
        keep_alive_s: Time allowed between two requests, in seconds.
        stopping: Whether answers should close their connections.
        watcher: Detects callers that disconnect.
        in_flight: Number of requests in progress.
    """

    idle_timeout_s: float
    keep_alive_s: float
    stopping: bool
    watcher: disconnects.DisconnectWatcher
    in_flight: int
    open_connections: "set[ConnectionHandler]"

    def handle_request(self, request: requests.Request) -> None:
        """Answers one request."""


class ConnectionHandler:
    """Handler of one connection, as `gevent.pywsgi` expects it.

    It takes the place of the WSGI handler, since WSGI can neither tell a
    broken answer from a whole one nor reject ambiguous framing.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        server: Server,
    ) -> None:
        """Wraps an accepted connection.

        Args:
            sock: The connection.
            address: IP and port of the peer.
            server: Its server.
        """
        self.connection = buffered.BufferedConnection(sock, address[0])
        self.server = server

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        linger = False
        self.server.open_connections.add(self)
        try:
            while self._serve_next():
                pass
            linger = True
        except (
            buffered.ConnectionLostError,
            disconnects.CallerDisconnectedError,
        ):
            pass
        except heads.BadRequestError:
            self._reject()
            linger = True
        finally:
            self.connection.close(linger)
            self.server.open_connections.discard(self)

    def end_when_idle(self) -> None:
        """Ends the connection unless a request is under way on it."""
        if self.connection.idle and not self.connection.reading_stopped:
            self.connection.stop_reading()

    def _serve_next(self) -> bool:
        data = self.connection.read_head(
            self.server.keep_alive_s, self.server.idle_timeout_s
        )
        if not data:
            return False
        request = requests.receive(
            self.connection, heads.parse(data), self.server.stopping
        )
        self.server.in_flight += 1
        descriptor = self.connection.sock.fileno()
        if not self.connection.reading_stopped:
            self.server.watcher.add(descriptor)
        try:
            self._answer(request)
        finally:
            self.server.watcher.remove(descriptor)
            self.server.in_flight -= 1
        return not request.response.closing and request.fully_read

    def _answer(self, request: requests.Request) -> None:
        try:
            self.server.handle_request(request)
        except requests.RefusedError as error:
            request.refuse(error.problem)
        except heads.BadRequestError:
            request.response.closing = True
            request.refuse(problems.BAD_REQUEST)
        except (
            buffered.ConnectionLostError,
            disconnects.CallerDisconnectedError,
        ):
            raise
        except Exception:
            logs.write(
                "frontend", "A request failed.", error=traceback.format_exc()
            )
            request.response.closing = True
            request.refuse(problems.INTERNAL)
        if not request.response.finished:
            request.response.closing = True
            self.connection.abort()

    def _reject(self) -> None:
        try:
            writer = responses.ResponseWriter(
                self.connection, None, closing=True
            )
            problem = problems.BAD_REQUEST
            writer.send_complete(
                problem.status,
                problems.fields(problem),
                problems.encode(problem, ""),
            )
        except buffered.ConnectionLostError:
            return
