"""Verdicts find violations of guarantees and accept logs without any."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from standins import verdicts
from standins.target import behaviour


def run(**changes):
    defaults = {
        "index": 1,
        "target": "t1",
        "start_s": 1.0,
        "request_id": "r1",
        "account": "a",
        "run_id": "",
        "method": "GET",
        "path": "/",
        "headers": [],
        "concurrent": 1,
        "leaving": False,
        "outcome": "done",
    }
    return behaviour.Run(**(defaults | changes))


def test_repeats_count_runs_but_no_shed_requests():
    fee = {"run_id": "fee-1"}
    assert verdicts.repeats([run(**fee), run(outcome="shed", **fee)]) == []
    assert verdicts.repeats([run(), run()]) == []
    repeats = verdicts.repeats([run(**fee), run(target="t2", **fee)])
    assert repeats == [verdicts.Repeat("a", "fee-1", 2)]


def test_leaks_are_found_in_headers_and_path():
    leaking = [run(headers=[["X", "is secret"]]), run(path="/?k=secret")]
    assert verdicts.leaks([run(), *leaking], ["secret"]) == leaking


@settings(derandomize=True, max_examples=100, deadline=None)
@given(strategies.lists(strategies.integers(0, 20), min_size=1, max_size=12))
def test_excess_is_the_worst_of_all_windows(times):
    times = sorted(times)
    brute = max(
        last - first + 1 - (3 + 0.5 * (times[last] - times[first]))
        for first in range(len(times))
        for last in range(first, len(times))
    )
    assert abs(verdicts.excess(times, 0.5, 3) - brute) < 1e-9
