"""Pool of persistent connections to targets and other VMs."""

from collections.abc import Callable
import math
import socket

import attrs
import gevent.socket

from mulberrydeck.forward import sending

MAX_IDLE_PER_ADDRESS = 64
MS_PER_S = 1000
# Bounds the memory of the identifiers that a connection carried.
MAX_IDENTIFIED_EXCHANGES = 100

# An idle connection is probed after 1 s and then every second, the shortest
# times that the kernel offers. It is closed after two unacknowledged probes.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_COUNT = 2

_IP_BIND_ADDRESS_NO_PORT = 24


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


@attrs.define(eq=False)
class Connection:
    """An open connection.

    Attributes:
        address: `host:port` of the peer.
        sock: Connected socket.
        reused: Whether it carried an earlier exchange.
        idle_since_s: Monotonic time of the last use, in seconds.
        idle_limit_s: Idle time after which it is closed, in seconds.
        carried: Hashes of the identifiers of the exchanges that it carried.
    """

    address: str
    sock: gevent.socket.socket
    reused: bool = False
    idle_since_s: float = 0.0
    idle_limit_s: float = math.inf
    carried: set[int] = attrs.field(factory=set)

    def record_exchange(self, identifier: str) -> None:
        """Records an exchange, of which the peer may send a second response."""
        self.carried.add(hash(identifier))

    def may_carry(self, identifier: str) -> bool:
        """Returns whether no earlier exchange had an identifier."""
        return hash(identifier) not in self.carried

    def is_expired(self, now_s: float) -> bool:
        """Returns whether the idle limit has passed."""
        return now_s - self.idle_since_s > self.idle_limit_s

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has no bytes to read."""
        try:
            self._peek()
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def has_unread(self) -> bool:
        """Returns whether bytes were received that nobody has read."""
        try:
            return bool(self._peek())
        except OSError:
            return False

    def _peek(self) -> bytes:
        # The underlying socket; recv of gevent's socket would block.
        return self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


class ConnectionPool:
    """Opens, keeps and reuses connections.

    Attributes:
        idle: Idle connections by address, most recently used last.
    """

    def __init__(
        self,
        source_ip: str,
        connect_timeout_s: float,
        idle_timeout_s: float,
        now_s: Callable[[], float],
        unacknowledged_timeout_s: float = 0.0,
        tcp_keepalive: bool = False,
    ) -> None:
        """Creates an empty pool.

        Args:
            source_ip: Local address to bind to; empty for any.
            connect_timeout_s: Time allowed to connect, in seconds.
            idle_timeout_s: Idle connections are closed after this time, in
                seconds.
            now_s: Monotonic clock, in seconds.
            unacknowledged_timeout_s: The kernel closes a connection whose
                data stays unacknowledged for this long, in seconds; 0 to use
                `idle_timeout_s`.
            tcp_keepalive: Whether the kernel probes idle connections. This
                detects within seconds that a device on the path, such as a
                NAT, lost the state of the connection.
        """
        self.source_ip = source_ip
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.now_s = now_s
        self.unacknowledged_timeout_s = (
            unacknowledged_timeout_s or idle_timeout_s
        )
        self.tcp_keepalive = tcp_keepalive
        self.idle: dict[str, list[Connection]] = {}

    def acquire(
        self,
        address: str,
        timeout_s: float,
        fresh: bool = False,
        max_idle_s: float = math.inf,
        identifier: str = "",
    ) -> Connection:
        """Returns an idle connection, or opens one.

        Args:
            address: `host:port` of the peer.
            timeout_s: Longest time to connect, in seconds.
            fresh: Whether to always open a new connection.
            max_idle_s: Longest idle time of a reused connection, in seconds.
            identifier: Identifier of the exchange. A connection that carried
                an exchange with the same one is not reused for it.

        Raises:
            ConnectError: The peer is unreachable.
        """
        idle = None if fresh else self.idle.get(address)
        now_s = self.now_s()
        while idle and now_s - idle[-1].idle_since_s <= max_idle_s:
            if not idle[-1].may_carry(identifier):
                break
            connection = idle.pop()
            if not connection.is_expired(now_s) and connection.is_reusable():
                connection.reused = True
                return connection
            connection.sock.close()
        return self._open(address, timeout_s)

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response."""
        idle = self.idle.setdefault(connection.address, [])
        if (
            len(idle) >= MAX_IDLE_PER_ADDRESS
            or len(connection.carried) >= MAX_IDENTIFIED_EXCHANGES
        ):
            connection.sock.close()
            return
        connection.idle_since_s = self.now_s()
        idle.append(connection)

    def discard_idle(self, address: str) -> None:
        """Closes all idle connections of an address."""
        for connection in self.idle.pop(address, ()):
            connection.sock.close()

    def close_expired(self) -> None:
        """Closes connections whose idle limit has passed."""
        now_s = self.now_s()
        for address, idle in list(self.idle.items()):
            unexpired = []
            for connection in idle:
                if connection.is_expired(now_s):
                    connection.sock.close()
                else:
                    unexpired.append(connection)
            if unexpired:
                self.idle[address] = unexpired
            else:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.discard_idle(address)

    def _open(self, address: str, timeout_s: float) -> Connection:
        host, _, port = address.rpartition(":")
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sending.limit_kernel_buffer(sock)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self.unacknowledged_timeout_s * MS_PER_S),
            )
            if self.tcp_keepalive:
                _enable_tcp_keepalive(sock)
            if self.source_ip:
                sock.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
                sock.bind((self.source_ip, 0))
            sock.settimeout(min(self.connect_timeout_s, timeout_s))
            sock.connect((host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            sock.close()
            raise ConnectError(f"{address}: {error}") from error
        except BaseException:
            sock.close()
            raise
        return Connection(address, sock, idle_limit_s=self.idle_timeout_s)


def _enable_tcp_keepalive(sock: gevent.socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_COUNT)
