"""A request that a target may have run is never reported as not run."""

import gevent
import pytest

from mulberrydeck import errors
from mulberrydeck.forward import outcomes
from mulberrydeck.frontend import server
from mulberrydeck.frontend.tests import fakes

UNKNOWN = outcomes.AttemptOutcome.UNKNOWN
NOT_RUN = outcomes.AttemptOutcome.NOT_RUN
ANSWERED = outcomes.AttemptOutcome.ANSWERED
PAID = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"


def encode(status, *lines, body=b"busy", length=None):
    """Returns an encoded response.

    Args:
        status: Status code.
        lines: Header lines besides `Content-Length`.
        body: Body that is sent.
        length: Declared length in bytes; None for that of the body.
    """
    length = len(body) if length is None else length
    fields = [*lines, f"Content-Length: {length}"]
    head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{f}\r\n" for f in fields)
    return head.encode() + b"\r\n" + body


def send_and_close(data):
    def step(sock):
        sock.sendall(data)
        raise OSError("done")

    return step


def send_single_run(serve, targets, step, hop=fakes.to_target):
    """Sends a single run to a scripted target or VM.

    Returns:
        The response to the caller, and the gateway.
    """
    target = targets(step)
    gateway = fakes.FakeGateway(
        hop(target.address, repeatable=False), fakes.refuse()
    )
    caller = serve(gateway, idle_timeout_s=0.3)
    response = fakes.exchange(
        caller.address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    assert len(target.requests) == 1
    return response, gateway


NO = "Mulberrydeck-Ran: no"
CONTRADICTORY = {
    "200": encode(200, NO),
    "204": b"HTTP/1.1 204 No Content\r\nMulberrydeck-Ran: no\r\n\r\n",
    "303": encode(303, NO),
    "500": encode(500, NO),
    "no, then unknown": encode(503, NO, "Mulberrydeck-Ran: unknown"),
    "unknown, then no": encode(503, "Mulberrydeck-Ran: unknown", NO),
    "no, then yes": encode(503, NO, "Mulberrydeck-Ran: yes"),
    "no, then empty": encode(503, NO, "Mulberrydeck-Ran:"),
    "list": encode(503, "Mulberrydeck-Ran: no, yes"),
}


@pytest.mark.parametrize("case", CONTRADICTORY)
def test_a_contradictory_response_does_not_state_that_nothing_ran(
    serve, targets, case
):
    response, gateway = send_single_run(serve, targets, CONTRADICTORY[case])
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [UNKNOWN]


def test_a_response_to_another_attempt_is_an_unknown_outcome(serve, targets):
    response, gateway = send_single_run(
        serve, targets, encode(200, "Mulberrydeck-Attempt-Id: other")
    )
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [UNKNOWN]


INCOMPLETE = {
    "closed": send_and_close(encode(503, NO, length=9)),
    "stalled": lambda sock: (
        sock.sendall(encode(503, NO, length=9)),
        gevent.sleep(1.0),
    ),
    "chunk": send_and_close(
        b"HTTP/1.1 503 Full\r\nMulberrydeck-Ran: no\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbu"
    ),
    "malformed chunk": send_and_close(
        b"HTTP/1.1 503 Full\r\nMulberrydeck-Ran: no\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"
    ),
    "too large": encode(503, NO, body=b"x" * 200_000),
}


@pytest.mark.parametrize("case", INCOMPLETE)
def test_an_incomplete_refusal_does_not_state_that_nothing_ran(
    serve, targets, case
):
    response, gateway = send_single_run(serve, targets, INCOMPLETE[case])
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [UNKNOWN]


INTERIM = {
    "100": send_and_close(
        b"HTTP/1.1 100 Continue\r\nMulberrydeck-Ran: no\r\n\r\n"
    ),
    "103": send_and_close(
        b"HTTP/1.1 103 Early\r\nMulberrydeck-Ran: no\r\n\r\n"
        b"HTTP/1.1 503 Full\r\nContent-Le"
    ),
    "cut head": send_and_close(
        b"HTTP/1.1 503 Full\r\nMulberrydeck-Ran: no\r\nContent-Le"
    ),
}


@pytest.mark.parametrize("case", INTERIM)
def test_a_refusal_without_its_whole_head_does_not_state_that_nothing_ran(
    serve, targets, case
):
    response, gateway = send_single_run(serve, targets, INTERIM[case])
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [UNKNOWN]


def test_an_interim_response_states_nothing_for_the_final_one(serve, targets):
    interim = b"HTTP/1.1 103 Early\r\nMulberrydeck-Ran: no\r\n\r\n"
    response, gateway = send_single_run(serve, targets, interim + PAID)
    assert response.endswith(b"\r\n\r\npaid")
    assert b"mulberrydeck-ran" not in response
    assert [e.outcome for e in gateway.ended()] == [ANSWERED]


def problem(ran="no", status=503):
    return b'{"kind": "k", "status": %d, "detail": "d", "ran": "%b"}' % (
        status,
        ran.encode(),
    )


MALFORMED = {
    "empty": encode(503, NO, body=b""),
    "no JSON": encode(503, NO, body=b"busy"),
    "cut JSON": encode(503, NO, body=problem()[:20]),
    "ran unknown": encode(503, NO, body=problem("unknown")),
    "ran is no value of ours": encode(503, NO, body=problem("maybe")),
    "other status": encode(503, NO, body=problem(status=502)),
    "too large": encode(503, NO, body=problem() + b" " * 200_000),
    "cut": send_and_close(encode(503, NO, body=problem(), length=400)),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_a_malformed_refusal_of_a_vm_does_not_state_that_nothing_ran(
    serve, targets, case
):
    response, gateway = send_single_run(
        serve, targets, MALFORMED[case], fakes.to_vm
    )
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert b'"ran": "unknown"' in response
    assert [e.outcome for e in gateway.ended()] == [UNKNOWN]


def test_a_refusal_of_a_vm_to_head_has_no_body(serve, targets):
    vm = targets(encode(503, NO, body=b"", length=80))
    gateway = fakes.FakeGateway(fakes.to_vm(vm.address), fakes.refuse())
    request = fakes.get_request("/v1/services/s/x", "Connection: close")
    response = fakes.exchange(
        serve(gateway).address, request.replace(b"GET", b"HEAD")
    )
    assert b"mulberrydeck-ran: no\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [NOT_RUN]


def test_a_refusal_of_a_vm_states_that_nothing_ran(serve, targets):
    refusal = encode(503, NO, body=problem())
    response, gateway = send_single_run(serve, targets, refusal, fakes.to_vm)
    assert b"mulberrydeck-ran: no\r\n" in response
    assert [e.outcome for e in gateway.ended()] == [NOT_RUN]


@pytest.mark.parametrize("hop", [fakes.to_target, fakes.to_vm])
@pytest.mark.parametrize("status", [408, 421, 425, 429, 503])
def test_no_status_alone_states_that_nothing_ran(serve, targets, hop, status):
    refusal = encode(status, "Retry-After: 1", body=problem(status=status))
    response, gateway = send_single_run(serve, targets, refusal, hop)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert b"retry-after" not in response
    assert b'"ran": "no"' not in response
    # The run is recorded as finished with this status.
    (ended,) = gateway.ended()
    assert (ended.outcome, ended.status) == (ANSWERED, status)


@pytest.mark.parametrize("value", ["unknown", "yes", ""])
def test_no_other_value_states_that_nothing_ran(serve, targets, value):
    refusal = encode(503, f"Mulberrydeck-Ran: {value}")
    response, _ = send_single_run(serve, targets, refusal)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert b"mulberrydeck-ran: unknown\r\n" in response


@pytest.mark.parametrize("status", [400, 404, 409, 500, 504])
def test_other_statuses_of_single_runs_are_passed_on(serve, targets, status):
    response, gateway = send_single_run(serve, targets, encode(status))
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert b"mulberrydeck-ran" not in response
    assert gateway.ended()[0].outcome is ANSWERED


def test_a_status_of_a_repeatable_request_is_passed_on(serve, targets):
    target = targets(encode(503, "Retry-After: 1"))
    gateway = fakes.FakeGateway(fakes.to_target(target.address))
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(fakes.get_request())
    response = fakes.read_message(sock)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1\r\n" in response


def test_a_body_that_becomes_malformed_leaves_the_outcome_unknown(
    serve, targets
):
    def read_a_little(sock):
        sock.recv(65536)

    target = targets(read_a_little)
    gateway = fakes.FakeGateway(
        fakes.to_target(target.address, repeatable=False)
    )
    sock = fakes.connect(serve(gateway).address)
    sock.sendall(
        b"POST /v1/services/s/x HTTP/1.1\r\nHost: vm\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    gevent.sleep(0.1)
    sock.sendall(b"zz\r\n")
    response, _ = fakes.read_to_end(sock)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert b"mulberrydeck-ran: unknown\r\n" in response


def test_an_unexpected_error_leaves_the_outcome_unknown(serve, targets):
    class FailingGateway(fakes.FakeGateway):
        def decide(self, event):
            if self.events:
                raise RuntimeError("bug")
            return super().decide(event)

    target = targets(None)
    gateway = FailingGateway(fakes.to_target(target.address, repeatable=False))
    response = fakes.exchange(serve(gateway).address, fakes.get_request())
    assert response.startswith(b"HTTP/1.1 500 ")
    assert b"mulberrydeck-ran: unknown\r\n" in response


def test_a_refusal_after_an_unknown_attempt_is_relayed_as_unknown(
    serve, targets
):
    target = targets(None)
    second = fakes.FakeGateway(
        fakes.to_target(target.address, repeatable=False), fakes.refuse()
    )
    relay = serve(second, server.RelayServer)
    rejected = errors.Problem("no-capacity", 503, "Busy.", "no")
    first = fakes.FakeGateway(
        fakes.to_vm(relay.address, repeatable=False), fakes.refuse(rejected)
    )
    response = fakes.exchange(
        serve(first).address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    assert b"mulberrydeck-ran: unknown\r\n" in response
    assert [e.outcome for e in first.ended()] == [UNKNOWN]


# Guards against a target that refuses a request, runs it all the same and then
# sends a second response.
def test_a_refusal_with_bytes_behind_it_states_nothing(serve, targets):
    target = targets(encode(503, "Mulberrydeck-Ran: no") + PAID)
    gateway = fakes.FakeGateway(
        fakes.to_target(target.address, repeatable=False), fakes.refuse()
    )
    response = fakes.exchange(
        serve(gateway).address,
        fakes.get_request("/v1/services/s/x", "Connection: close"),
    )
    assert b'"ran": "unknown"' in response
    assert gateway.ended()[0].outcome is UNKNOWN
