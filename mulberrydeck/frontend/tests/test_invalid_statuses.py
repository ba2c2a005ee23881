"""Responses with a status that is none; no caller may get one."""

import time

import pytest

from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

# The deadline is 30 s, the idle timeout 15 s.
MAX_TAKEN_S = 3.0
INVALID = [b"000", b"0", b"99", b"099", b"600", b"999", b"1000", b"199"]


# Guards against an invalid status that a caller gets, or that holds its request
# until a timeout. The target keeps the connection open.
@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_an_unknown_outcome(serve, targets, status, hops):
    target = targets(
        b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status, echoes=True
    )
    gateway = fakes.FakeGateway(
        fakes.to_target(target.address, repeatable=False), fakes.refuse()
    )
    first = gateway
    if hops == 2:
        relay = serve(gateway, server.RelayServer)
        to_vm = fakes.to_vm(relay.address, repeatable=False)
        first = fakes.FakeGateway(to_vm, fakes.refuse())
    sock = fakes.connect(serve(first).address)
    started_s = time.monotonic()
    sock.sendall(fakes.get_request())
    response = fakes.read_message(sock)
    assert time.monotonic() - started_s < MAX_TAKEN_S
    assert b'"ran": "unknown"' in response
    assert gateway.ended()[0].outcome is outcomes.AttemptOutcome.UNKNOWN
    assert target.closed.wait(MAX_TAKEN_S)
