"""Tests of claim records."""

import attrs
import pytest

from mulberrydeck import errors
from mulberrydeck.runs import claims

FIRST = claims.ClaimRecord("a", "i1", "r1", 1, claims.STARTED, 0, 0.0)


def test_encoding_round_trip():
    assert claims.decode(claims.encode(FIRST)) == FIRST


def test_error_on_malformed_content_names_the_prefix():
    with pytest.raises(errors.ConfigurationError, match="runs/"):
        claims.decode(b"{}")


@pytest.mark.parametrize(
    ("change", "replaced"),
    [
        ({"attempt": 2}, True),
        ({"attempt": 1}, False),
        ({"attempt": 2, "request_id": "r2"}, False),
    ],
)
def test_only_a_later_attempt_of_the_same_request_replaces_a_claim(
    change, replaced
):
    later = attrs.evolve(FIRST, **change)
    assert FIRST.is_replaced_by(later) is replaced


def test_finished_run_is_never_replaced():
    finished = attrs.evolve(FIRST, state=claims.FINISHED, status=200)
    assert not finished.is_replaced_by(attrs.evolve(FIRST, attempt=2))
