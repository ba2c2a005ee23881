"""Responses of the store that never end."""

import time
import tracemalloc

import pytest

from mulberrydeck import errors
from mulberrydeck.forward import pool as pools
from mulberrydeck.forward.tests import endless
from mulberrydeck.forward.tests import loop_holds
from mulberrydeck.platform import store

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"2\r\nok\r\n" * 9000
LARGE_CHUNKS = b"10000\r\n%b\r\n" % (b"a" * 0x10000)
MAX_HOLD_S = 0.5
MAX_KEPT_BYTES = 24 * 1024 * 1024


@pytest.fixture(name="call", params=[LARGE_CHUNKS, TINY_CHUNKS])
def fixture_call(request):
    """A function that calls an endless store and returns the failure."""
    pool = pools.ConnectionPool("", 1.0, 30.0, time.monotonic)
    with endless.EndlessServer(CHUNKED, request.param) as server:
        client = store.StoreClient(server.address, pool)
        yield lambda: client.get("config", "main").failure()


# Guards against a response that is kept until memory runs out.
def test_the_memory_of_a_response_of_the_store_is_limited(call):
    tracemalloc.start()
    failure = call()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(failure, errors.PlatformOutcomeUnknownError)
    assert peak_bytes < MAX_KEPT_BYTES


# Guards against tiny chunks that hold the loop until the call times out.
def test_an_endless_response_of_the_store_does_not_hold_the_loop(call):
    with loop_holds.LoopHolds() as holds:
        failure = call()
    assert isinstance(failure, errors.PlatformOutcomeUnknownError)
    assert holds.longest_s < MAX_HOLD_S
