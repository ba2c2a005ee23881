"""Header fields of callers, targets and look-ups."""

import pytest

from mulberrydeck.frontend import heads
from mulberrydeck.platform import headers


def make_head(*lines):
    text = "\r\n".join(["GET /a HTTP/1.1", "Host: h.example", *lines])
    return heads.parse(text.encode())


def test_what_a_caller_says():
    said = headers.parse_caller_fields(
        make_head(
            "X-Attempt-Id: a1",
            "X-Deadline-Ms: 1500",
            "X-Affinity-Key: 17",
            "Authorization: bearer  k1",
        )
    )
    assert said == headers.CallerFields("h.example", "a1", 1.5, "17", "k1")


def test_other_schemes_present_no_key():
    said = headers.parse_caller_fields(make_head("Authorization: Basic azE="))
    assert said.key == ""
    assert said.deadline_s is None


@pytest.mark.parametrize("value", ["soon", "-1", "1.5", ""])
def test_a_deadline_that_is_no_number_is_rejected(value):
    with pytest.raises(heads.BadRequestError):
        headers.parse_caller_fields(make_head(f"X-Deadline-Ms: {value}"))


def test_fields_pass_but_for_those_of_this_hop():
    passed = headers.encode_forwarded_fields(
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
        passed
        == "traceparent: 00-1-2-01\r\nx_odd: kept\r\nx-attempt-id: a1\r\n"
    )


def test_a_target_gets_its_name_the_account_and_the_time_left():
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


def test_reported_load():
    assert headers.parse_load("3,1,8") == headers.TargetLoad(3, 1, 8)
    for odd in ("", "3,1", "a,b,c", "1,2,3,4", "-1,0,3"):
        assert headers.parse_load(odd) is None


def test_when_to_come_back():
    assert headers.retry_after_fields(None) == []
    assert headers.retry_after_fields(0.251) == [("retry-after", "0.25")]


def test_look_ups():
    query = "Name=h.example&Region=coast&Zone=coast-a"
    assert headers.parse_lookup_query(query) == (
        "h.example",
        "coast",
        "coast-a",
    )
    assert headers.parse_lookup_query("") == ("", "", "")
    answer = headers.lookup_response(("10.0.0.1:80",), 3.0)
    assert answer == {"Addresses": ["10.0.0.1:80"], "TtlS": 3.0}
