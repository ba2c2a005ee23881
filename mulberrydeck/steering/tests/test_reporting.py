"""Which log lines a bounded volume leaves out."""

from mulberrydeck.observability import logs
from mulberrydeck.steering import reporting


def test_a_burst_of_changed_targets_does_not_hide_a_new_version(monkeypatch):
    written = []
    monkeypatch.setattr(
        logs, "write", lambda part, text, **fields: written.append(part)
    )
    reports = reporting.Reports(lambda: 100.0)
    for _ in range(2 * int(reporting.MAX_OTHER_LINES_PER_S)):
        reports.write("targets", "An entry changed.")
    reports.write("configuration", "A configuration is in force.")
    assert written.count("targets") == reporting.MAX_OTHER_LINES_PER_S
    assert written[-1] == "configuration"
