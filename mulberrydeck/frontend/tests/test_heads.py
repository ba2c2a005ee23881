"""Heads that are costly to examine."""

import time

import pytest

from mulberrydeck.frontend import heads

START = b"GET / HTTP/1.1\r\nHost: x\r\n"


# Guards against a head that holds the loop for as long as its length squared.
@pytest.mark.parametrize("end", [b"\x01", b"\x01\r\nA: b"])
def test_a_long_malformed_field_is_rejected_in_linear_time(end):
    padding = b" " * (heads.MAX_HEAD_BYTES - 100)
    start_s = time.monotonic()
    with pytest.raises(heads.BadRequestError):
        heads.parse(START + b"A:" + padding + end)
    assert time.monotonic() - start_s < 0.5


@pytest.mark.parametrize("value", [b"b", b" b", b" \t b \t", b"b\t "])
def test_white_space_around_a_value_is_removed(value):
    assert heads.parse(START + b"A:" + value).index["a"] == "b"
