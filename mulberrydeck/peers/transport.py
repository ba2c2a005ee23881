"""Transport of peer messages over ZeroMQ push and pull sockets.

Each VM binds one pull socket and opens one push socket per peer. Messages to a
peer that cannot be reached are dropped: every message is periodic or repeated
by its sender.
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
RECONNECT_MS = 100
RECONNECT_MAX_MS = 300  # Fleets that restart wait for each other.
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
HANDSHAKE_MS = 2000
MOST_AT_ONCE = 50  # Messages read before requests get their turn.


class Counters(Protocol):
    """Counts what passes through a transport."""

    def peer_message(self, direction: str, size: int) -> None:
        """Counts a message that came `in` or went `out`."""

    def peer_malformed(self) -> None:
        """Counts a message that cannot be read."""


class PeerTransport:
    """Sends and receives peer messages."""

    def __init__(
        self,
        vm_name: str,
        listen_address: str,
        source_ip: str,
        secret: str,
        deliver: Callable[[str, object], None],
        metrics: Counters,
    ) -> None:
        """Prepares the transport without opening sockets.

        Args:
            vm_name: Name of this VM.
            listen_address: `ip:port` to bind.
            source_ip: Local IP of outgoing connections, or empty.
            secret: Secret shared by all VMs.
            deliver: Called with sender and message.
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
        """Binds the listening socket and starts reading."""
        self._pull = self.context.socket(zmq.PULL)
        self._configure(self._pull)
        self._pull.setsockopt(zmq.MAXMSGSIZE, 2 * codec.MAX_MESSAGE_BYTES)
        self._pull.bind(f"tcp://{self.listen_address}")
        self._reader = gevent.spawn(self._read)

    def stop(self) -> None:
        """Closes all sockets after a short time to flush them."""
        if self._reader is not None:
            self._reader.kill()
        for name in list(self._push_by_peer):
            self.disconnect(name, linger_ms=200)
        if self._pull is not None:
            self._pull.close(linger=0)
        # Left to the interpreter's end, this takes seconds while others send.
        self.context.term()

    def connect(self, name: str, address: str) -> None:
        """Opens a connection to a peer, replacing an earlier one."""
        self.disconnect(name)
        # Sends never wait, so the socket needs no part in the event loop.
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
        """Sends a message, or drops and counts it."""
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
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)

    def _read(self) -> None:
        while True:
            self._receive(self._pull.recv())
            for data in self._waiting():
                self._receive(data)

    def _waiting(self) -> Iterator[bytes]:
        """Yields messages that have arrived, without a wait for each."""
        for _ in range(MOST_AT_ONCE):
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
