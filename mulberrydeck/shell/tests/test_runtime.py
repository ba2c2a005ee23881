"""The timer of an entry VM."""

import time

import gevent
import gevent.socket

from mulberrydeck.core import events
from mulberrydeck.core import state as core_state
from mulberrydeck.shell import runtime as runtime_module
from mulberrydeck.shell.tests import test_core_gateway

STALL_INTERVALS = 3


def test_a_tick_after_a_stall_ends_no_wait_for_what_has_arrived():
    settings = test_core_gateway.make_settings()
    runtime = runtime_module.Runtime(core_state.create(settings, "1"))
    handled = []
    runtime.submit = lambda event: handled.append(type(event))
    near, far = gevent.socket.socketpair()

    def read():
        while data := near.recv(1):
            handled.append(data)

    greenlets = [gevent.spawn(read), gevent.spawn(runtime.run_ticks)]
    gevent.sleep(settings.tick_interval_s / 2)
    far.send(b"x")
    time.sleep(STALL_INTERVALS * settings.tick_interval_s)
    while events.Tick not in handled:
        gevent.sleep(0)
    gevent.killall(greenlets)
    assert handled == [b"x", events.Tick]
