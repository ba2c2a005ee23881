"""Pacing of transfers over links between regions."""

import time

import pytest

from mulberrydeck import errors
from mulberrydeck.core import state as core_state
from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state
from mulberrydeck.settings import declarations
from mulberrydeck.shell import core_gateway
from mulberrydeck.shell import runtime as runtime_module

UNITS = 1000
RATE_PER_S = 1_000_000
BURST = 500_000
LINK = "east/west"


def make_settings():
    return declarations.Settings(
        name="east-vm1",
        zone="east-a",
        caller_address="127.0.0.1:1",
        relay_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        platform_url="http://127.0.0.1:4",
        fleet_secret="0" * 64,
        idle_timeout_s=0.2,
    )


def make_gateway(own_units):
    settings = make_settings()
    runtime = runtime_module.Runtime(core_state.create(settings, "1"))
    bound = quota_state.Bound(f"link/{LINK}", UNITS, RATE_PER_S, BURST)
    now_s = time.monotonic()
    own = {bound.resource: own_units}
    quota.configure(runtime.state.quota, now_s, (bound,), own, now_s)
    return core_gateway.CoreGateway(runtime, None)


def test_a_link_without_quota_ends_a_transfer():
    gateway = make_gateway(0)
    with pytest.raises(errors.LinkBusyError, match="raise its cap"):
        gateway.allow_bytes(LINK, 10)


def test_bytes_are_allowed_in_small_slices():
    gateway = make_gateway(UNITS)
    slice_bytes = int(RATE_PER_S * core_gateway.PACING_SLICE_S)
    assert gateway.allow_bytes(LINK, 10 * slice_bytes) == slice_bytes
    assert gateway.allow_bytes(LINK, 7) == 7


def test_a_link_without_a_cap_is_not_paced():
    assert make_gateway(0).allow_bytes("west/north", 100_000) == 100_000
