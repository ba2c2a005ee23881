"""Which log lines are written, and which ones a bounded volume leaves out."""

import types

import pytest

from mulberrydeck.observability import logs
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import exchange
from mulberrydeck.steering import progress as progresses
from mulberrydeck.steering import reporting


@pytest.fixture(name="written")
def fixture_written(monkeypatch):
    """Lines that are written, as part and members."""
    lines = []
    monkeypatch.setattr(
        logs, "write", lambda part, text, **fields: lines.append((part, fields))
    )
    return lines


def test_a_burst_of_changed_targets_does_not_hide_a_new_version(written):
    reports = reporting.Reports(lambda: 100.0)
    for _ in range(2 * int(reporting.MAX_OTHER_LINES_PER_S)):
        reports.write("targets", "An entry changed.")
    reports.write("configuration", "A configuration is in force.")
    parts = [part for part, _ in written]
    assert parts.count("targets") == reporting.MAX_OTHER_LINES_PER_S
    assert parts[-1] == "configuration"


def served(finished=True):
    answer = types.SimpleNamespace(status=200, finished=finished)
    return types.SimpleNamespace(request_id="r1", path="/", answer=answer)


def test_an_answer_that_ended_midway_is_not_reported_as_answered(written):
    reports = reporting.Reports(lambda: 100.0)
    forward = effects.Forward("r1", 1, "t1", "10.0.0.1:80", "", 101.0, True)
    done = progresses.Progress(forward, forward, 0.0)
    reports.request_ended(served(finished=False), done, 1.0)
    metrics = reports.render().decode()
    assert written
    assert 'request_seconds_count{outcome="broken off"} 1.0' in metrics
    assert 'outcome="answered"' not in metrics


def test_requests_to_cold_targets_are_counted_with_their_delay(written):
    reports = reporting.Reports(lambda: 100.0)
    request = served()
    forward = effects.Forward(
        "r1", 1, "t1", "10.0.0.1:80", "", 101.0, True, cold=True
    )
    attempt = exchange.Attempt(
        events.Outcome.ANSWERED, status=200, sent_after_s=0.125
    )
    reports.attempt_ended(request, forward, attempt)
    done = progresses.Progress(
        effects.Deliver("r1"), forward, attempt.sent_after_s
    )
    reports.request_ended(request, done, 0.2)
    ((_, fields),) = written
    assert fields["sent_after_s"] == 0.125
    metrics = reports.render().decode()
    assert "mulberrydeck_cold_sends_total 1.0" in metrics
    assert "mulberrydeck_send_delay_seconds_sum 0.125" in metrics
