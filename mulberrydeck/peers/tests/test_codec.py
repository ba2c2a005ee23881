"""Tests of the peer message codec."""

import contextlib
import zlib

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


def digest(count):
    heartbeat = messages.SteeringHeartbeat("0f" * 16, True, False)
    return messages.SteeringDigest(
        tuple(
            messages.RelayedHeartbeat(f"edge-coast-a-{n}", 0.125, heartbeat)
            for n in range(count)
        )
    )


def test_a_digest_of_a_large_zone_fits_into_a_packet():
    """Digests were most of the bytes between regions at 195 VMs."""
    encoded = codec.encode(digest(22))
    assert len(encoded) < 1400
    assert codec.decode(encoded) == digest(22)


def test_small_messages_are_not_compressed():
    encoded = codec.encode(digest(1))
    assert encoded[1] < codec.COMPRESSED
    assert codec.decode(encoded) == digest(1)


def compressed(body):
    kind = codec.encode(digest(1))[1] | codec.COMPRESSED
    return bytes((messages.PROTOCOL_VERSION, kind)) + body


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"text",
        zlib.compress(b"\x90" * 50)[:-4],
        zlib.compress(b"\x00" * (codec.MAX_MESSAGE_BYTES + 1)),
        zlib.compress(b"\xc1"),
    ],
)
def test_malformed_compressed_bodies_raise_only_message_errors(body):
    with pytest.raises(errors.MessageError):
        codec.decode(compressed(body))


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(derandomize=True)
def test_random_compressed_bodies_raise_only_message_errors(body):
    with contextlib.suppress(errors.MessageError):
        codec.decode(compressed(zlib.compress(body)))
    with contextlib.suppress(errors.MessageError):
        codec.decode(compressed(body))


def test_an_unknown_kind_is_rejected():
    with pytest.raises(errors.MessageError, match="Kind 99"):
        codec.decode(bytes((messages.PROTOCOL_VERSION, 99, 0x80)))
