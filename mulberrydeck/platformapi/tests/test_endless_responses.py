"""Servers that send bytes without end."""

import tracemalloc

import pytest

from mulberrydeck.forward.tests import endless
from mulberrydeck.forward.tests import loop_holds
from mulberrydeck.platformapi import exchange

START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNKS = b"10000\r\n%b\r\n" % (b"a" * 0x10000)
TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024
MAX_KEPT_BYTES = 2 * 1024 * 1024
MAX_HOLD_S = 0.3

ENDLESS = {
    "fields": (START, b"A: b\r\n" * 10_000),
    "field": (START + b"A: ", b"a" * 65536),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
    "trailer": (CHUNKED + b"0\r\nA: ", b"a" * 65536),
    "interim responses": (b"", START[:9] + b"103 X\r\n\r\n"),
    "large chunks": (CHUNKED, LARGE_CHUNKS),
    "tiny chunks": (CHUNKED, b"2\r\nok\r\n" * 9000),
}


@pytest.fixture(name="call", params=ENDLESS.values(), ids=ENDLESS)
def fixture_call(request):
    """A function that calls an endless server."""
    status_request = exchange.Request(
        "GET", "/_target/status", max_response_bytes=MAX_BODY_BYTES
    )

    def call(address):
        endpoint = exchange.Endpoint(f"http://{address}")
        with pytest.raises(exchange.NoResponseError):
            endpoint.exchange(status_request, TIMEOUT_S)

    with endless.EndlessServer(*request.param) as server:
        yield lambda: call(server.address)


# Guards against a status check whose response is kept until memory runs out.
def test_the_memory_of_an_endless_response_is_limited(call):
    tracemalloc.start()
    call()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < MAX_KEPT_BYTES


# Guards against a status check that holds the loop until it times out.
def test_an_endless_response_does_not_hold_the_loop(call):
    with loop_holds.LoopHolds() as holds:
        call()
    assert holds.longest_s < MAX_HOLD_S
