"""Event loop and timer of an entry VM."""

import time

import gevent
import gevent.event

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import reducer
from mulberrydeck.core import state as core_state
from mulberrydeck.observability import logs
from mulberrydeck.peers import transport
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.shell import event_loop


class Runtime(event_loop.EventLoop):
    """Event loop of an entry VM.

    Attributes:
        stopped: Set by the reducer's `Exit` effect, when the process may exit.
    """

    def __init__(self, state: core_state.State) -> None:
        super().__init__(state, reducer.reduce, time.monotonic)
        self.stopped = gevent.event.Event()
        self.handlers[effects.Refuse] = self.resolve
        self.handlers[effects.ForwardToTarget] = self.resolve
        self.handlers[effects.ForwardToVm] = self.resolve
        self.handlers[effects.Log] = _write_log
        self.handlers[effects.Exit] = lambda _: self.stopped.set()

    def run_ticks(self) -> None:
        """Submits the timer event once per tick interval, forever.

        After a stall of the process, what arrived meanwhile is handled first,
        since the timer ends waits for it.
        """
        while True:
            gevent.sleep(self.state.settings.tick_interval_s)
            gevent.sleep(0)
            self.submit(events.Tick(self.now_s()))


def _write_log(effect: effects.Log) -> None:
    logs.write(effect.part, effect.text)


def register_peer_effects(
    runtime: Runtime, peers: transport.PeerTransport
) -> None:
    """Registers the transport for the effects that concern peers."""

    def send(effect: quota_effects.SendMessage) -> None:
        peers.send(effect.to, effect.message)

    def connect(effect: effects.ConnectPeer) -> None:
        peers.connect(effect.name, effect.address)

    def disconnect(effect: effects.DisconnectPeer) -> None:
        peers.disconnect(effect.name)

    runtime.handlers[quota_effects.SendMessage] = send
    runtime.handlers[effects.ConnectPeer] = connect
    runtime.handlers[effects.DisconnectPeer] = disconnect
