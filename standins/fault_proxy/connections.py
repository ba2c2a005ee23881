"""Forwarding of connections, one flow for each direction."""

import socket
import time

import gevent
from gevent import socket as gevent_socket
import gevent.queue

from standins import serving
from standins.fault_proxy import counters
from standins.fault_proxy import rules
from standins.fault_proxy import specification

CHUNK_BYTES = 65_536
MAX_DELAYED_CHUNKS = 256
CONNECT_TIMEOUT_S = 5.0


class Flow:
    """One direction of a connection.

    Attributes:
        rules: Rules in force.
        kind: Kind of the link.
        source: Place that sends.
        destination: Place that receives.
        reader: Socket to read from.
        writer: Socket to write to.
        series: Counter of its bytes.
        is_silent: Whether it never forwards data again.
    """

    def __init__(self, in_force, kind, source, destination, series):
        self.rules: rules.Rules = in_force
        self.kind: str = kind
        self.source: specification.Place = source
        self.destination: specification.Place = destination
        self.series: counters.Series = series
        self.reader: gevent_socket.socket | None = None
        self.writer: gevent_socket.socket | None = None
        self.is_silent = False
        self.generation = -1
        self.cached_effect = rules.Effect()
        self.delayed: gevent.queue.Queue | None = None
        self.deliverer: gevent.Greenlet | None = None

    def effect(self) -> rules.Effect:
        """Returns the current effect of the rules on this flow."""
        if self.generation != self.rules.generation:
            self.generation = self.rules.generation
            self.cached_effect = self.rules.effect(
                self.kind, self.source, self.destination
            )
        return self.cached_effect

    def wait_unfrozen(self) -> None:
        """Waits while the flow is silent or frozen."""
        while self.is_silent or self.effect().frozen:
            self.rules.changed.wait()

    def run(self) -> None:
        """Forwards data until the sender closes its direction."""
        is_open = True
        while is_open:
            data = self.reader.recv(CHUNK_BYTES)
            self.series.add(len(data))
            self.forward_chunk(data)
            is_open = bool(data)
        if self.deliverer is not None:
            self.deliverer.get()

    def forward_chunk(self, data: bytes) -> None:
        """Delivers a chunk, with the pacing and delay that rules demand."""
        effect = self.effect()
        for pacer in effect.pacers:
            pacer.take(len(data))
        if effect.delay_s == 0 and self.delayed is None:
            self.deliver(data)
            return
        if self.delayed is None:
            self.delayed = gevent.queue.Queue(maxsize=MAX_DELAYED_CHUNKS)
            self.deliverer = gevent.spawn(self.deliver_delayed)
        self.delayed.put((time.monotonic() + effect.delay_s, data))
        if self.deliverer.dead:
            raise ConnectionResetError("receiver closed the connection")

    def deliver_delayed(self) -> None:
        """Delivers queued chunks when they are due."""
        is_open = True
        while is_open:
            due_s, data = self.delayed.get()
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            try:
                self.deliver(data)
            except OSError:
                reset(self.reader)
                return
            is_open = bool(data)

    def deliver(self, data: bytes) -> None:
        """Writes a chunk; an empty one closes this direction."""
        self.wait_unfrozen()
        if data:
            self.writer.sendall(data)
        else:
            self.writer.shutdown(socket.SHUT_WR)


class Connection:
    """An accepted connection and the upstream one that it is forwarded to.

    Attributes:
        accepted: Socket of the accepted connection.
        outgoing: Socket of the upstream connection; None until it is open.
        upstream: Upstream address, `ip:port`.
        forward: Flow from the accepted to the upstream connection.
        backward: Flow from the upstream to the accepted connection.
    """

    def __init__(self, accepted, upstream, forward, backward):
        self.accepted: gevent_socket.socket = accepted
        self.outgoing: gevent_socket.socket | None = None
        self.upstream: str = upstream
        self.forward: Flow = forward
        self.backward: Flow = backward
        self.greenlet: gevent.Greenlet | None = None

    def run(self) -> None:
        """Forwards data both ways until both directions are closed."""
        try:
            self.connect()
            pumps = [
                gevent.spawn(self.pump, flow)
                for flow in (self.forward, self.backward)
            ]
            gevent.joinall(pumps)
        except OSError:
            reset(self.accepted)
        finally:
            self.close()

    def pump(self, flow: Flow) -> None:
        """Runs one flow; an error resets both connections."""
        try:
            flow.run()
        except OSError:
            self.reset()

    def connect(self) -> None:
        """Opens the upstream connection, delayed by the rules' round trip."""
        self.forward.wait_unfrozen()
        self.backward.wait_unfrozen()
        round_trip_s = (
            self.forward.effect().delay_s + self.backward.effect().delay_s
        )
        if round_trip_s > 0:
            gevent.sleep(round_trip_s)
        source_ip = self.accepted.getpeername()[0]
        self.outgoing = gevent_socket.create_connection(
            serving.split_address(self.upstream),
            CONNECT_TIMEOUT_S,
            (source_ip, 0),
        )
        self.outgoing.settimeout(None)
        self.outgoing.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.forward.reader = self.backward.writer = self.accepted
        self.forward.writer = self.backward.reader = self.outgoing

    def is_cut(self) -> bool:
        """Returns whether a rule cuts either direction."""
        return self.forward.effect().cut or self.backward.effect().cut

    def silence(self, rule: rules.Rule) -> None:
        """Makes the directions that a rule affects permanently silent."""
        for flow in (self.forward, self.backward):
            if rule.affects(flow.kind, flow.source, flow.destination):
                flow.is_silent = True

    def reset(self) -> None:
        """Resets both connections."""
        for end in (self.accepted, self.outgoing):
            if end is not None:
                reset(end)

    def close(self) -> None:
        """Closes both sockets."""
        for end in (self.accepted, self.outgoing):
            if end is not None:
                end.close()


def reset(end: gevent_socket.socket) -> None:
    """Closes a connection with a TCP reset."""
    try:
        end.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, serving.RESET_ON_CLOSE
        )
        end.close()
    except OSError:
        return
