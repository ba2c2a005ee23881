"""Constructs and connects the components of a steering VM, and runs it."""

from collections.abc import Callable
import pathlib
import signal
import time
import traceback
import uuid

import gevent
import gevent.event

from mulberrydeck import errors
from mulberrydeck.forward import pool as pools
from mulberrydeck.frontend import requests
from mulberrydeck.observability import logs
from mulberrydeck.peers import feed_messages
from mulberrydeck.peers import transport
from mulberrydeck.platform import store as stores
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.scheduling import metrics
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import own_use
from mulberrydeck.steering import reducer
from mulberrydeck.steering import registration
from mulberrydeck.steering import registry
from mulberrydeck.steering import reporting
from mulberrydeck.steering import serving
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import state as states
from mulberrydeck.steering import stopping
from mulberrydeck.steering import store_kinds
from mulberrydeck.steering import store_sync

CONNECT_TIMEOUT_S = 0.25  # Six round trips between distant regions.
TARGET_IDLE_TIMEOUT_S = 8.0  # For targets that do not announce an idle timeout.
TARGET_UNACKNOWLEDGED_TIMEOUT_S = 1.0
# Twenty round trips; a VM that is cut off retries soon after this timeout.
STORE_CONNECT_TIMEOUT_S = 0.5
STORE_IDLE_TIMEOUT_S = 30.0
STORE_UNACKNOWLEDGED_TIMEOUT_S = 1.5
SWEEP_INTERVAL_S = 1.0
# Interval between checks for a settings file that changed without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 2.0
# Connections between VMs carry messages each second or are rarely used; in a
# fleet of hundreds, each second's probes would cost more than the messages.
PEER_PROBE_INTERVAL_S = 10.0
# Limits the processor time used by a task that fails repeatedly.
TASK_RESTART_DELAY_S = 1.0
DEREGISTER_TIMEOUT_S = 0.3  # A stopping VM must not wait for the store.


def now_s() -> float:
    """Returns the time of a clock that advances during suspend, in seconds.

    Loans between VMs must expire while a VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteeringVm:
    """All components of one VM.

    Attributes:
        settings: Settings of this VM.
        loop: Event loop that owns the state.
        reports: Log lines and metrics.
        request_handler: Handler of callers' requests.
        caller_listener: Listener for callers' requests.
        lookup_listeners: Listeners for lookups and readiness checks.
        metrics_listener: Listener for metrics.
        stop_requested: Set when the process must stop gracefully.
    """

    def __init__(
        self,
        settings: settings_module.SteeringSettings,
        settings_path: pathlib.Path,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_modified_ns = _modified_ns(settings_path)
        self.stop_requested = gevent.event.Event()
        self.incarnation = uuid.uuid4().hex
        self.reports = reporting.Reports(now_s)
        state = states.create(
            settings, self.incarnation, now_s(), uuid.uuid4().int
        )
        self.loop = event_loop.EventLoop(state, reducer.reduce, now_s)
        self.reports.registry.register(
            metrics.SchedulerCollector(state.scheduler)
        )
        source_ip = settings.caller_address.rpartition(":")[0]
        self.targets_pool = pools.ConnectionPool(
            source_ip,
            CONNECT_TIMEOUT_S,
            TARGET_IDLE_TIMEOUT_S,
            now_s,
            TARGET_UNACKNOWLEDGED_TIMEOUT_S,
            tcp_keepalive=True,
        )
        store_pool = pools.ConnectionPool(
            source_ip,
            STORE_CONNECT_TIMEOUT_S,
            STORE_IDLE_TIMEOUT_S,
            now_s,
            STORE_UNACKNOWLEDGED_TIMEOUT_S,
            tcp_keepalive=True,
        )
        self.client = stores.StoreClient(
            settings.platform_address, store_pool, self.reports.store_call
        )
        self.client.report_era = self._store_restored
        self.store_kinds = store_kinds.StoreKinds(self.reports)
        self.peers: transport.PeerTransport | None = None
        self.store_sync = store_sync.StoreSync(
            self.client,
            self.loop,
            self.reports,
            self._send_message,
            self._spawn,
        )
        self._create_listeners()
        self._register_effect_handlers()

    def _create_listeners(self) -> None:
        settings = self.settings
        self.request_handler = serving.CallerRequestHandler(
            self.loop, self.targets_pool, self.reports
        )
        handler = self.request_handler
        handler.body_budget.report_reset = self.reports.slow_sender_reset
        handler.unsent_budget.report_reset = self.reports.slow_reader_reset
        lookup_handler = serving.LookupHandler(self.loop)
        new_listener = serving.Listener
        self.caller_listener = new_listener(
            settings.caller_address,
            handler.serve,
            handler.may_pipeline,
        )
        self.caller_listener.unsent_budget = handler.unsent_budget
        self.caller_listener.max_pipelined_requests = (
            settings.max_pipelined_requests
        )
        self.lookup_listeners = (
            new_listener(settings.ready_address, lookup_handler.serve),
            new_listener(settings.look_up_address, lookup_handler.serve),
        )
        self.metrics_listener = new_listener(
            settings.metrics_address, self._serve_metrics
        )

    def _register_effect_handlers(self) -> None:
        handlers = self.loop.handlers
        for kind in (effects.Forward, effects.Deliver, effects.Refuse):
            handlers[kind] = self.loop.resolve
        handlers[effects.Log] = self.reports.log
        handlers[quota_effects.SendMessage] = self._send
        handlers[effects.FollowStore] = self.store_sync.apply
        handlers[effects.ListVms] = self.store_sync.list_vms
        handlers[effects.ConnectPeer] = self._connect
        handlers[effects.DisconnectPeer] = self._disconnect

    def _serve_metrics(self, request: requests.Request) -> None:
        body = self.reports.render()
        fields = [("content-type", "text/plain; version=0.0.4")]
        request.response.send_complete(200, fields, body)

    def _send(self, effect: quota_effects.SendMessage) -> None:
        self._send_message(effect.to, effect.message)

    def _send_message(self, to: str, message: object) -> None:
        if self.peers is not None:
            self.peers.send(to, message)

    def _connect(self, effect: effects.ConnectPeer) -> None:
        record = effect.record
        self.peers.connect(record.name, record.peer_address)

    def _disconnect(self, effect: effects.DisconnectPeer) -> None:
        self.peers.disconnect(effect.name)

    def start(self) -> None:
        """Opens the listeners and starts to follow the store."""
        for listener in (
            self.caller_listener,
            *self.lookup_listeners,
            self.metrics_listener,
        ):
            listener.start()
        for watched_kind in self.store_kinds.request_kinds():
            self.store_sync.add(watched_kind)
        for task in (self._tick, self._sweep, self._join):
            self._spawn(task)
        self.reports.write(
            "steer", "Started.", vm=self.settings.name, zone=self.settings.zone
        )

    def _spawn(self, task: Callable[[], None]) -> gevent.Greenlet:
        """Starts a background task, which is restarted if it raises."""

        def run() -> None:
            while True:
                try:
                    task()
                    return
                except Exception:
                    self._report_failure(task.__qualname__)
                    gevent.sleep(TASK_RESTART_DELAY_S)

        return gevent.spawn(run)

    def _report_failure(self, task: str) -> None:
        error = traceback.format_exc()
        self.reports.write(
            "steer", "A background task failed.", of=task, error=error
        )

    def _join(self) -> None:
        """Registers this VM and starts to follow the list of VMs."""
        vm_registration = self._registration()
        secret = vm_registration.fleet_secret()
        if self.peers is None:
            peers = self._create_transport(secret)
            peers.start()
            self.peers = peers
        if vm_registration.register():
            self.loop.submit(events.VmAdded(now_s()))
        self.store_sync.add(self.store_kinds.vms_kind())

    def _store_restored(self, era: int) -> None:
        self.reports.store_restored()
        self.loop.submit(events.StoreRestored(now_s(), era))
        self._spawn(self._write_again)

    def _write_again(self) -> None:
        """Writes again what this VM stores, as it may be lost or changed."""
        if self.peers is not None:
            vm_registration = self._registration()
            vm_registration.restore_secret(self.peers.secret.decode())
            vm_registration.register()

    def _create_transport(self, secret: str) -> transport.PeerTransport:
        return transport.PeerTransport(
            self.settings.name,
            self.settings.peer_address,
            "",
            secret,
            self._deliver,
            self.reports,
            PEER_PROBE_INTERVAL_S,
        )

    def _registration(self) -> registration.Registration:
        return registration.Registration(
            self.client, self._record(), self.reports
        )

    def _record(self) -> registry.VmRecord:
        return registry.own_record(self.settings, self.incarnation)

    def _deliver(self, sender: str, message: object) -> None:
        try:
            match message:
                case feed_messages.FeedRequest():
                    self.store_sync.handle_request(sender, message)
                case feed_messages.FeedResponse():
                    self.store_sync.feed_client.receive(sender, message)
                case _:
                    received = events.PeerReceived(now_s(), sender, message)
                    self.loop.submit(received)
        except Exception:
            # The transport must still read the next message.
            self._report_failure("peer messages")

    def _tick(self) -> None:
        meter = own_use.UseMeter(
            self.caller_listener.total_transferred_bytes, now_s()
        )
        while True:
            due_s = now_s() + self.settings.tick_interval_s
            gevent.sleep(self.settings.tick_interval_s)
            late_s = now_s() - due_s
            self.reports.ticked(late_s, self.loop.state.staleness_s())
            if now_s() >= meter.measured_s + self.settings.beat_interval_s:
                self.loop.submit(meter.measure(now_s()))
                self.reports.headroom.set(self.loop.state.headroom)
            self.loop.submit(events.Ticked(now_s()))
            self.store_sync.feed_server.expire()
            table = self.loop.state.table
            if table is not None:
                self.caller_listener.keep_alive_s = table.limits.idle_timeout_s
                self.caller_listener.idle_timeout_s = (
                    table.limits.idle_timeout_s
                )

    def _sweep(self) -> None:
        checked_s = now_s()
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.targets_pool.close_expired()
            if now_s() >= checked_s + SETTINGS_CHECK_INTERVAL_S:
                checked_s = now_s()
                self._reload_changed_settings()

    def _reload_changed_settings(self) -> None:
        if _modified_ns(self.settings_path) != self.settings_modified_ns:
            self.reload()

    def reload(self) -> None:
        """Reloads the settings file; invalid settings are not applied."""
        self.settings_modified_ns = _modified_ns(self.settings_path)
        try:
            loaded = settings_module.load(self.settings_path)
        except errors.SettingsError as error:
            self.reports.write("steer", "Bad settings.", reason=str(error))
            return
        changed_names = settings_module.changes_requiring_restart(
            self.settings, loaded
        )
        if changed_names:
            self.reports.write(
                "steer",
                "Changed settings require a restart.",
                names=changed_names,
            )
            return
        registered = self._record()
        self.settings = loaded
        self.caller_listener.max_pipelined_requests = (
            loaded.max_pipelined_requests
        )
        self.loop.submit(events.SettingsReloaded(now_s(), loaded))
        if self._record() != registered:
            self._spawn(self._write_again)

    def stop(self) -> None:
        """Stops gracefully.

        Requests in progress finish before the process is killed: connections
        are accepted for a fraction of `stop_timeout_s`; then this VM waits for
        its requests to end and, if time remains, deregisters.
        """
        started_s = now_s()
        self.loop.submit(events.StopRequested(started_s))
        self.caller_listener.stopping = True
        plan = stopping.plan(started_s, self.settings.stop_timeout_s)
        while now_s() < plan.accept_until_s:
            gevent.sleep(serving.STOP_POLL_INTERVAL_S)
        self.caller_listener.stop_accepting()
        gevent.sleep(serving.FIRST_REQUEST_GRACE_S)
        self.caller_listener.finish(plan.finish_by_s, now_s)
        left = self.caller_listener.in_flight
        self.request_handler.report_unfinished()
        self.loop.submit(events.StopFinished(now_s()))
        if now_s() < plan.finish_by_s:
            with gevent.Timeout(DEREGISTER_TIMEOUT_S, False):
                self._registration().deregister()
        if self.peers is not None:
            self.peers.stop()
        self.reports.write(
            "steer",
            "Stopped.",
            taken_s=round(now_s() - started_s, 3),
            left=left,
        )


def _modified_ns(path: pathlib.Path) -> int:
    """Returns the modification time of a file, in nanoseconds; 0 if missing."""
    try:
        return path.stat().st_mtime_ns
    except FileNotFoundError:
        return 0


def run(path: pathlib.Path) -> int:
    """Runs a steering VM until SIGTERM or SIGINT; returns the exit code.

    Args:
        path: Settings file.

    Raises:
        errors.SettingsError: The settings file is missing or invalid.
    """
    settings = settings_module.load(path)
    logs.start_bounded()
    vm = SteeringVm(settings, path)
    gevent.signal_handler(signal.SIGTERM, vm.stop_requested.set)
    gevent.signal_handler(signal.SIGINT, vm.stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, vm.reload)
    vm.start()
    vm.stop_requested.wait()
    vm.stop()
    return 0
