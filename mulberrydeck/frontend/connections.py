"""Handling of accepted connections."""

from collections.abc import Iterator
import contextlib
import traceback
from typing import Protocol

import gevent.socket

from mulberrydeck.forward import budgets
from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import disconnects
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.frontend import responses
from mulberrydeck.observability import logs

KEEP_ALIVE_S = 75.0


class Server(Protocol):
    """Interface of a server to its connections.

    Attributes:
        open_connections: Handlers of the open connections.
        idle_timeout_s: Timeout of each receive and send within a request, in
            seconds.
        keep_alive_s: Timeout for the first byte of a request, in seconds.
        stopping: Whether connections close after the current response.
        watcher: Detects callers that disconnect.
        in_flight: Number of requests in progress.
        transferred_bytes: Bytes received and sent on closed connections.
        unsent_budget: Memory of all data that peers have not yet read; None if
            not limited.
    """

    idle_timeout_s: float
    keep_alive_s: float
    stopping: bool
    watcher: disconnects.DisconnectWatcher
    in_flight: int
    transferred_bytes: int
    unsent_budget: budgets.ByteBudget | None
    open_connections: "set[ConnectionHandler]"

    def handle_request(self, request: requests.Request) -> None:
        """Responds to one request."""


class ConnectionHandler:
    """Serves the requests of one connection, one after another.

    It has the interface of the handlers of `gevent.pywsgi` and replaces its
    WSGI handler, since WSGI can neither distinguish an incomplete response from
    a complete one nor reject ambiguous framing.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        server: Server,
    ) -> None:
        """Prepares to serve an accepted connection.

        Args:
            sock: Socket of the connection.
            address: IP and port of the peer.
            server: Server that accepted it.
        """
        self.connection = buffered.BufferedConnection(sock, address[0])
        if server.unsent_budget is not None:
            self.connection.unsent = server.unsent_budget.reserve()
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
            self.server.transferred_bytes += self.connection.transferred_bytes

    def end_if_idle(self) -> None:
        """Ends the connection unless a request is in progress on it."""
        if self.connection.idle and not self.connection.reading_stopped:
            self.connection.stop_reading()

    def _serve_next(self) -> bool:
        data = self.connection.read_head(
            self.server.keep_alive_s, self.server.idle_timeout_s
        )
        if not data:
            return False
        request = requests.from_head(
            self.connection, heads.parse(data), self.server.stopping
        )
        self.server.in_flight += 1
        try:
            with self._watched():
                self._respond(request)
                self._abort_if_unfinished(request)
        finally:
            self.server.in_flight -= 1
        return not request.response.closing and request.fully_read

    @contextlib.contextmanager
    def _watched(self) -> Iterator[None]:
        """Raises in this greenlet if the caller disconnects meanwhile."""
        descriptor = self.connection.sock.fileno()
        if not self.connection.reading_stopped:
            self.server.watcher.add(descriptor)
        try:
            yield
        finally:
            self.server.watcher.remove(descriptor)

    def _respond(self, request: requests.Request) -> None:
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

    def _abort_if_unfinished(self, request: requests.Request) -> None:
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
