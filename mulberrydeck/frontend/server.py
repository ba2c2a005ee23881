"""Servers towards callers and towards relaying VMs."""

from collections.abc import Callable

import gevent
import gevent.pywsgi

from mulberrydeck.core import gateway as gateways
from mulberrydeck.forward import pool as pools
from mulberrydeck.frontend import connections
from mulberrydeck.frontend import hangups
from mulberrydeck.frontend import paths
from mulberrydeck.frontend import problems
from mulberrydeck.frontend import requests
from mulberrydeck.frontend import services
from mulberrydeck.frontend import views
from mulberrydeck.settings import declarations

STOP_POLL_S = 0.02


def make_pool(
    settings: declarations.Settings, gateway: gateways.Gateway
) -> pools.ConnectionPool:
    """Returns the pool that both servers share.

    Args:
        settings: Settings of this VM.
        gateway: Entry to the core, for its clock.
    """
    return pools.ConnectionPool(
        settings.source_ip,
        settings.connect_timeout_s,
        settings.idle_timeout_s,
        gateway.now_s,
    )


class HttpServer:
    """A listener with its connections.

    Attributes:
        application: Answers one request.
        idle_timeout_s: Time allowed between two pieces, in seconds.
        stopping: Whether answers close their connections.
        in_flight: Number of requests in progress.
        watch: Watch for callers that hang up.
    """

    def __init__(
        self,
        address: str,
        application: Callable[[requests.Request], None],
        settings: declarations.Settings,
    ) -> None:
        """Prepares a listener.

        Args:
            address: `ip:port` to listen on.
            application: Answers one request.
            settings: Settings of this VM.
        """
        host, _, port = address.rpartition(":")
        self.application = application
        self.idle_timeout_s = settings.idle_timeout_s
        self.stop_notice_s = settings.stop_notice_s
        self.stopping = False
        self.in_flight = 0
        self.watch = hangups.HangupWatch()
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
            graceful: Whether to serve on for the notice time and then until
                no request is in progress.
        """
        self.stopping = True
        if graceful:
            gevent.sleep(self.stop_notice_s)
            while self.in_flight:
                gevent.sleep(STOP_POLL_S)
        self.listener.stop(timeout=0)
        self.watch.stop()

    def _handler(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        _listener: gevent.pywsgi.WSGIServer,
    ) -> connections.ConnectionHandler:
        return connections.ConnectionHandler(sock, address, self)


class CallerServer(HttpServer):
    """Serves callers."""

    def __init__(
        self,
        settings: declarations.Settings,
        gateway: gateways.Gateway,
        pool: pools.ConnectionPool | None = None,
    ) -> None:
        """Wires the paths of callers.

        Args:
            settings: Settings of this VM.
            gateway: Entry to the core.
            pool: Connections to targets and other VMs; None makes one.
        """
        pool = pool or make_pool(settings, gateway)
        self.views = views.Views(gateway)
        self.services = services.ServiceRequests(
            gateway, pool, settings.fleet_secret
        )
        super().__init__(settings.caller_address, self._dispatch, settings)

    def _dispatch(self, request: requests.Request) -> None:
        if request.path.startswith(paths.SERVICES_PREFIX):
            self.services.serve_caller(request)
        else:
            self.views.serve(request)


class RelayServer(HttpServer):
    """Serves requests that other VMs relay."""

    def __init__(
        self,
        settings: declarations.Settings,
        gateway: gateways.Gateway,
        pool: pools.ConnectionPool | None = None,
    ) -> None:
        """Wires the path of relaying VMs.

        Args:
            settings: Settings of this VM.
            gateway: Entry to the core.
            pool: Connections to targets and other VMs; None makes one.
        """
        pool = pool or make_pool(settings, gateway)
        self.services = services.ServiceRequests(
            gateway, pool, settings.fleet_secret
        )
        super().__init__(settings.relay_address, self._dispatch, settings)

    def _dispatch(self, request: requests.Request) -> None:
        if not request.path.startswith(paths.SERVICES_PREFIX):
            raise requests.RefusedError(problems.NOT_FOUND)
        self.services.serve_relayed(request)
