"""Composition root: constructs and connects the parts of an entry VM."""

import signal
import uuid

import gevent
import gevent.event

from mulberrydeck.core import events
from mulberrydeck.core import state as core_state
from mulberrydeck.frontend import dependencies
from mulberrydeck.frontend import server
from mulberrydeck.observability import logs
from mulberrydeck.observability import metrics as metric_sets
from mulberrydeck.peers import transport
from mulberrydeck.platformapi import client
from mulberrydeck.runs import recorder
from mulberrydeck.settings import declarations
from mulberrydeck.shell import core_gateway
from mulberrydeck.shell import platform_link
from mulberrydeck.shell import run_effects
from mulberrydeck.shell import runtime as runtime_module
from mulberrydeck.shell import target_poller

EXIT_TIMEOUT_S = 3.0


class EntryVm:
    """All parts of an entry VM.

    Attributes:
        settings: Settings of this VM.
        runtime: Event loop that owns the state.
        peers: Transport of peer messages.
        runs: Claims and records single runs.
        platform: Link to the platform.
        gateway: Interface of the core to the servers.
        callers: Server for callers.
        relays: Server for requests relayed by other VMs.
        metrics: Metrics of this VM.
        stop_requested: Set when the process must stop gracefully.
    """

    def __init__(self, settings: declarations.Settings) -> None:
        self.settings = settings
        self.stop_requested = gevent.event.Event()
        self.metrics = metric_sets.Metrics()
        incarnation = uuid.uuid4().hex
        state = core_state.create(settings, incarnation)
        self.runtime = runtime_module.Runtime(state)
        self.peers = self._make_transport()
        runtime_module.register_peer_effects(self.runtime, self.peers)
        objects = client.ObjectClient(
            settings.platform_url,
            settings.platform_timeout_s,
            settings.source_ip,
        )
        self.runs = recorder.RunRecorder(objects, settings.name, incarnation)
        run_effects.register_run_effects(self.runtime, self.runs)
        self.platform = platform_link.PlatformLink(self.runtime, objects)
        target_poller.TargetPoller(self.runtime, settings.source_ip)
        self.gateway = core_gateway.CoreGateway(self.runtime, self.runs)
        self._make_servers()

    def _make_transport(self) -> transport.PeerTransport:
        def deliver(sender: str, message: object) -> None:
            now_s = self.runtime.now_s()
            self.runtime.submit(events.PeerReceived(now_s, sender, message))

        return transport.PeerTransport(
            self.settings.name,
            self.settings.peer_address,
            self.settings.source_ip,
            self.settings.fleet_secret,
            deliver,
            self.metrics,
        )

    def _make_servers(self) -> None:
        server_dependencies = dependencies.build(
            self.settings, self.gateway, metrics=self.metrics
        )
        self.callers = server.CallerServer(server_dependencies)
        self.relays = server.RelayServer(server_dependencies)

    def start(self) -> None:
        """Opens the listeners and starts the timer and the platform link."""
        self.peers.start()
        self.relays.start()
        self.callers.start()
        self.runtime.submit(events.Started(self.runtime.now_s()))
        gevent.spawn(self.runtime.run_ticks)
        self.platform.start()

    def stop(self) -> None:
        """Stops gracefully, after the requests in progress have ended."""
        now_s = self.runtime.now_s
        started_s = now_s()
        self.runtime.submit(events.StopRequested(started_s))
        stops = [
            gevent.spawn(self.callers.stop),
            gevent.spawn(self.relays.stop),
        ]
        gevent.joinall(stops)
        self.runtime.submit(events.StopFinished(now_s()))
        self.runtime.stopped.wait(EXIT_TIMEOUT_S)
        self.platform.wait_for_writes(EXIT_TIMEOUT_S)
        self.metrics.drained(now_s() - started_s)
        self.platform.stop()
        self.peers.stop()


def run(settings: declarations.Settings) -> int:
    """Runs an entry VM until SIGTERM or SIGINT; returns the exit code."""
    logs.start()
    vm = EntryVm(settings)
    gevent.signal_handler(signal.SIGTERM, vm.stop_requested.set)
    gevent.signal_handler(signal.SIGINT, vm.stop_requested.set)
    vm.start()
    print(f"ready {settings.name} {vm.callers.address}", flush=True)
    vm.stop_requested.wait()
    vm.stop()
    return 0
