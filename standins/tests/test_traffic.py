"""Callers send the requests of their stream and check the responses."""

import pytest

from standins import traffic
from standins.target import responses


def stream(path, **details):
    return traffic.Stream("s", "acme", "", "permits", path, 1.0, **details)


@pytest.mark.parametrize(
    ("path", "details", "url"),
    [
        ("/a", {}, "/a"),
        ("/a", {"work_ms": 2, "response_bytes": 9}, "/a?work_ms=2&bytes=9"),
        ("/a?work_ms=2", {"response_bytes": 9}, "/a?work_ms=2&bytes=9"),
    ],
)
def test_url_carries_the_options_of_the_stream(path, details, url):
    expected = "/v1/services/permits" + url
    assert stream(path, **details).url() == expected


def test_response_to_another_request_does_not_match():
    record = traffic.Record(stream("/a", response_bytes=100), "r1", due_s=0.0)
    assert traffic.matches_request(record, responses.body("r1", 100))
    assert not traffic.matches_request(record, responses.body("r2", 100))
    assert not traffic.matches_request(record, responses.body("r1", 99))
