"""Events of callers' requests."""

import types

import pytest

from mulberrydeck.frontend import heads
from mulberrydeck.steering import attempts
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import serving
from mulberrydeck.steering import tables
from mulberrydeck.steering.tests import samples

HEAD = b"POST /read/1 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 2000"
BODY_S = 1.5


class Loop:
    """Event loop with a simulated clock that refuses all requests."""

    def __init__(self):
        self.time_s = 100.0
        self.events = []

    def now_s(self):
        return self.time_s

    def submit(self, event):
        self.events.append(event)

    def decide(self, event):
        self.submit(event)
        return effects.Refuse(event.request_id, 503, "no-capacity", "Full.")


def serve_slow_body():
    """Returns the events of a request whose body takes `BODY_S`."""
    loop = Loop()

    def read_ahead(*_):
        loop.time_s += BODY_S

    request = types.SimpleNamespace(
        head=heads.parse(HEAD),
        body=types.SimpleNamespace(read_ahead=read_ahead),
        connection=types.SimpleNamespace(reset_sender=None),
        handling_id="r1",
        path="/read/1",
        fully_read=True,
        response=types.SimpleNamespace(
            closing=False, send_complete=lambda *_: None
        ),
    )
    reports = types.SimpleNamespace(request_ended=lambda *_: None)
    serving.CallerRequestHandler(loop, None, reports).serve(request)
    return loop.events


# Guards against decisions on a slow body that take the time of its head as now.
def test_the_time_of_the_reducer_does_not_go_back_to_the_start_of_a_body():
    arrived = serve_slow_body()[0]
    assert isinstance(arrived, events.RequestArrived)
    assert arrived.at_s == 100.0 + BODY_S
    assert arrived.arrived_s == 100.0


# Guards against VMs that never learn how fast a target works.
def test_the_speed_that_a_target_reports_reaches_the_reducer(monkeypatch):
    attempt = attempts.Attempt(
        events.Outcome.ANSWERED, 200, response_started=True, reported_speed=2.5
    )
    monkeypatch.setattr(
        serving.exchange,
        "TargetExchange",
        lambda *_: types.SimpleNamespace(run=lambda _: attempt),
    )
    loop = Loop()
    loop.decide = lambda event: effects.Forward(
        event.request_id, 1, "t1", "10.0.0.1:80", "acme", 102.0, True
    )
    request = types.SimpleNamespace(
        head=heads.parse(HEAD),
        body=None,
        handling_id="r1",
        path="/read/1",
        response=None,
    )
    reports = types.SimpleNamespace(
        request_ended=lambda *_: None, attempt_ended=lambda *_: None
    )
    serving.CallerRequestHandler(loop, None, reports).serve(request)
    ended = [e for e in loop.events if isinstance(e, events.AttemptEnded)]
    assert [event.reported_speed for event in ended] == [2.5]


# Guards against requests that run at most once and are cancelled behind others.
@pytest.mark.parametrize(
    ("path", "expected"),
    [("/read/1?a=/", True), ("/once/1?/read/", False), ("/other", False)],
)
def test_only_requests_of_routes_that_allow_repeats_are_pipelined(
    path, expected
):
    once = samples.make_route(
        name="once",
        prefix="/once/",
        repeatability=tables.Repeatability.AT_MOST_ONCE,
    )
    table = samples.make_table(samples.make_route(), once)
    state = types.SimpleNamespace(table=table)
    handler = serving.CallerRequestHandler(
        types.SimpleNamespace(state=state), None, None
    )
    text = f"GET {path} HTTP/1.1\r\nHost: permits.example:80"
    head = heads.parse(text.encode())
    assert handler.may_pipeline(head) is expected
    state.table = None
    assert not handler.may_pipeline(head)
