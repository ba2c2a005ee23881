"""Constructs the parts of a steering VM and wires them."""

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
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import following
from mulberrydeck.steering import reducer
from mulberrydeck.steering import registration
from mulberrydeck.steering import registry
from mulberrydeck.steering import reporting
from mulberrydeck.steering import serving
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import sources
from mulberrydeck.steering import state as states

CONNECT_TIMEOUT_S = 0.25  # Six round trips between distant regions.
TARGET_IDLE_S = 8.0  # For targets that name no timeout of their own.
TARGET_UNACKNOWLEDGED_S = 1.0
# Twenty round trips; while a VM is cut off, the next try comes soon after.
STORE_CONNECT_TIMEOUT_S = 0.5
STORE_IDLE_S = 30.0
STORE_UNACKNOWLEDGED_S = 1.5
SWEEP_INTERVAL_S = 1.0
# The settings file may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 2.0
# Keeps a part that fails again and again from using the processor up.
RESTART_DELAY_S = 1.0
DEREGISTER_TIMEOUT_S = 0.3  # A stopping VM must not wait for the store.
# Parts of the time until the kill: callers still come with old look-ups at
# first, and what runs needs the rest.
ACCEPT_PART = 0.5
FINISH_PART = 0.95


def now_s() -> float:
    """Returns a clock that also counts while the VM is suspended, in seconds.

    Loans between VMs must expire during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteeringVm:
    """All parts of one VM.

    Attributes:
        settings: Settings of this VM.
        loop: Owner of the state.
        reports: Log lines and metrics.
        callers: Listener for callers' requests.
        questions: Listeners for look-ups and readiness.
        metrics: Listener for metrics.
        stop_requested: Set when the process must stop gracefully.
    """

    def __init__(
        self,
        settings: settings_module.SteeringSettings,
        settings_path: pathlib.Path,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_seen = _modified_ns(settings_path)
        self.stop_requested = gevent.event.Event()
        self.incarnation = uuid.uuid4().hex
        self.reports = reporting.Reports(now_s)
        state = states.create(
            settings, self.incarnation, now_s(), uuid.uuid4().int
        )
        self.loop = event_loop.EventLoop(state, reducer.reduce, now_s)
        source_ip = settings.caller_address.rpartition(":")[0]
        self.targets_pool = pools.ConnectionPool(
            source_ip,
            CONNECT_TIMEOUT_S,
            TARGET_IDLE_S,
            now_s,
            TARGET_UNACKNOWLEDGED_S,
            tcp_keepalive=True,
        )
        store_pool = pools.ConnectionPool(
            source_ip,
            STORE_CONNECT_TIMEOUT_S,
            STORE_IDLE_S,
            now_s,
            STORE_UNACKNOWLEDGED_S,
            tcp_keepalive=True,
        )
        self.client = stores.StoreClient(settings.platform_address, store_pool)
        self.sources = sources.Sources(self.reports)
        self.peers: transport.PeerTransport | None = None
        self.following = following.Following(
            self.client,
            self.loop,
            self.reports,
            self._send_message,
            self._spawn,
        )
        self._make_listeners()
        self._handle_effects()

    def _make_listeners(self) -> None:
        settings = self.settings
        steering = serving.Steering(self.loop, self.targets_pool, self.reports)
        look_ups = serving.LookUps(self.loop)
        listen = serving.Listener
        self.callers = listen(settings.caller_address, steering.serve)
        self.questions = (
            listen(settings.ready_address, look_ups.serve),
            listen(settings.look_up_address, look_ups.serve),
        )
        self.metrics = listen(settings.metrics_address, self._serve_metrics)

    def _handle_effects(self) -> None:
        handlers = self.loop.handlers
        for kind in (effects.Forward, effects.Deliver, effects.Refuse):
            handlers[kind] = self.loop.resolve
        handlers[effects.Log] = self.reports.log
        handlers[quota_effects.SendMessage] = self._send
        handlers[effects.FollowStore] = self.following.apply
        handlers[effects.ConnectPeer] = self._connect
        handlers[effects.DisconnectPeer] = self._disconnect

    def _serve_metrics(self, request: requests.Request) -> None:
        body = self.reports.render()
        fields = [("content-type", "text/plain; version=0.0.4")]
        request.answer.send_whole(200, fields, body)

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
        """Opens the listeners and begins to follow the store."""
        for listener in (self.callers, *self.questions, self.metrics):
            listener.start()
        for followed in self.sources.work():
            self.following.add(followed)
        for part in (self._tick, self._sweep, self._join):
            self._spawn(part)
        self.reports.write(
            "steer", "Started.", vm=self.settings.name, zone=self.settings.zone
        )

    def _spawn(self, part: Callable[[], None]) -> gevent.Greenlet:
        """Runs a part that must not end by an error of its own."""

        def run() -> None:
            while True:
                try:
                    part()
                    return
                except Exception:
                    self._report_failure(part.__qualname__)
                    gevent.sleep(RESTART_DELAY_S)

        return gevent.spawn(run)

    def _report_failure(self, part: str) -> None:
        error = traceback.format_exc()
        self.reports.write("steer", "A part failed.", of=part, error=error)

    def _join(self) -> None:
        """Registers this VM and follows the list of the others."""
        registered = self._registration()
        secret = registered.fleet_secret()
        if self.peers is None:
            self.peers = self._make_transport(secret)
            self.peers.start()
        registered.register()
        self.following.add(self.sources.vms())

    def _make_transport(self, secret: str) -> transport.PeerTransport:
        return transport.PeerTransport(
            self.settings.name,
            self.settings.peer_address,
            "",
            secret,
            self._deliver,
            self.reports,
        )

    def _registration(self) -> registration.Registration:
        return registration.Registration(
            self.client, self._record(), self.reports
        )

    def _record(self) -> registry.VmRecord:
        settings = self.settings
        return registry.VmRecord(
            settings.name,
            settings.zone,
            settings.region,
            settings.caller_address,
            settings.peer_address,
            self.incarnation,
        )

    def _deliver(self, sender: str, message: object) -> None:
        try:
            match message:
                case feed_messages.FeedAsk():
                    self.following.asked(sender, message)
                case feed_messages.FeedAnswer():
                    self.following.subscription.receive(sender, message)
                case _:
                    received = events.PeerReceived(now_s(), sender, message)
                    self.loop.submit(received)
        except Exception:
            # The transport's reader must go on with the next message.
            self._report_failure("peer messages")

    def _tick(self) -> None:
        while True:
            due_s = now_s() + self.settings.tick_interval_s
            gevent.sleep(self.settings.tick_interval_s)
            late_s = now_s() - due_s
            self.reports.ticked(late_s, self.loop.state.news_age_s())
            self.loop.submit(events.Ticked(now_s()))
            self.following.feeder.expire()
            table = self.loop.state.table
            if table is not None:
                self.callers.keep_alive_s = table.limits.idle_timeout_s
                self.callers.idle_timeout_s = table.limits.idle_timeout_s

    def _sweep(self) -> None:
        checked_s = now_s()
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self.targets_pool.close_expired()
            if now_s() >= checked_s + SETTINGS_CHECK_INTERVAL_S:
                checked_s = now_s()
                self._check_settings()

    def _check_settings(self) -> None:
        if _modified_ns(self.settings_path) != self.settings_seen:
            self.reload()

    def reload(self) -> None:
        """Reads the settings again; bad ones are left out of force."""
        self.settings_seen = _modified_ns(self.settings_path)
        try:
            loaded = settings_module.load(self.settings_path)
        except errors.SettingsError as error:
            self.reports.write("steer", "Bad settings.", reason=str(error))
            return
        changed = settings_module.fixed_changes(self.settings, loaded)
        if changed:
            self.reports.write(
                "steer", "Changed settings need a restart.", names=changed
            )
            return
        self.settings = loaded
        self.loop.submit(events.SettingsReloaded(now_s(), loaded))

    def stop(self) -> None:
        """Stops gracefully: what runs is finished before the kill."""
        started_s = now_s()
        self.loop.submit(events.StopRequested(started_s))
        self.callers.stopping = True
        accept_until_s = started_s + self.settings.stop_timeout_s * ACCEPT_PART
        finish_by_s = started_s + self.settings.stop_timeout_s * FINISH_PART
        while now_s() < accept_until_s:
            gevent.sleep(serving.STOP_POLL_S)
        self.callers.stop_accepting()
        gevent.sleep(serving.FIRST_REQUEST_S)
        while now_s() < finish_by_s and (
            self.callers.in_flight or self.callers.open
        ):
            self.callers.close_idle()
            gevent.sleep(serving.STOP_POLL_S)
        self.loop.submit(events.StopFinished(now_s()))
        if now_s() < finish_by_s:
            with gevent.Timeout(DEREGISTER_TIMEOUT_S, False):
                self._registration().deregister()
        if self.peers is not None:
            self.peers.stop()
        self.reports.write(
            "steer",
            "Stopped.",
            taken_s=round(now_s() - started_s, 3),
            left=self.callers.in_flight,
        )


def _modified_ns(path: pathlib.Path) -> int:
    """Returns when a file was last changed; 0 if it is missing."""
    try:
        return path.stat().st_mtime_ns
    except FileNotFoundError:
        return 0


def run(path: pathlib.Path) -> int:
    """Runs a steering VM until SIGTERM or SIGINT; returns the exit code.

    Args:
        path: Settings file.

    Raises:
        errors.SettingsError: The settings are missing or bad.
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
