"""Feeds events to the reducer and carries out its effects."""

import collections
from collections.abc import Callable
import time

import gevent
import gevent.event

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import gateway
from mulberrydeck.core import reducer
from mulberrydeck.core import state as core_state
from mulberrydeck.observability import logs
from mulberrydeck.peers import transport

Handler = Callable[[object], None]


class Runtime:
    """Owns the state, and is the only caller of the reducer.

    Attributes:
        state: State of this VM.
        handlers: Function that carries out an effect, by its type.
        stopped: Set when the reducer asks the process to end.
        event_count: Events handled since the start.
    """

    def __init__(self, state: core_state.State) -> None:
        self.state = state
        self.handlers: dict[type, Handler] = {}
        self.stopped = gevent.event.Event()
        self.event_count = 0
        self._pending: collections.deque[object] = collections.deque()
        self._draining = False
        self._decisions: dict[str, gevent.event.AsyncResult] = {}
        self.handlers[effects.Refuse] = self._resolve
        self.handlers[effects.ForwardToTarget] = self._resolve
        self.handlers[effects.ForwardToVm] = self._resolve
        self.handlers[effects.Log] = _write_log
        self.handlers[effects.Exit] = lambda _: self.stopped.set()

    def now_s(self) -> float:
        """Returns the monotonic time, in seconds."""
        return time.monotonic()

    def submit(self, event: object) -> None:
        """Feeds an event to the reducer and carries out its effects.

        An event that an effect submits while others are carried out waits its
        turn, so effects keep their order.
        """
        self._pending.append(event)
        if self._draining:
            return
        self._draining = True
        try:
            while self._pending:
                self._step(self._pending.popleft())
        finally:
            self._draining = False

    def _step(self, event: object) -> None:
        self.event_count += 1
        for effect in reducer.reduce(self.state, event):
            self.handlers[type(effect)](effect)

    def decide(self, event: object) -> gateway.Decision:
        """Feeds an event of a request and blocks until its decision."""
        waiting = gevent.event.AsyncResult()
        self._decisions[event.request_id] = waiting
        try:
            self.submit(event)
            return waiting.get()
        finally:
            self._decisions.pop(event.request_id, None)

    def _resolve(self, decision: gateway.Decision) -> None:
        waiting = self._decisions.get(decision.request_id)
        if waiting is not None:
            waiting.set(decision)

    def run_ticks(self) -> None:
        """Submits the periodic timer event for ever."""
        while True:
            gevent.sleep(self.state.settings.tick_interval_s)
            self.submit(events.Tick(self.now_s()))


def _write_log(effect: effects.Log) -> None:
    logs.write(effect.part, effect.text)


def connect_peers(runtime: Runtime, peers: transport.PeerTransport) -> None:
    """Lets the transport carry out effects that concern peers."""

    def send(effect: effects.SendMessage) -> None:
        peers.send(effect.to, effect.message)

    def connect(effect: effects.ConnectPeer) -> None:
        peers.connect(effect.name, effect.address)

    def disconnect(effect: effects.DisconnectPeer) -> None:
        peers.disconnect(effect.name)

    runtime.handlers[effects.SendMessage] = send
    runtime.handlers[effects.ConnectPeer] = connect
    runtime.handlers[effects.DisconnectPeer] = disconnect
