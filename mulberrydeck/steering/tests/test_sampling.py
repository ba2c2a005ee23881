"""Random lists in which items occur in proportion to weight."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck.steering import sampling

WEIGHTS = strategies.lists(
    strategies.floats(min_value=1e-6, max_value=1e6), min_size=1, max_size=200
)


class HighestPoint(random.Random):
    """Returns the largest number that `random` can return."""

    def random(self):
        return 1.0 - 2.0**-53

    def getrandbits(self, bits):
        # Otherwise `shuffle` would use `random`.
        return super().getrandbits(bits)


# Guards against lists that are short by one or hold an item twice, because
# sums of many weights are rounded.
@hypothesis.given(WEIGHTS, strategies.integers(0, 2**32), strategies.booleans())
@hypothesis.settings(deadline=None)
def test_lists_have_their_length_and_no_item_twice(weights, seed, at_end):
    length = sampling.list_length(weights, 3, 64)
    assert min(3, len(weights)) <= length <= min(64, len(weights))
    probabilities = sampling.inclusion_probabilities(weights, length)
    assert sum(probabilities) == pytest.approx(length)
    assert all(0.0 <= probability <= 1.0 for probability in probabilities)
    rng = (HighestPoint if at_end else random.Random)(seed)
    items = range(len(weights))
    drawn = sampling.draw(rng, items, probabilities, length)
    assert len(set(drawn)) == len(drawn) == length


# Guards against lists so long that shares are not in proportion to weight.
@hypothesis.given(WEIGHTS)
@hypothesis.settings(deadline=None)
def test_probabilities_are_proportional_to_weight_above_the_minimum(weights):
    length = sampling.list_length(weights, 3, 64)
    if length <= 3:
        return
    probabilities = sampling.inclusion_probabilities(weights, length)
    expected = [length * weight / sum(weights) for weight in weights]
    assert probabilities == pytest.approx(expected, rel=1e-6)


# Guards against a minimum length that leaves out the heaviest item, or gives
# the others what is above a probability of 1.
def test_an_item_that_exceeds_its_place_is_always_included():
    probabilities = sampling.inclusion_probabilities([8.0, 1.0, 1.0, 2.0], 3)
    assert probabilities == pytest.approx([1.0, 0.5, 0.5, 1.0])


def test_equal_weights_are_recognised_in_spite_of_rounding():
    assert sampling.are_equal([])
    assert sampling.are_equal([0.1 + 0.2, 0.3])
    assert not sampling.are_equal([0.3, 0.3001])
