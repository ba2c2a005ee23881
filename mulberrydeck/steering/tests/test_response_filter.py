"""Responses that belong to another request of the same connection."""

import time

from hypothesis import given
from hypothesis import strategies
import pytest

from mulberrydeck.steering import response_filter

MATCHING = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nabc"
MISMATCHED = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\n12345"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
OWN_INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Id: own\r\n\r\n"
EMPTY_LINES = b"\r\n\r\n"


def passed(*pieces, expected_id="own"):
    checked = response_filter.MismatchedResponseFilter("x-id", expected_id)
    return b"".join(checked.accept(piece) for piece in pieces)


def test_matching_response_passes_unchanged():
    assert passed(MATCHING) == MATCHING


@given(strategies.lists(strategies.integers(1, 200), max_size=8))
def test_mismatched_responses_are_skipped_at_any_chunk_boundaries(cuts):
    skipped = (MISMATCHED, INTERIM, OWN_INTERIM, EMPTY_LINES, MISMATCHED)
    data = b"".join(skipped) + MATCHING + b"surplus"
    bounds = sorted({0, *(min(c, len(data)) for c in cuts), len(data)})
    pieces = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert passed(*pieces) == MATCHING + b"surplus"


def test_response_without_identifier_is_passed_on():
    response = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    assert passed(response) == response


def test_mismatched_response_without_length_raises():
    with pytest.raises(response_filter.MismatchedResponseError):
        passed(b"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n")


def test_bytes_that_are_not_http_reach_the_parser():
    assert passed(b"garbage", b"") == b"garbage"


# Guards against a wait for the end of a head that never comes.
@pytest.mark.parametrize("preceding", [b"", INTERIM, MISMATCHED, EMPTY_LINES])
def test_bytes_that_start_no_response_reach_the_parser_at_once(preceding):
    assert passed(preceding + b"HT", b"ok") == b"HTok"


# Guards against an invalid status that counts as an interim response, or as one
# to another request.
@pytest.mark.parametrize("status", [b"000", b"1", b"1000", b"099", b"600"])
@pytest.mark.parametrize("identifier", [b"own", b"old"])
def test_an_invalid_status_reaches_the_parser(identifier, status):
    response = b"HTTP/1.1 %s X\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n" % (
        status,
        identifier,
    )
    assert passed(INTERIM + response + MATCHING) == response + MATCHING


def test_request_without_identifier_accepts_any_response():
    assert passed(MISMATCHED, expected_id="") == MISMATCHED


# Guards against a head that holds the loop for as long as its length squared.
def test_a_long_malformed_identifier_is_examined_in_linear_time():
    head = b"HTTP/1.1 200 OK\r\nX-Id:" + b" " * 60_000 + b"\rx\r\n\r\n"
    start_s = time.monotonic()
    assert passed(head) == head
    assert time.monotonic() - start_s < 1.0


@pytest.mark.parametrize("value", [b"own", b" own", b" \t own\t "])
def test_white_space_around_the_identifier_is_ignored(value):
    response = MATCHING.replace(b" own", value)
    assert passed(MISMATCHED + response) == response
