"""Summaries of results."""

from mulberrydeck.emulator import callers
from mulberrydeck.emulator import results
from mulberrydeck.emulator import scenario


def complete(elapsed_s, status=200, account="acme", **wait):
    kind = scenario.RequestClass(
        "read", "status", 1.0, 1.0, goal_s=0.5, value=2.0, late_value=0.5
    )
    request = callers.CallerRequest(
        kind, "coast", account, "a", 0.0, wait=results.Wait(**wait)
    )
    return request.completed(elapsed_s, status)


def test_late_responses_are_worth_less_and_refusals_nothing():
    summary = results.summarize(
        [complete(0.4), complete(0.6), complete(0.1, 503), complete(9.0, 0)]
    )
    assert (summary.on_time, summary.late, summary.refused) == (0.25,) * 3
    assert summary.value == 2.5 / 8.0


def test_waits_are_counted_once_per_request():
    summary = results.summarize(
        [
            complete(0.4),
            complete(0.4, waited=True),
            complete(0.4, waited=True, beside_free_slot=True),
            complete(0.4, 503, waited=True, beside_free_slot=True),
        ]
    )
    assert (summary.waited, summary.waited_beside_free) == (0.75, 0.5)


def test_the_table_has_all_columns_and_sums_up_small_accounts():
    """Dozens of accounts would hide the other rows."""
    completed = [
        complete(0.4, account=f"a{number}")
        for number in range(results.MAX_PRINTED_ACCOUNTS + 3)
    ]
    measured = results.Results(completed + [complete(0.4, account="a0")] * 9)
    measured.unevenness["status", "coast"] += [1.0, 2.0]
    table = results.format_table(measured)
    assert "3 other accounts" in table
    assert "account a0" in table
    assert "status coast: 1.50" in table
    for column in ("late", "value", "beside free"):
        assert column in table.splitlines()[0]
