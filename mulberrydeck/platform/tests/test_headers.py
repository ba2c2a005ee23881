"""Tests of the header fields of callers, targets and lookups."""

import pytest

from mulberrydeck.frontend import heads
from mulberrydeck.platform import headers


def make_head(*lines):
    text = "\r\n".join(["GET /a HTTP/1.1", "Host: h.example", *lines])
    return heads.parse(text.encode())


def test_the_fields_of_a_caller_are_parsed():
    caller_fields = headers.parse_caller_fields(
        make_head(
            "X-Attempt-Id: a1",
            "X-Deadline-Ms: 1500",
            "X-Affinity-Key: 17",
            "Authorization: bearer  k1",
        )
    )
    assert caller_fields == headers.CallerFields(
        "h.example", "a1", 1.5, "17", "k1"
    )


def test_other_authorization_schemes_give_no_key():
    caller_fields = headers.parse_caller_fields(
        make_head("Authorization: Basic azE=")
    )
    assert caller_fields.key == ""
    assert caller_fields.timeout_s is None


@pytest.mark.parametrize("value", ["soon", "-1", "1.5", ""])
def test_a_deadline_that_is_not_a_whole_number_is_rejected(value):
    with pytest.raises(heads.BadRequestError):
        headers.parse_caller_fields(make_head(f"X-Deadline-Ms: {value}"))


def test_end_to_end_fields_are_forwarded():
    forwarded = headers.encode_forwarded_fields(
        make_head(
            "Authorization: Bearer k1",
            "AUTHORIZATION: Bearer k2",
            "X-Tenant: forged",
            "X-Target-Instance: forged",
            "Connection: close, X-Hop",
            "X-Hop: 1",
            "Keep-Alive: timeout=3",
            "Content-Length: 0",
            "traceparent: 00-1-2-01",
            "X_Odd: kept",
            "X-Attempt-Id: a1",
        )
    )
    assert (
        forwarded
        == "traceparent: 00-1-2-01\r\nx_odd: kept\r\nx-attempt-id: a1\r\n"
    )


def test_a_target_gets_its_name_the_account_and_the_remaining_time():
    text = headers.encode_target_fields(
        "a: b\r\n", "h.example", "t1", "acme", 0.25
    )
    assert text.splitlines() == [
        "host: h.example",
        "a: b",
        "x-target-instance: t1",
        "x-deadline-ms: 250",
        "x-tenant: acme",
    ]
    assert "x-tenant" not in headers.encode_target_fields(
        "", "h", "t1", "", 1.0
    )


def test_the_reported_load_is_parsed():
    assert headers.parse_load("3,1,8") == headers.TargetLoad(3, 1, 8)
    for malformed in ("", "3,1", "a,b,c", "1,2,3,4,5", "-1,0,3"):
        assert headers.parse_load(malformed) is None


def test_the_load_of_targets_that_report_their_speed_is_not_discarded():
    assert headers.parse_load("3,1,8,250") == headers.TargetLoad(3, 1, 8, 2.5)
    assert headers.parse_load("3, 1, 8, 100").speed == 1.0
    assert headers.parse_load("3,1,8,10000").speed == 100.0


@pytest.mark.parametrize("speed", ["0", "10001", "999999999"])
def test_an_impossible_speed_does_not_distort_estimates_of_work(speed):
    load = headers.parse_load(f"3,1,8,{speed}")
    assert load == headers.TargetLoad(3, 1, 8, None)


@pytest.mark.parametrize(
    "text",
    ["3,1,8,", "3,1,8,-5", "3,1,8,1.5", "3,1,8,\u00b2", "3,1,8," + "9" * 5000],
)
def test_a_malformed_speed_neither_counts_nor_raises(text):
    assert headers.parse_load(text) is None


def test_retry_after_may_be_a_fraction_of_a_second():
    assert headers.retry_after_fields(None) == []
    assert headers.retry_after_fields(0.251) == [("retry-after", "0.25")]


def test_lookup_queries_and_responses():
    query = "Name=h.example&Region=coast&Zone=coast-a"
    assert headers.parse_lookup_query(query) == (
        "h.example",
        "coast",
        "coast-a",
    )
    assert headers.parse_lookup_query("") == ("", "", "")
    response = headers.lookup_response(("10.0.0.1:80",), 3.0)
    assert response == {"Addresses": ["10.0.0.1:80"], "TtlS": 3.0}


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        ("2", 2.0),
        ("0.75", 0.75),
        (" 3 ", 3.0),
        ("0", 0.0),
        ("-1", 0.0),
        ("1e9", 0.0),
        ("999999999", headers.MAX_PAUSE_S),
        ("9" * 400, 0.0),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ("nan", 0.0),
        ("\N{SUPERSCRIPT TWO}", 0.0),
        ("", 0.0),
    ],
)
def test_a_pause_is_a_number_of_seconds(text, pause_s):
    assert headers.parse_pause_s(text) == pause_s


def test_only_one_value_says_that_a_target_is_leaving():
    assert headers.parse_leaving("1")
    for text in ("", "0", "true", "11", "1, 1"):
        assert not headers.parse_leaving(text)


Execution = headers.Execution


@pytest.mark.parametrize(
    ("status", "not_executed", "execution"),
    [
        (200, (), Execution.RAN),
        (404, (), Execution.RAN),
        (500, (), Execution.RAN),
        (504, (), Execution.RAN),
        (503, ("1",), Execution.NOT_RUN),
        (429, ("1",), Execution.NOT_RUN),
        (400, ("1",), Execution.NOT_RUN),
        (421, (), Execution.WRONG_TARGET),
        (421, ("0",), Execution.UNCLEAR),
        (503, (), Execution.UNCLEAR),
        (429, (), Execution.UNCLEAR),
        (408, (), Execution.UNCLEAR),
        (503, ("",), Execution.UNCLEAR),
        (503, ("0",), Execution.UNCLEAR),
        (503, ("False",), Execution.UNCLEAR),
        (503, ("1", "0"), Execution.UNCLEAR),
        (503, ("1", "1"), Execution.NOT_RUN),
        (503, ("true",), Execution.NOT_RUN),
        (200, ("1",), Execution.UNCLEAR),
        (200, ("",), Execution.RAN),
        (500, ("1",), Execution.RAN),
        (504, ("1",), Execution.RAN),
        (302, ("1",), Execution.RAN),
    ],
)
def test_a_status_alone_does_not_state_that_a_request_did_not_run(
    status, not_executed, execution
):
    assert headers.parse_execution(status, not_executed) is execution
