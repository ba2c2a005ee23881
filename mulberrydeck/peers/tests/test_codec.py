"""Tests of the peer message codec."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck import errors
from mulberrydeck.peers import codec
from mulberrydeck.peers import messages


def test_a_message_survives_encoding_and_decoding():
    message = messages.LoanRequest(
        7, "x", 1.5, (messages.ResourceRequest("account/a", 3),)
    )
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(derandomize=True)
def test_malformed_input_raises_only_message_errors(data):
    with contextlib.suppress(errors.MessageError):
        codec.decode(data)


def test_an_unknown_kind_is_rejected():
    with pytest.raises(errors.MessageError, match="Kind 99"):
        codec.decode(bytes((messages.PROTOCOL_VERSION, 99, 0x80)))
