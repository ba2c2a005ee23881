"""Tests of the authenticated envelope."""

import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck import errors
from mulberrydeck.peers import envelope

SECRET = b"fleet"


def test_an_envelope_survives_sealing_and_opening():
    sealed = envelope.seal(SECRET, envelope.Envelope("vm-1", b"payload"))
    opened = envelope.open_sealed(SECRET, sealed)
    assert opened == envelope.Envelope("vm-1", b"payload")


def test_an_envelope_sealed_with_another_secret_is_rejected():
    sealed = envelope.seal(SECRET, envelope.Envelope("vm-1", b"payload"))
    with pytest.raises(errors.MessageError, match="fleet_secret"):
        envelope.open_sealed(b"other", sealed)


@hypothesis.given(strategies.binary(max_size=80))
@hypothesis.settings(derandomize=True)
def test_arbitrary_data_is_rejected(data):
    with pytest.raises(errors.MessageError):
        envelope.open_sealed(SECRET, data)
