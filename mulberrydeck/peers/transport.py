"""Transport of peer messages over ZeroMQ push and pull sockets.

Each VM binds one pull socket and opens one push socket per peer. Messages to an
unreachable peer are dropped, because every message is sent periodically or
retried by its sender.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Protocol

import gevent
import zmq
import zmq.green

from mulberrydeck import errors
from mulberrydeck.peers import codec
from mulberrydeck.peers import envelope

SEND_QUEUE_MESSAGES = 256
RECONNECT_INTERVAL_MS = 100
# Short, since VMs of a restarting fleet wait for each other's messages.
MAX_RECONNECT_INTERVAL_MS = 300
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
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
        """
        self.vm_name = vm_name
        self.listen_address = listen_address
        self.source_ip = source_ip
        self.secret = secret.encode()
        self.deliver = deliver
        self.metrics = metrics
        self.context = zmq.green.Context()
        self._plain_context = zmq.Context(self.context)
        self._pull = None
        self._push_by_peer: dict[str, zmq.Socket] = {}
        self._reader = None

    def start(self) -> None:
        """Binds the listening socket and starts receiving."""
        self._pull = self.context.socket(zmq.PULL)
        self._configure(self._pull)
        self._pull.setsockopt(zmq.MAXMSGSIZE, 2 * codec.MAX_MESSAGE_BYTES)
        self._pull.bind(f"tcp://{self.listen_address}")
        self._reader = gevent.spawn(self._read)

    def stop(self) -> None:
        """Closes all sockets; unsent messages get 200 ms to be flushed."""
        if self._reader is not None:
            self._reader.kill()
        for name in list(self._push_by_peer):
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
        self._push_by_peer[name] = push

    def disconnect(self, name: str, linger_ms: int = 0) -> None:
        """Closes the connection to a peer, if any."""
        push = self._push_by_peer.pop(name, None)
        if push is not None:
            push.close(linger=linger_ms)

    def send(self, name: str, message: object) -> None:
        """Sends a message; drops it if the peer is unreachable.

        A message is also dropped if the send queue of the peer is full. Only
        sent messages are counted.
        """
        push = self._push_by_peer.get(name)
        if push is None:
            return
        payload = codec.encode(message)
        sealed = envelope.seal(
            self.secret, envelope.Envelope(self.vm_name, payload)
        )
        try:
            push.send(sealed, flags=zmq.NOBLOCK)
        except zmq.Again:
            return
        self.metrics.peer_message("out", len(sealed))

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
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
