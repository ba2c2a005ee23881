"""The table of tests that were run beside busy processes."""

import collections

from bench import busy

REPORT = """
<testsuites><testsuite>
<testcase classname="tests.test_a" name="test_calm"/>
<testcase classname="tests.test_a" name="test_late">
<failure message="assert 3 == 0">text</failure></testcase>
</testsuite></testsuites>
"""


def test_the_table_counts_runs_and_keeps_each_message(tmp_path):
    report = tmp_path / "report.xml"
    report.write_text(REPORT)
    outcomes = collections.defaultdict(busy.Outcomes)
    for _ in range(2):
        busy.record(report, outcomes)
    assert outcomes["tests.test_a::test_calm"] == busy.Outcomes(2, [])
    table = busy.table(outcomes)
    assert "   0 passed    2 failed  tests.test_a::test_late" in table
    assert table.count("assert 3 == 0") == 2
