"""Answers that belong to another request of the same connection."""

from hypothesis import given
from hypothesis import strategies
import pytest

from mulberrydeck.steering import response_filter

OWN = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nabc"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\n12345"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def passed(*pieces, wanted="own"):
    checked = response_filter.MismatchedResponseFilter("x-id", wanted)
    return b"".join(checked.accept(piece) for piece in pieces)


def test_the_own_answer_passes_unchanged():
    assert passed(OWN) == OWN


@given(strategies.lists(strategies.integers(1, 200), max_size=8))
def test_foreign_answers_are_skipped_however_the_bytes_arrive(cuts):
    data = OTHER + INTERIM + OTHER + OWN + b"surplus"
    bounds = sorted({0, *(min(c, len(data)) for c in cuts), len(data)})
    pieces = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert passed(*pieces) == OWN + b"surplus"


def test_an_answer_without_identifier_is_left_to_its_reader():
    answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    assert passed(answer) == answer


def test_a_foreign_answer_without_length_breaks_the_exchange():
    with pytest.raises(response_filter.MismatchedResponseError):
        passed(b"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n")


def test_bytes_that_are_no_answer_reach_the_parser():
    assert passed(b"garbage", b"") == b"garbage"


def test_any_answer_fits_a_request_without_identifier():
    assert passed(OTHER, wanted="") == OTHER
