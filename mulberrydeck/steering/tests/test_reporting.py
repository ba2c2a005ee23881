"""Limits of log lines, and metrics of attempts and requests."""

import types

import pytest

from mulberrydeck.observability import logs
from mulberrydeck.steering import attempts
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import progress as progresses
from mulberrydeck.steering import reporting


@pytest.fixture(name="written_lines")
def fixture_written_lines(monkeypatch):
    """Log lines that are written, each as its part and its fields."""
    lines = []
    monkeypatch.setattr(
        logs, "write", lambda part, text, **fields: lines.append((part, fields))
    )
    return lines


def test_changed_targets_do_not_displace_lines_on_configurations(written_lines):
    reports = reporting.Reports(lambda: 100.0)
    for _ in range(2 * int(reporting.MAX_OTHER_LINES_PER_S)):
        reports.write("targets", "An entry changed.")
    reports.write("configuration", "A configuration is in force.")
    parts = [part for part, _ in written_lines]
    assert parts.count("targets") == reporting.MAX_OTHER_LINES_PER_S
    assert parts[-1] == "configuration"


def make_request(finished=True):
    response = types.SimpleNamespace(status=200, finished=finished)
    return types.SimpleNamespace(request_id="r1", path="/", response=response)


def test_an_incomplete_response_is_not_counted_as_answered(written_lines):
    reports = reporting.Reports(lambda: 100.0)
    forward = effects.Forward("r1", 1, "t1", "10.0.0.1:80", "", 101.0, True)
    progress = progresses.Progress(forward, forward, 0.0)
    reports.request_ended(make_request(finished=False), progress, 1.0)
    metrics = reports.render().decode()
    assert written_lines
    assert 'request_seconds_count{outcome="broken off"} 1.0' in metrics
    assert 'outcome="answered"' not in metrics


# Guards against counting requests that this VM cancels as callers that left.
@pytest.mark.parametrize(
    ("superseded", "outcome"), [(True, "superseded"), (False, "abandoned")]
)
def test_a_request_behind_a_closed_connection_is_counted_as_such(
    written_lines, superseded, outcome
):
    reports = reporting.Reports(lambda: 100.0)
    request = make_request(finished=False)
    request.superseded = superseded
    reports.request_ended(request, progresses.Progress(), 1.0)
    metrics = reports.render().decode()
    assert f'request_seconds_count{{outcome="{outcome}"}} 1.0' in metrics


def test_requests_to_cold_targets_are_counted_with_send_delay(written_lines):
    reports = reporting.Reports(lambda: 100.0)
    request = make_request()
    forward = effects.Forward(
        "r1", 1, "t1", "10.0.0.1:80", "", 101.0, True, cold=True
    )
    attempt = attempts.Attempt(
        events.Outcome.ANSWERED, status=200, sent_after_s=0.125
    )
    reports.attempt_ended(request, forward, attempt)
    progress = progresses.Progress(
        effects.Deliver("r1"), forward, attempt.sent_after_s
    )
    reports.request_ended(request, progress, 0.2)
    ((_, fields),) = written_lines
    assert fields["sent_after_s"] == 0.125
    metrics = reports.render().decode()
    assert "mulberrydeck_cold_sends_total 1.0" in metrics
    assert "mulberrydeck_send_delay_seconds_sum 0.125" in metrics


Outcome = events.Outcome


@pytest.mark.parametrize(
    ("outcomes", "basis"),
    [
        ([], "no attempt"),
        ([Outcome.DELAYED, Outcome.NOT_SENT], "not sent"),
        ([Outcome.REJECTED, Outcome.WRONG_TARGET], "rejected"),
        ([Outcome.REJECTED, Outcome.ANSWERED], "unknown"),
    ],
)
def test_a_response_that_says_not_run_is_counted_with_its_basis(
    written_lines, outcomes, basis
):
    reports = reporting.Reports(lambda: 100.0)
    request = make_request()
    request.response.status = 503
    refusal = effects.Refuse("r1", 503, "no-capacity", "Come back later.")
    progress = progresses.Progress(refusal, outcomes=outcomes)
    reports.request_ended(request, progress, 0.1)
    ((_, fields),) = written_lines
    assert fields["not_run_basis"] == basis
    metrics = reports.render().decode()
    name = "mulberrydeck_not_run_responses_total"
    assert f'{name}{{basis="{basis}"}} 1.0' in metrics


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_attempt_answered_as_if_it_did_not_run_is_logged(
    written_lines, status
):
    reports = reporting.Reports(lambda: 100.0)
    forward = effects.Forward("r1", 1, "t1", "10.0.0.1:80", "", 101.0, False)
    attempt = attempts.Attempt(
        Outcome.ANSWERED, status, kept_connection=True, not_executed=("",)
    )
    reports.attempt_ended(make_request(), forward, attempt)
    ((_, fields),) = written_lines
    assert fields["status"] == status
    assert fields["kept_connection"]
    assert fields["not_executed"] == ("",)
