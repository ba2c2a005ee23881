"""Handling of pipelined requests while earlier ones are in progress.

Safe requests of a connection are handled at the same time, as RFC 9112 (9.3.2)
allows; their responses are written in the order of the requests.
"""

import collections
from collections.abc import Callable
import contextlib
from typing import Protocol

import attrs
import gevent
import gevent.event
import gevent.socket

from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import connections
from mulberrydeck.frontend import disconnects
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import requests

# Methods that RFC 9110 (9.2.1) defines as safe, except TRACE.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


class Server(connections.Server, Protocol):
    """Interface of a server to its pipelining connections.

    Attributes:
        max_pipelined_requests: Largest number of requests in progress on a
            connection.
        may_pipeline: Returns whether a safe request without body may be
            handled while earlier ones are in progress, and cancelled.
    """

    max_pipelined_requests: int
    may_pipeline: Callable[[heads.RequestHead], bool]


@attrs.define(eq=False)
class QueuedRequest:
    """A request whose head was read and whose response is not yet written.

    Attributes:
        head: Parsed head.
        request: The request; None until it is handled.
        greenlet: Greenlet that handles it; None if that of the connection does
            once all earlier requests are answered.
    """

    head: heads.RequestHead
    request: requests.Request | None = None
    greenlet: gevent.Greenlet | None = None


class PipeliningHandler(connections.ConnectionHandler):
    """Serves a connection whose requests may be pipelined.

    A reader greenlet reads heads, and starts a greenlet for each safe request
    behind another one. The greenlet of the connection takes the requests in
    order: it lets these write their responses, and handles all others itself.

    Attributes:
        queue: Requests whose responses are not yet written, in order.
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
        super().__init__(sock, address, server)
        self.queue: collections.deque[QueuedRequest] = collections.deque()
        self.queue_changed = gevent.event.Event()
        self.max_requests = server.max_pipelined_requests
        self.answered = gevent.event.Event()
        self.answered_count = 0
        self.reader: gevent.Greenlet | None = None
        self.reading_ended = False
        self.read_error: Exception | None = None

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        self.reader = gevent.spawn(self._read)
        super().handle()

    def end_if_idle(self) -> None:
        """Ends the connection unless a request is in progress on it."""
        if not self.queue:
            super().end_if_idle()

    def _read(self) -> None:
        try:
            while self._read_next():
                pass
        except (buffered.ConnectionLostError, heads.BadRequestError) as error:
            # Raised once all earlier requests are answered.
            self.read_error = error
        finally:
            self.reading_ended = True
            self.queue_changed.set()

    def _read_next(self) -> bool:
        """Reads and queues a request; returns whether another may follow."""
        self._wait_for_queue(self.max_requests - 1)
        data = self._read_head()
        if not data:
            return False
        head = heads.parse(data)
        queued = QueuedRequest(head)
        # Requests behind one that closes the connection count as not read.
        closing = head.wants_close or self.server.stopping
        pipelined = self._may_pipeline(head)
        if pipelined and self.queue:
            self._start(queued)
        self.queue.append(queued)
        self.server.in_flight += 1
        self.queue_changed.set()
        if not pipelined:
            self._wait_for_queue(0)
        return not closing

    def _wait_for_queue(self, length: int) -> None:
        """Waits until the queue is no longer than a given length."""
        while len(self.queue) > length:
            self.answered.clear()
            self.answered.wait()

    def _read_head(self) -> bytes:
        """Reads a head; the idle timeout starts after the last response."""
        while True:
            answered_count = self.answered_count
            try:
                return self.connection.read_head(
                    self.server.keep_alive_s, self.server.idle_timeout_s
                )
            except buffered.IdleTimeoutError:
                if not self.queue and self.answered_count == answered_count:
                    raise

    def _may_pipeline(self, head: heads.RequestHead) -> bool:
        return (
            head.method in SAFE_METHODS
            and head.minor == 1
            and not head.has_body
            and self.server.may_pipeline(head)
        )

    def _start(self, queued: QueuedRequest) -> None:
        request = requests.from_head(
            self.connection, queued.head, self.server.stopping
        )
        request.response.turn = gevent.event.Event()
        queued.request = request
        queued.greenlet = gevent.spawn(self._run, request)

    def _run(self, request: requests.Request) -> None:
        with contextlib.suppress(
            buffered.ConnectionLostError, disconnects.CallerDisconnectedError
        ):
            # The configuration may have changed since the head was read; a
            # request that must not run twice must not be cancelled.
            if not self._may_pipeline(request.head):
                request.response.turn.wait()
            self._respond(request)

    def _serve_next(self) -> bool:
        try:
            continues = self._serve_first()
        except BaseException:
            self._end()
            raise
        if not continues:
            for queued in self.queue:
                if queued.request is not None:
                    queued.request.superseded = True
            self._end()
        return continues

    def _serve_first(self) -> bool:
        while not self.queue:
            if self.read_error is not None:
                raise self.read_error
            if self.reading_ended:
                return False
            self.queue_changed.clear()
            self.queue_changed.wait()
        queued = self.queue[0]
        with self._watched():
            self._answer(queued)
        request = queued.request
        self._abort_if_unfinished(request)
        self._remove_first()
        return not request.response.closing and request.fully_read

    def _answer(self, queued: QueuedRequest) -> None:
        if queued.greenlet is not None:
            queued.request.response.turn.set()
            queued.greenlet.join()
            return
        queued.request = requests.from_head(
            self.connection, queued.head, self.server.stopping
        )
        self._respond(queued.request)

    def _remove_first(self) -> None:
        self.queue.popleft()
        self.server.in_flight -= 1
        self.answered_count += 1
        self.answered.set()

    def _end(self) -> None:
        """Ends reading, and all requests that are not yet answered."""
        self.reader.kill()
        cancelled = []
        error = disconnects.CallerDisconnectedError("The connection ended.")
        for queued in self.queue:
            if queued.greenlet is not None:
                queued.greenlet.kill(error, block=False)
                cancelled.append(queued.greenlet)
        gevent.joinall(cancelled)
        while self.queue:
            self._remove_first()
