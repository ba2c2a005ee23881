"""HTTP listener on top of the WSGI server of gevent."""

import gevent.pywsgi
import gevent.socket

from mulberrydeck import binding
from mulberrydeck.forward import budgets
from mulberrydeck.frontend import connections
from mulberrydeck.frontend import disconnects
from mulberrydeck.frontend import heads
from mulberrydeck.frontend import pipelining
from mulberrydeck.frontend import requests

DEFAULT_IDLE_TIMEOUT_S = 15.0


class HttpListener:
    """Accepts connections and serves their requests.

    Attributes:
        idle_timeout_s: Timeout of each receive and send within a request, in
            seconds.
        keep_alive_s: Timeout for the first byte of a request, in seconds.
        stopping: Whether connections close after the current response.
        in_flight: Number of requests in progress.
        transferred_bytes: Bytes received and sent on closed connections.
        watcher: Detects callers that disconnect.
        open_connections: Handlers of the open connections.
        max_pipelined_requests: Largest number of requests in progress on each
            further connection; 1 to handle them one after another.
        unsent_budget: Memory of all data that peers have not yet read; None if
            not limited.
    """

    def __init__(self, address: str, backlog: int | None = None) -> None:
        """Initializes a listener.

        Args:
            address: `ip:port` to listen on.
            backlog: Number of connections that may wait to be accepted; None
                for the default of gevent.
        """
        host, _, port = address.rpartition(":")
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.keep_alive_s = connections.KEEP_ALIVE_S
        self.stopping = False
        self.in_flight = 0
        self.transferred_bytes = 0
        self.watcher = disconnects.DisconnectWatcher()
        self.max_pipelined_requests = 1
        self.unsent_budget: budgets.ByteBudget | None = None
        self.open_connections: set[connections.ConnectionHandler] = set()
        # Without SERVER_NAME, pywsgi resolves the address in a thread.
        self.listener = gevent.pywsgi.WSGIServer(
            (host, int(port)),
            log=None,
            error_log=None,
            backlog=backlog,
            environ={"SERVER_NAME": host},
            handler_class=self._handler,
        )

    @property
    def address(self) -> str:
        """Bound address, `ip:port`."""
        host, port = self.listener.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Binds the listener and starts to serve.

        Raises:
            errors.AddressError: The address cannot be bound.
        """
        host, port = self.listener.address[:2]
        binding.bind(self.listener.start, f"{host}:{port}")
        self.watcher.start()

    def handle_request(self, request: requests.Request) -> None:
        """Responds to one request.

        Raises:
            requests.RefusedError: The request is refused before it reaches the
                core.
        """
        raise NotImplementedError

    def may_pipeline(self, head: heads.RequestHead) -> bool:
        """Returns whether a safe request without body may be pipelined.

        It is handled while earlier requests of its connection are in progress,
        and cancelled if one of them closes the connection.
        """
        del head
        return False

    def stop_accepting(self) -> None:
        """Accepts the connections in the backlog and closes the socket."""
        self.listener.stop_accepting()
        while (accepted := self.listener.do_read()) is not None:
            self.listener.do_handle(*accepted)
        self.listener.close()

    def close_idle(self) -> None:
        """Ends the connections on which no request is in progress."""
        for handler in list(self.open_connections):
            handler.end_if_idle()

    def total_transferred_bytes(self) -> int:
        """Returns the bytes received and sent on all connections so far."""
        return self.transferred_bytes + sum(
            handler.connection.transferred_bytes
            for handler in self.open_connections
        )

    def _handler(
        self,
        sock: gevent.socket.socket,
        address: tuple[str, int],
        _listener: gevent.pywsgi.WSGIServer,
    ) -> connections.ConnectionHandler:
        if self.max_pipelined_requests > 1:
            return pipelining.PipeliningHandler(sock, address, self)
        return connections.ConnectionHandler(sock, address, self)
