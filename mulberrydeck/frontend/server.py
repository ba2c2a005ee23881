"""Servers for callers and for relaying VMs."""

import gevent

from mulberrydeck.frontend import arrivals
from mulberrydeck.frontend import dependencies as dependency_sets
from mulberrydeck.frontend import listeners
from mulberrydeck.frontend import paths
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.frontend import services
from mulberrydeck.frontend import views

# Interval between checks for open connections and requests during a stop.
STOP_POLL_INTERVAL_S = 0.02
# Time for the first request on connections from the backlog during a stop.
FIRST_REQUEST_GRACE_S = 0.25
POOL_SWEEP_INTERVAL_S = 1.0


class HttpServer(listeners.HttpListener):
    """An HTTP listener of an entry VM.

    Attributes:
        dependencies: Dependencies of request handling.
    """

    def __init__(
        self,
        address: str,
        role: str,
        dependencies: dependency_sets.Dependencies,
    ) -> None:
        """Initializes a server.

        Args:
            address: `ip:port` to listen on.
            role: `caller` or `relay`, for metrics.
            dependencies: Dependencies of request handling.
        """
        super().__init__(address)
        self.dependencies = dependencies
        self.idle_timeout_s = dependencies.settings.idle_timeout_s
        dependencies.metrics.watch_in_flight(role, lambda: self.in_flight)

    def stop(self, graceful: bool = True) -> None:
        """Stops serving.

        Args:
            graceful: Whether to keep serving for `stop_notice_s`, then until no
                request is in progress, and to serve connections and requests
                that had already arrived.
        """
        self.stopping = True
        if graceful:
            gevent.sleep(self.dependencies.settings.stop_notice_s)
            self._wait_until_idle()
            self._accept_backlog()
            self._close_idle()
        self.listener.stop(timeout=0)
        self.watcher.stop()

    def _wait_until_idle(self) -> None:
        while self.in_flight:
            gevent.sleep(STOP_POLL_INTERVAL_S)

    def _accept_backlog(self) -> None:
        """Accepts the connections that closing the socket would reset."""
        self.stop_accepting()
        gevent.sleep(FIRST_REQUEST_GRACE_S)

    def _close_idle(self) -> None:
        while self.open_connections:
            self.close_idle()
            gevent.sleep(STOP_POLL_INTERVAL_S)


class CallerServer(HttpServer):
    """Serves callers."""

    def __init__(self, dependencies: dependency_sets.Dependencies) -> None:
        """Initializes a server.

        Args:
            dependencies: Dependencies of request handling.
        """
        self.views = views.Views(dependencies)
        self.services = services.ServiceRequestHandler(
            dependencies, arrivals.from_caller
        )
        self.pool_sweeper: gevent.Greenlet | None = None
        super().__init__(
            dependencies.settings.caller_address, "caller", dependencies
        )

    def start(self) -> None:
        """Binds the listener and starts to serve."""
        super().start()
        self.dependencies.tracer.start()
        self.pool_sweeper = gevent.spawn(self._sweep_pool)

    def stop(self, graceful: bool = True) -> None:
        """Stops serving, as `HttpServer.stop` does."""
        super().stop(graceful)
        if self.pool_sweeper is not None:
            self.pool_sweeper.kill()
        self.dependencies.tracer.stop()

    def handle_request(self, request: requests.Request) -> None:
        """Responds to one request of a caller.

        Raises:
            requests.RefusedError: The request is refused before it reaches the
                core.
        """
        if request.path.startswith(paths.SERVICES_PREFIX):
            self.services.serve(request)
        else:
            self.views.serve(request)

    def _sweep_pool(self) -> None:
        while True:
            gevent.sleep(POOL_SWEEP_INTERVAL_S)
            self.dependencies.pool.close_expired()


class RelayServer(HttpServer):
    """Serves requests that other VMs relay."""

    def __init__(self, dependencies: dependency_sets.Dependencies) -> None:
        """Initializes a server.

        Args:
            dependencies: Dependencies of request handling.
        """
        self.services = services.ServiceRequestHandler(
            dependencies, arrivals.from_vm
        )
        super().__init__(
            dependencies.settings.relay_address, "relay", dependencies
        )

    def handle_request(self, request: requests.Request) -> None:
        """Responds to one relayed request.

        Raises:
            requests.RefusedError: The request is refused before it reaches the
                core.
        """
        if not request.path.startswith(paths.SERVICES_PREFIX):
            raise requests.RefusedError(problems.NOT_FOUND)
        self.services.serve(request)
