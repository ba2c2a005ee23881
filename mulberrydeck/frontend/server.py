"""Servers towards callers and towards relaying VMs."""

import gevent
import gevent.pywsgi
import gevent.socket

from mulberrydeck.frontend import arrivals
from mulberrydeck.frontend import connections
from mulberrydeck.frontend import hangups
from mulberrydeck.frontend import parts as part_sets
from mulberrydeck.frontend import paths
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.frontend import services
from mulberrydeck.frontend import views

STOP_POLL_S = 0.02
FIRST_REQUEST_S = 0.25
POOL_SWEEP_INTERVAL_S = 1.0


class HttpServer:
    """A listener with its connections.

    Attributes:
        idle_timeout_s: Time allowed between two pieces, in seconds.
        keep_alive_s: Time allowed between two requests, in seconds.
        stopping: Whether answers close their connections.
        in_flight: Number of requests in progress.
        watch: Watch for callers that hang up.
        open: Open connections.
    """

    def __init__(self, address: str, role: str, parts: part_sets.Parts) -> None:
        """Prepares a listener.

        Args:
            address: `ip:port` to listen on.
            role: `caller` or `relay`, for metrics.
            parts: Parts of this VM.
        """
        host, _, port = address.rpartition(":")
        self.parts = parts
        self.idle_timeout_s = parts.settings.idle_timeout_s
        self.keep_alive_s = connections.KEEP_ALIVE_S
        self.stopping = False
        self.in_flight = 0
        self.watch = hangups.HangupWatch()
        self.open: set[connections.ConnectionHandler] = set()
        parts.metrics.watch_in_flight(role, lambda: self.in_flight)
        # Without SERVER_NAME, pywsgi looks the address up in a thread.
        self.listener = gevent.pywsgi.WSGIServer(
            (host, int(port)),
            log=None,
            error_log=None,
            environ={"SERVER_NAME": host},
            handler_class=self._handler,
        )

    @property
    def address(self) -> str:
        """Bound address, `ip:port`."""
        host, port = self.listener.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Binds the listener and begins to serve."""
        self.listener.start()
        self.watch.start()

    def stop(self, graceful: bool = True) -> None:
        """Ends the service.

        Args:
            graceful: Whether to serve on for the notice time, then until no
                request is in progress, and to serve what was already accepted
                or received.
        """
        self.stopping = True
        if graceful:
            gevent.sleep(self.parts.settings.stop_notice_s)
            self._wait_idle()
            self._accept_rest()
            self._close_idle()
        self.listener.stop(timeout=0)
        self.watch.stop()

    def answer(self, request: requests.Request) -> None:
        """Answers one request.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        raise NotImplementedError

    def _wait_idle(self) -> None:
        while self.in_flight:
            gevent.sleep(STOP_POLL_S)

    def _accept_rest(self) -> None:
        """Accepts connections that closing the listener would reset."""
        self.listener.stop_accepting()
        while (accepted := self.listener.do_read()) is not None:
            self.listener.do_handle(*accepted)
        self.listener.close()
        gevent.sleep(FIRST_REQUEST_S)

    def _close_idle(self) -> None:
        while self.open:
            for handler in list(self.open):
                handler.end_when_idle()
            gevent.sleep(STOP_POLL_S)

    def _handler(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        _listener: gevent.pywsgi.WSGIServer,
    ) -> connections.ConnectionHandler:
        return connections.ConnectionHandler(sock, address, self)


class CallerServer(HttpServer):
    """Serves callers."""

    def __init__(self, parts: part_sets.Parts) -> None:
        """Prepares the listener.

        Args:
            parts: Parts of this VM.
        """
        self.views = views.Views(parts)
        self.services = services.ServiceRequests(parts, arrivals.from_caller)
        self.pool_sweeper: gevent.Greenlet | None = None
        super().__init__(parts.settings.caller_address, "caller", parts)

    def start(self) -> None:
        """Binds the listener and begins to serve."""
        super().start()
        self.parts.tracer.start()
        self.pool_sweeper = gevent.spawn(self._sweep_pool)

    def stop(self, graceful: bool = True) -> None:
        """Ends the service as `HttpServer.stop` does."""
        super().stop(graceful)
        if self.pool_sweeper is not None:
            self.pool_sweeper.kill()
        self.parts.tracer.stop()

    def answer(self, request: requests.Request) -> None:
        """Answers one request of a caller.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        if request.path.startswith(paths.SERVICES_PREFIX):
            self.services.serve(request)
        else:
            self.views.serve(request)

    def _sweep_pool(self) -> None:
        while True:
            gevent.sleep(POOL_SWEEP_INTERVAL_S)
            self.parts.pool.expire()


class RelayServer(HttpServer):
    """Serves requests that other VMs relay."""

    def __init__(self, parts: part_sets.Parts) -> None:
        """Prepares the listener.

        Args:
            parts: Parts of this VM.
        """
        self.services = services.ServiceRequests(parts, arrivals.from_vm)
        super().__init__(parts.settings.relay_address, "relay", parts)

    def answer(self, request: requests.Request) -> None:
        """Answers one relayed request.

        Raises:
            requests.RefusedError: It is refused before the core is asked.
        """
        if not request.path.startswith(paths.SERVICES_PREFIX):
            raise requests.RefusedError(problems.NOT_FOUND)
        self.services.serve(request)
