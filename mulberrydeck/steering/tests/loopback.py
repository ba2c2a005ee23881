"""One VM with its real reducer and listener on loopback."""

import collections
import time

from mulberrydeck.forward import pool as pools
from mulberrydeck.shell import event_loop
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import reducer
from mulberrydeck.steering import reporting
from mulberrydeck.steering import serving
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

START_S = 1000.0
AT_MOST_ONCE = tables.Repeatability.AT_MOST_ONCE
SAFE = tables.Repeatability.SAFE


class LoopbackVm:
    """Serves callers on loopback; all targets are raw sockets.

    Attributes:
        address: `ip:port` for callers.
        outcomes: Outcomes of all attempts but delayed ones, in order.
        pool: Connections to targets.
    """

    def __init__(self, targets, **route_changes):
        self.started_s = time.monotonic()
        route = samples.make_route(prefix="/", timeout_s=3.0, **route_changes)
        entries = [
            samples.make_entry(f"t{number}", address=target.address, slots=50)
            for number, target in enumerate(targets)
        ]
        vm = samples.Vm(samples.make_table(route), entries)
        self.loop = event_loop.EventLoop(vm.state, reducer.reduce, self.now_s)
        self.loop.handlers = collections.defaultdict(lambda: lambda _: None)
        for decision in (effects.Forward, effects.Deliver, effects.Refuse):
            self.loop.handlers[decision] = self.loop.resolve
        self.pool = pools.ConnectionPool("", 1.0, 30.0, self.now_s)
        self.outcomes = []
        self.reports = reporting.Reports(self.now_s)
        self.handler = serving.CallerRequestHandler(
            self.loop, self.pool, self.reports
        )
        self.listener = serving.Listener("127.0.0.1:0", self.handler.serve)
        self.listener.start()
        self.address = self.listener.address
        record = self.reports.attempt_ended

        def attempt_ended(request, decision, attempt):
            # A busy machine may send an attempt late, which is decided anew.
            if attempt.outcome is not events.Outcome.DELAYED:
                self.outcomes.append(attempt.outcome)
            record(request, decision, attempt)

        self.reports.attempt_ended = attempt_ended

    def now_s(self):
        return START_S + time.monotonic() - self.started_s

    def stop(self):
        self.listener.watcher.stop()
        self.listener.listener.stop(timeout=0)
        self.pool.close()
