"""Evidence of failed tests."""

import json

from standins import evidence
from standins.users_platform import instances


def test_evidence_holds_the_logs_and_the_report(tmp_path):
    logs = tmp_path / "logs"
    logs.mkdir()
    request = instances.Request("GET", "/", {}, b"body", arrived_s=1.0)
    evidence.write_arrivals(logs, {"t1": [request]})
    (logs / "vm.log").write_text("a line")
    kept = evidence.keep(
        "tests/test_a.py::test_b[seed 7]", "assert 3 == 0", logs, tmp_path / "e"
    )
    assert (kept / "vm.log").read_text() == "a line"
    arrivals = json.loads((kept / evidence.ARRIVALS_FILE).read_text())
    assert arrivals["t1"][0]["arrived_s"] == 1.0
    report = (kept / "report.txt").read_text()
    assert "test_b[seed 7]" in report
    assert "assert 3 == 0" in report
    assert "load averages" in report


def test_the_newest_evidence_is_kept(tmp_path):
    kept = [
        evidence.keep(f"test_{number}", "failed", None, tmp_path)
        for number in range(evidence.MAX_KEPT + 2)
    ]
    assert sorted(tmp_path.iterdir()) == sorted(kept[2:])
