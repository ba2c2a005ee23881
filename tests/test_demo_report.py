"""The report of the demonstration finds each kind of broken promise."""

import attrs
import pytest

from bench import demo_report
from mulberrydeck.model import configuration
from mulberrydeck.model import selectors
from standins import traffic
from standins.target import behaviour

STREAM = traffic.Stream("s", "acme", "secret", "permits", "/fees", 1.0)
RECORD = traffic.Record(STREAM, "r1", due_s=1.0, end_s=1.1, status=200)
RUN = behaviour.Run(
    index=1,
    target="t1",
    start_s=1.0,
    request_id="r1",
    account="acme",
    run_id="fee-1",
    method="POST",
    path="/fees",
    headers=[["Accept", "*/*"]],
    concurrent=1,
    leaving=False,
    outcome="done",
)
LIMIT = configuration.LimitRule("all", selectors.Selector(), 1.0, 2)


def broken_promises(records, runs):
    observations = demo_report.Observations(
        records=records,
        runs=runs,
        keys={"acme": "secret"},
        limits={"acme": LIMIT},
        drained=demo_report.OperatorAction("t1", 100.0),
        withdrawn=demo_report.OperatorAction("acme", 100.0),
    )
    return [
        promise.text
        for promise in demo_report.check_promises(observations)
        if not promise.is_kept
    ]


def test_no_promise_is_broken_by_a_request_that_one_target_sheds():
    shed = attrs.evolve(RUN, target="t2", outcome="shed")
    assert broken_promises([RECORD], [shed, RUN]) == []


@pytest.mark.parametrize(
    ("records", "runs", "text"),
    [
        ([attrs.evolve(RECORD, kind="unanswered")], [], "lost"),
        ([RECORD], [RUN, attrs.evolve(RUN, target="t2")], "at most once"),
        (
            [attrs.evolve(RECORD, kind="overloaded", not_run=True)],
            [RUN],
            "not run",
        ),
        ([attrs.evolve(RECORD, is_mismatched=True)], [RUN], "belongs"),
        (
            [RECORD],
            [attrs.evolve(RUN, headers=[["Cookie", "k=secret"]])],
            "sees a key",
        ),
        (
            [RECORD],
            [attrs.evolve(RUN, run_id=f"{n}") for n in range(3)],
            "rate and burst",
        ),
        (
            [RECORD],
            [attrs.evolve(RUN, account="other", start_s=104.0)],
            "drained",
        ),
        (
            [RECORD],
            [attrs.evolve(RUN, target="t2", start_s=104.5)],
            "withdrawn",
        ),
    ],
)
def test_each_broken_promise_is_found(records, runs, text):
    [promise] = broken_promises(records, runs)
    assert text in promise
