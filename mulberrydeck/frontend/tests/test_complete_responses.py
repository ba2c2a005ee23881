"""Callers receive complete responses to their own requests or see an error.

An incomplete response must not seem complete, and bytes of one response must
not reach another request.
"""

import struct

import gevent
import gevent.event
import gevent.socket
import pytest

from mulberrydeck import errors
from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

UNKNOWN = outcomes.AttemptOutcome.UNKNOWN
NOT_RUN = outcomes.AttemptOutcome.NOT_RUN
ANSWERED = outcomes.AttemptOutcome.ANSWERED
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def send_and_close(data):
    def step(sock):
        sock.sendall(data)
        raise OSError("done")

    return step


def send_and_reset(data):
    def step(sock):
        sock.sendall(data)
        gevent.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, linger
        )
        raise OSError("reset")

    return step


TRUNCATED = {
    "length": send_and_close(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
    ),
    "chunk": send_and_close(CHUNKED + b"9\r\nabc"),
    "no last chunk": send_and_close(CHUNKED + b"3\r\nabc\r\n"),
    "bad chunk": send_and_close(CHUNKED + b"3\r\nabc\r\nzz\r\n"),
    "reset": send_and_reset(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
    "reset without framing": send_and_reset(b"HTTP/1.1 200 OK\r\n\r\nabc"),
}


@pytest.mark.parametrize("hops", [1, 2])
@pytest.mark.parametrize("case", TRUNCATED)
@pytest.mark.parametrize("minor", [0, 1])
def test_a_truncated_response_never_seems_complete(
    serve, targets, case, hops, minor
):
    target = targets(TRUNCATED[case])
    gateway = fakes.FakeGateway(fakes.to_target(target.address), fakes.refuse())
    first = gateway
    if hops == 2:
        relay = serve(gateway, server.RelayServer)
        first = fakes.FakeGateway(fakes.to_vm(relay.address), fakes.refuse())
    sock = fakes.connect(serve(first).address)
    request = fakes.get_request("/v1/services/s/x", "Connection: close")
    request = request.replace(b"HTTP/1.1", b"HTTP/1.%d" % minor)
    sock.sendall(request)
    response, was_reset = fakes.read_to_end(sock)
    if response.startswith(b"HTTP/1.1 200 OK"):
        is_shorter_than_declared = b"content-length: 9" in response
        lacks_last_chunk = b"chunked" in response and not response.endswith(
            b"0\r\n\r\n"
        )
        assert was_reset or is_shorter_than_declared or lacks_last_chunk
    else:
        assert was_reset or b'"ran": "unknown"' in response
    assert gateway.ended()[-1].outcome is UNKNOWN


@pytest.mark.parametrize(
    "step",
    [
        send_and_close(b""),
        send_and_reset(b""),
        send_and_close(b"HTTP/1.1 200 OK\r\nContent-Le"),
        send_and_close(b"nonsense\r\n\r\n"),
        send_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        send_and_close(
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
        ),
        send_and_close(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 400_000),
    ],
)
def test_an_invalid_response_is_an_unknown_outcome(serve, targets, step):
    target = targets(step)
    gateway = fakes.FakeGateway(fakes.to_target(target.address), fakes.refuse())
    caller = serve(gateway)
    response = fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    assert gateway.ended()[0].outcome is UNKNOWN
    assert gateway.ended()[0].replayable
    # The refusal of the core says "no", but the attempt may have run.
    assert b"mulberrydeck-ran: unknown" in response


def test_not_run_responses_are_not_forwarded(serve, targets):
    full = targets(
        b"HTTP/1.1 503 Full\r\nMulberrydeck-Ran: no\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    target = targets(OK)
    gateway = fakes.FakeGateway(
        fakes.to_target(full.address), fakes.to_target(target.address)
    )
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(fakes.get_request())
    assert fakes.read_message(sock).endswith(b"ok")
    assert [e.outcome for e in gateway.ended()] == [NOT_RUN, ANSWERED]
    assert gateway.ended()[0].status == 503


def test_an_unknown_outcome_of_another_vm_stays_unknown(serve, targets):
    broken = targets(send_and_close(b""))
    second = fakes.FakeGateway(fakes.to_target(broken.address), fakes.refuse())
    relay = serve(second, server.RelayServer)
    first = fakes.FakeGateway(fakes.to_vm(relay.address), fakes.refuse())
    sock = fakes.connect(serve(first).address)
    sock.sendall(fakes.get_request())
    assert b"mulberrydeck-ran: unknown" in fakes.read_message(sock)
    assert first.ended()[0].outcome is UNKNOWN


def test_the_refusal_of_another_vm_reaches_the_caller(serve):
    finished = errors.Problem("run-finished", 409, "Known.", "unknown")
    relay = serve(fakes.FakeGateway(fakes.refuse(finished)), server.RelayServer)
    generic = errors.Problem("outcome-unknown", 502, "Unknown.", "unknown")
    first = fakes.FakeGateway(fakes.to_vm(relay.address), fakes.refuse(generic))
    sock = fakes.connect(serve(first).address)
    sock.sendall(fakes.get_request())
    response = fakes.read_message(sock)
    assert response.startswith(b"HTTP/1.1 409 ")
    assert b'"kind": "run-finished"' in response
    assert b"mulberrydeck-ran: unknown" in response


@pytest.mark.parametrize(
    "surplus", [b"junk", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"]
)
@pytest.mark.parametrize("late", [False, True])
def test_surplus_bytes_reach_no_other_request(serve, targets, surplus, late):
    def step(sock):
        ok = target.identify(OK)
        sock.sendall(ok if late else ok + surplus)
        if late:
            gevent.sleep(0.05)
            sock.sendall(surplus)

    target = targets(step)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    for _ in range(3):
        sock.sendall(fakes.get_request())
        response = fakes.read_message(sock)
        assert response.startswith(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n")
        assert response.endswith(b"\r\n\r\nok")
        gevent.sleep(0.1)
    assert target.connections == 3


def test_a_late_response_is_discarded(serve, targets):
    released = gevent.event.Event()

    def late(sock):
        released.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")

    target = targets(late, OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway, idle_timeout_s=0.2).address)
    sock.sendall(fakes.get_request())
    assert fakes.read_message(sock).endswith(b"ok")
    released.set()
    sock.sendall(fakes.get_request())
    assert fakes.read_message(sock).endswith(b"ok")
    assert [e.outcome for e in gateway.ended()][:2] == [UNKNOWN, ANSWERED]


def test_a_timeout_discards_the_pooled_connections_of_a_target(serve, targets):
    silent = gevent.event.Event()

    def respond(sock):
        if silent.is_set() and target.connections == 1:
            gevent.sleep(fakes.WAIT_S)
        sock.sendall(target.identify(OK))

    target = targets(respond)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway, idle_timeout_s=0.3)
    sock = fakes.connect(caller.address)
    sock.sendall(fakes.get_request())
    fakes.read_message(sock)
    silent.set()
    sock.sendall(fakes.get_request())
    assert fakes.read_message(sock).endswith(b"ok")
    attempt_outcomes = [e.outcome for e in gateway.ended()]
    assert attempt_outcomes == [ANSWERED, UNKNOWN, ANSWERED]


def test_requests_that_may_not_be_repeated_get_a_new_connection(serve, targets):
    target = targets(OK)
    gateway = fakes.FakeGateway(
        fakes.to_target(target.address, repeatable=False)
    )
    sock = fakes.connect(serve(gateway).address)
    for _ in range(3):
        sock.sendall(fakes.get_request())
        fakes.read_message(sock)
    assert target.connections == 3


@pytest.mark.parametrize(("echoes", "connections"), [(True, 1), (False, 3)])
def test_connections_to_targets_that_echo_attempts_are_reused(
    serve, targets, echoes, connections
):
    target = targets(OK, echoes=echoes)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    for _ in range(3):
        sock.sendall(fakes.get_request())
        assert fakes.read_message(sock).endswith(b"ok")
    assert target.connections == connections


def test_connections_to_vms_are_reused(serve, targets):
    vm = targets(OK)
    gateway = fakes.FakeGateway(fakes.to_vm(vm.address))
    sock = fakes.connect(serve(gateway).address)
    for _ in range(3):
        sock.sendall(fakes.get_request())
        assert fakes.read_message(sock).endswith(b"ok")
    assert vm.connections == 1


FORGED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"


# Guards against a response that a target sends late, when its connection
# already carries the next request.
@pytest.mark.parametrize("copies_attempt_id", [False, True])
def test_a_late_surplus_response_reaches_no_other_request(
    serve, targets, copies_attempt_id
):
    def step(sock):
        if target.connections == 1 and len(target.requests) == 2:
            forged = FORGED
            if copies_attempt_id:
                forged = fakes.identify(FORGED, target.requests[0])
            sock.sendall(forged)
        sock.sendall(target.identify(OK))

    target = targets(step)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    for _ in range(3):
        sock.sendall(fakes.get_request())
        assert fakes.read_message(sock).endswith(b"\r\n\r\nok")
    assert [e.outcome for e in gateway.ended()] == [
        ANSWERED,
        UNKNOWN,
        ANSWERED,
        ANSWERED,
    ]


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (b"HTTP/1.1 204 No Content\r\n\r\n", b"204 No Content\r\n\r\n"),
        (
            b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n",
            b"304 Not Modified\r\netag: x\r\n\r\n",
        ),
        (b"HTTP/1.1 103 Early\r\n\r\n" + OK, b"content-length: 2\r\n\r\nok"),
        (CHUNKED + b"2\r\nok\r\n0\r\nT: x\r\n\r\n", b"2\r\nok\r\n0\r\n\r\n"),
        (
            b"HTTP/1.1 200 OK\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
            b"Mulberrydeck-Account: a\r\nKeep-Alive: 5\r\n"
            b"Content-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ),
        (send_and_close(b"HTTP/1.0 200 OK\r\n\r\nok"), b"2\r\nok\r\n0\r\n\r\n"),
    ],
)
def test_responses_are_framed_again(serve, targets, response, expected):
    target = targets(response)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    caller = serve(gateway)
    sock = fakes.connect(caller.address)
    sock.sendall(fakes.get_request())
    received = b""
    while expected not in received:
        received += fakes.receive(sock)
    assert received.endswith(expected)
    assert gateway.ended()[0].outcome is ANSWERED


def test_responses_to_head_have_no_body(serve, targets):
    target = targets(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", OK)
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(fakes.get_request().replace(b"GET", b"HEAD"))
    assert fakes.receive(sock).endswith(b"content-length: 9\r\n\r\n")
    sock.sendall(fakes.get_request())
    assert fakes.read_message(sock).endswith(b"\r\n\r\nok")


SHED = b"HTTP/1.1 503 Full\r\nMulberrydeck-Ran: no\r\nContent-Length: 0\r\n\r\n"


# Guards against the copy of a refusal on a kept connection: the caller is told
# "not run" for a request that the target runs.
@pytest.mark.parametrize("requests_before", [0, 1])
@pytest.mark.parametrize("echoed", [False, True])
def test_a_refusal_proves_only_for_its_own_attempt_that_nothing_ran(
    serve, targets, requests_before, echoed
):
    def accept(sock):
        sock.sendall(target.identify(OK))

    def shed(sock):
        sock.sendall(target.identify(SHED) if echoed else SHED)

    target = targets(*[accept] * requests_before, shed)
    decisions = [fakes.to_target(target.address)] * (requests_before + 1)
    gateway = fakes.FakeGateway(*decisions, fakes.refuse())
    sock = fakes.connect(serve(gateway).address)
    for _ in range(requests_before):
        sock.sendall(fakes.get_request())
        assert fakes.read_message(sock).endswith(b"ok")
    sock.sendall(fakes.get_request())
    refusal = fakes.read_message(sock)
    is_proof = echoed or requests_before == 0
    ran = b"no" if is_proof else b"unknown"
    assert b"mulberrydeck-ran: " + ran + b"\r\n" in refusal
    assert target.connections == 1
