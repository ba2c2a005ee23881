"""When a request may be written to a target."""

import gevent
import gevent.server
import pytest

from mulberrydeck.forward import pool as pools
from mulberrydeck.steering import attempts
from mulberrydeck.steering import exchange

SEND_WITHIN_S = 0.15
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n%s\r\n"
)
OWN = b"X-Attempt-Id: a1\r\n"
OTHER = b"X-Attempt-Id: a0\r\n"
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Id: a1\r\n"
    b"X-Response-Signature: s\r\n\r\nok"
)


class Target:
    """Responds to each request and records the received bytes.

    The responses of the first requests are given; all others get a 200. If
    `closes` is set, a connection is closed after its first response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.closes = False
        self.received = []
        self.connections = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        self.connections += 1
        while data := sock.recv(4096):
            self.received.append(data)
            sock.sendall(self.responses.pop(0) if self.responses else RESPONSE)
            if self.closes:
                return


class Clock:
    def __init__(self):
        self.at_s = 100.0

    def now_s(self):
        return self.at_s


@pytest.fixture(name="target")
def fixture_target():
    target = Target()
    yield target
    target.server.stop(timeout=0)


def run_attempt(target, clock, pool, delay_s=0.0, attempt_id="a1"):
    hop = attempts.Hop(
        address=f"127.0.0.1:{target.server.server_port}",
        head=b"GET / HTTP/1.1\r\nhost: t\r\n\r\n",
        method="GET",
        attempt_id=attempt_id,
        deadline_s=clock.now_s() + 2.0,
        send_by_s=clock.now_s() + SEND_WITHIN_S,
    )
    clock.at_s += delay_s
    return exchange.TargetExchange(pool, hop, None, clock.now_s).run(None)


def test_a_request_is_written_while_its_decision_holds(target):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool, 0.9 * SEND_WITHIN_S)
    assert attempt.outcome is exchange.Outcome.ANSWERED
    assert len(target.received) == 1


def test_a_request_is_not_written_after_its_decision_expired(target):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool, 1.1 * SEND_WITHIN_S)
    assert attempt.outcome is exchange.Outcome.DELAYED
    assert attempt.sent_after_s is None
    # The connection that was opened for it serves the next attempt.
    assert run_attempt(target, clock, pool, 0.0).status == 200
    assert len(target.received) == 1
    assert target.connections == 1


# Guards against a refusal that a target writes once more on a kept connection
# and that is taken for the response to the next request.
@pytest.mark.parametrize(
    ("identifier", "outcome"),
    [
        (b"X-Attempt-Id: a0\r\n", exchange.Outcome.ANSWERED),
        (b"", exchange.Outcome.BROKEN),
    ],
)
def test_the_copy_of_a_refusal_does_not_refuse_the_next_request(
    target, identifier, outcome
):
    refusal = REFUSAL % identifier
    target.responses = [RESPONSE.replace(b"a1", b"a0"), refusal + RESPONSE]
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    first = run_attempt(target, clock, pool, attempt_id="a0")
    assert first.outcome is exchange.Outcome.ANSWERED
    assert run_attempt(target, clock, pool).outcome is outcome
    assert target.connections == 1


# Other bytes before a copy must not hide that it is one.
@pytest.mark.parametrize(
    "preceding", [b"HTTP/1.1 103 Early Hints\r\n%s\r\n" % OWN, b"\r\n\r\n"]
)
@pytest.mark.parametrize("response", [RESPONSE, REFUSAL % OWN])
def test_a_refusal_of_an_earlier_request_is_skipped(
    target, preceding, response
):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    target.responses = [RESPONSE.replace(b"a1", b"a0")]
    run_attempt(target, clock, pool, attempt_id="a0")
    target.responses = [preceding + REFUSAL % OTHER + preceding + response]
    attempt = run_attempt(target, clock, pool)
    is_own = response is RESPONSE
    assert (attempt.outcome is exchange.Outcome.ANSWERED) == is_own
    assert (attempt.outcome is exchange.Outcome.REJECTED) != is_own
    assert target.connections == 1


@pytest.mark.parametrize("identifiers", [OTHER, OWN + OTHER, OTHER + OWN])
def test_a_refusal_of_two_requests_is_not_accepted(target, identifiers):
    target.responses = [REFUSAL % identifiers]
    target.closes = True
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.BROKEN


@pytest.mark.parametrize("identifier", [b"X-Attempt-Id: a1\r\n", b""])
def test_a_refusal_on_a_new_connection_is_accepted(target, identifier):
    target.responses = [REFUSAL % identifier]
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.REJECTED


def test_a_request_without_identifier_uses_a_connection_of_its_own(target):
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    run_attempt(target, clock, pool)
    target.responses = [REFUSAL % b""]
    attempt = run_attempt(target, clock, pool, attempt_id="")
    assert attempt.outcome is exchange.Outcome.REJECTED
    assert target.connections == 2


NOTICE = b"Server-Leaving: 1\r\nRetry-After: 2\r\n"


@pytest.mark.parametrize(
    ("response", "leaving", "pause_s"),
    [
        (RESPONSE.replace(OWN, OWN + NOTICE), True, 0.0),
        (REFUSAL % (OWN + NOTICE), True, 2.0),
        # The response breaks off after its head.
        (RESPONSE.replace(OWN, OWN + NOTICE)[:-1], True, 0.0),
        # Another target has the address.
        ((REFUSAL % (OWN + NOTICE)).replace(b"503", b"421"), False, 0.0),
        # A late response to another request.
        ((REFUSAL % (OTHER + NOTICE)) + RESPONSE, False, 0.0),
        (RESPONSE, False, 0.0),
    ],
)
def test_a_response_says_that_its_target_leaves_or_wants_a_pause(
    target, response, leaving, pause_s
):
    target.responses = [response]
    target.closes = True
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert (attempt.leaving, attempt.pause_s) == (leaving, pause_s)


@pytest.mark.parametrize("status", [b"408", b"429", b"503"])
@pytest.mark.parametrize("length", [b"0", b"400000"])
def test_a_status_of_a_refusal_is_no_statement_that_nothing_ran(
    target, status, length
):
    response = REFUSAL.replace(b"X-Not-Executed: 1\r\n", b"") % OWN
    response = response.replace(b"503", status)
    target.responses = [response.replace(b"Length: 0", b"Length: " + length)]
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.UNCLEAR
    assert not attempt.response_started
    assert attempt.status == int(status)


NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"


@pytest.mark.parametrize(
    "response",
    [
        # In an interim response.
        b"HTTP/1.1 103 Early Hints\r\n%s\r\n%s" % (NOT_EXECUTED, RESPONSE),
        # In the trailers.
        RESPONSE.replace(b"Content-Length: 2\r\n", b"").replace(
            b"\r\n\r\nok", b"\r\n" + CHUNKED + NOT_EXECUTED + b"\r\n"
        ),
    ],
)
def test_a_statement_outside_the_final_head_is_none(target, response):
    target.responses = [response]
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.ANSWERED
    assert attempt.response.body == b"ok"


# A target that breaks off may do so at any point of its work.
@pytest.mark.parametrize(
    "end", [b"", b"part", b"x" * (2 * exchange.MAX_REJECTION_BYTES)]
)
@pytest.mark.parametrize("closes", [True, False])
def test_a_rejection_that_is_not_complete_states_nothing(target, end, closes):
    notice = OWN + NOTICE
    rejection = (REFUSAL % notice).replace(b"Length: 0", b"Length: 999999")
    target.responses = [rejection + end]
    target.closes = closes
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.BROKEN
    assert attempt.leaving
    assert attempt.pause_s == 2.0
    assert not pool.idle


def test_a_rejection_without_bounds_states_nothing(target):
    size = exchange.MAX_REJECTION_BYTES + exchange.exchanges.RECEIVE_BYTES
    rejection = (REFUSAL % OWN).replace(b"Length: 0", b"Length: %d" % size)
    target.responses = [rejection + b"x" * size]
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    attempt = run_attempt(target, clock, pool)
    assert attempt.outcome is exchange.Outcome.BROKEN
    assert attempt.reason == "rejection too large"


def test_the_load_and_speed_of_a_target_reach_the_result_of_the_attempt(
    target,
):
    """A report with a fourth number left VMs without any load of the target."""
    clock = Clock()
    pool = pools.ConnectionPool("", 1.0, 30.0, clock.now_s)
    load = b"X-Instance-Load: 2,1,3,250\r\n\r\nok"
    target.responses.append(RESPONSE.replace(b"\r\nok", load))
    attempt = run_attempt(target, clock, pool)
    assert attempt.reported_load == 3
    assert attempt.reported_speed == 2.5
    assert run_attempt(target, clock, pool).reported_speed is None
