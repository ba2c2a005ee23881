"""Transport of peer messages over ZeroMQ push and pull sockets.

Each VM binds one pull socket and opens one push socket per peer. Messages to an
unreachable peer are dropped, because every message is sent periodically or
retried by its sender. Only the sending end of a connection probes it: in a
fleet of hundreds, probes of both ends each second would cost more processor
time than requests do.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Protocol

import attrs
import gevent
import zmq
import zmq.green

from mulberrydeck import binding
from mulberrydeck import errors
from mulberrydeck.peers import codec
from mulberrydeck.peers import envelope

SEND_QUEUE_MESSAGES = 256
RECONNECT_INTERVAL_MS = 100
# Short, since VMs of a restarting fleet wait for each other's messages.
MAX_RECONNECT_INTERVAL_MS = 300
DEFAULT_PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_MS = 2500
# The kernel closes a connection whose data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# The receiving end closes a connection after this many missed probes.
MAX_MISSED_PROBES = 5
MS_PER_S = 1000
# Messages wait this long for a new connection; several round trips between
# distant regions. Later they would carry outdated state.
CONNECT_WAIT_S = 0.5
MAX_CONNECTING_MESSAGES = 16
CONNECT_POLL_INTERVAL_S = 0.01
HANDSHAKE_TIMEOUT_MS = 2000
# Messages read in a row before other greenlets, such as those that serve
# requests, can run.
MAX_MESSAGES_PER_TURN = 50


class TransportMetrics(Protocol):
    """Counts the messages of a transport."""

    def peer_message(self, direction: str, size: int) -> None:
        """Counts a message and its bytes.

        Args:
            direction: `in` if received, `out` if sent.
            size: Size of the sealed message in bytes.
        """

    def peer_malformed(self) -> None:
        """Counts a received message that fails authentication or decoding."""


@attrs.define(eq=False)
class _Connection:
    """Connection to a peer.

    Attributes:
        socket: The push socket.
        opened_s: When it was opened, in seconds.
        connecting: Messages that wait for the connection to be established.
    """

    socket: zmq.Socket
    opened_s: float
    connecting: collections.deque[bytes] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CONNECTING_MESSAGES)
    )


class PeerTransport:
    """Sends and receives peer messages."""

    def __init__(
        self,
        vm_name: str,
        listen_address: str,
        source_ip: str,
        secret: str,
        deliver: Callable[[str, object], None],
        metrics: TransportMetrics,
        probe_interval_s: float = DEFAULT_PROBE_INTERVAL_S,
    ) -> None:
        """Initializes the transport without opening sockets.

        Args:
            vm_name: Name of this VM.
            listen_address: `ip:port` to bind.
            source_ip: Local IP of outgoing connections; empty lets the system
                choose.
            secret: Secret shared by all VMs.
            deliver: Called with the sender's name and the message.
            metrics: Counts messages and bytes.
            probe_interval_s: Interval of the probes of a connection, in
                seconds.
        """
        self.vm_name = vm_name
        self.listen_address = listen_address
        self.source_ip = source_ip
        self.secret = secret.encode()
        self.deliver = deliver
        self.metrics = metrics
        self.probe_interval_ms = int(probe_interval_s * MS_PER_S)
        self.context = zmq.green.Context()
        self._plain_context = zmq.Context(self.context)
        self._pull = None
        self._connections: dict[str, _Connection] = {}
        self._reader = None
        self._flusher = None
        self._sealed_message: object = None
        self._sealed = b""

    def start(self) -> None:
        """Binds the listening socket and starts receiving.

        Raises:
            errors.AddressError: The address cannot be bound.
        """
        self._pull = self.context.socket(zmq.PULL)
        self._configure(self._pull)
        self._pull.setsockopt(zmq.HEARTBEAT_IVL, 0)
        self._pull.setsockopt(zmq.MAXMSGSIZE, 2 * codec.MAX_MESSAGE_BYTES)
        binding.bind(self._bind, self.listen_address)
        self._reader = gevent.spawn(self._read)

    def _bind(self) -> None:
        try:
            self._pull.bind(f"tcp://{self.listen_address}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, str(error)) from error

    def stop(self) -> None:
        """Closes all sockets; unsent messages get 200 ms to be flushed."""
        for greenlet in (self._reader, self._flusher):
            if greenlet is not None:
                greenlet.kill()
        for name in list(self._connections):
            self.disconnect(name, linger_ms=200)
        if self._pull is not None:
            self._pull.close(linger=0)
        # Termination at interpreter exit takes seconds while peers still send.
        self.context.term()

    def connect(self, name: str, address: str) -> None:
        """Opens a connection to a peer, replacing any existing one."""
        self.disconnect(name)
        # Sends never block, so the socket need not be integrated with gevent.
        push = self._plain_context.socket(zmq.PUSH)
        self._configure(push)
        push.setsockopt(zmq.IMMEDIATE, 1)
        push.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        source = f"{self.source_ip}:0;" if self.source_ip else ""
        push.connect(f"tcp://{source}{address}")
        self._connections[name] = _Connection(push, time.monotonic())

    def disconnect(self, name: str, linger_ms: int = 0) -> None:
        """Closes the connection to a peer, if any."""
        connection = self._connections.pop(name, None)
        if connection is not None:
            connection.socket.close(linger=linger_ms)

    def send(self, name: str, message: object) -> None:
        """Sends a message; drops it if the peer is unreachable.

        A message is also dropped if the send queue of the peer is full. Only
        sent messages are counted.
        """
        connection = self._connections.get(name)
        if connection is None:
            return
        sealed = self._seal(message)
        if connection.connecting or not self._try_send(connection, sealed):
            self._send_when_connected(connection, sealed)

    def _seal(self, message: object) -> bytes:
        """Returns the wire form of a message; most go to several peers."""
        if message is not self._sealed_message:
            payload = codec.encode(message)
            self._sealed = envelope.seal(
                self.secret, envelope.Envelope(self.vm_name, payload)
            )
            self._sealed_message = message
        return self._sealed

    def _try_send(self, connection: _Connection, sealed: bytes) -> bool:
        """Returns whether a message was passed to the connection."""
        try:
            connection.socket.send(sealed, flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.metrics.peer_message("out", len(sealed))
        return True

    def _send_when_connected(
        self, connection: _Connection, sealed: bytes
    ) -> None:
        """Queues a message while the connection is being established."""
        if time.monotonic() >= connection.opened_s + CONNECT_WAIT_S:
            return
        connection.connecting.append(sealed)
        if self._flusher is None or self._flusher.dead:
            self._flusher = gevent.spawn(self._flush)

    def _flush(self) -> None:
        """Sends the messages that wait for connections."""
        while True:
            waiting = [
                connection
                for connection in self._connections.values()
                if connection.connecting
            ]
            if not waiting:
                return
            for connection in waiting:
                self._flush_connection(connection)
            gevent.sleep(CONNECT_POLL_INTERVAL_S)

    def _flush_connection(self, connection: _Connection) -> None:
        if time.monotonic() >= connection.opened_s + CONNECT_WAIT_S:
            connection.connecting.clear()
        while connection.connecting and self._try_send(
            connection, connection.connecting[0]
        ):
            connection.connecting.popleft()

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        interval_ms = self.probe_interval_ms
        socket.setsockopt(zmq.HEARTBEAT_IVL, interval_ms)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, MAX_MISSED_PROBES * interval_ms)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)

    def _read(self) -> None:
        while True:
            self._receive(self._pull.recv())
            for data in self._queued_messages():
                self._receive(data)

    def _queued_messages(self) -> Iterator[bytes]:
        """Yields messages that have already arrived, without blocking."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                yield zmq.Socket.recv(self._pull, zmq.NOBLOCK)
            except zmq.Again:
                return

    def _receive(self, data: bytes) -> None:
        self.metrics.peer_message("in", len(data))
        try:
            opened = envelope.open_sealed(self.secret, data)
            message = codec.decode(opened.payload)
        except errors.MessageError:
            self.metrics.peer_malformed()
            return
        self.deliver(opened.sender, message)
