"""Draws lists without repetition in which items occur in given proportions.

A caller chooses uniformly from its list. With lists of a fixed length, the
share of an item is its probability of inclusion divided by that length, so
inclusion probabilities proportional to weight give shares proportional to
weight. No probability exceeds 1, which bounds the length: a list of all items
gives equal shares whatever their weights.
"""

from collections.abc import Sequence
import random
from typing import TypeVar

T = TypeVar("T")

# Tolerance of sums of floating-point weights.
EPSILON = 1e-9


def are_equal(weights: Sequence[float]) -> bool:
    """Returns whether all weights are equal but for rounding."""
    return not weights or min(weights) >= max(weights) * (1.0 - EPSILON)


def list_length(weights: Sequence[float], minimum: int, maximum: int) -> int:
    """Returns the largest length at which shares are proportional to weight.

    Long lists give callers more VMs to go to when one fails, and average the
    choices of callers that keep a list for seconds.

    Args:
        weights: Positive weights.
        minimum: Least length, even if shares are then less unequal than
            weights.
        maximum: Greatest length.
    """
    proportional = int(sum(weights) / max(weights) + EPSILON)
    return min(len(weights), maximum, max(minimum, proportional))


def inclusion_probabilities(
    weights: Sequence[float], length: int
) -> list[float]:
    """Returns the probability with which each item is in a list.

    The probabilities add up to `length`. Items whose probability would exceed 1
    are always included, and the others share the rest of the list.

    Args:
        weights: Positive weights.
        length: Length of the list, at most the number of weights.
    """
    probabilities = [1.0] * len(weights)
    drawn = list(range(len(weights)))
    while drawn:
        places = length - (len(weights) - len(drawn))
        factor = places / sum(weights[index] for index in drawn)
        certain = {index for index in drawn if weights[index] * factor >= 1.0}
        if not certain:
            for index in drawn:
                probabilities[index] = weights[index] * factor
            break
        drawn = [index for index in drawn if index not in certain]
    return probabilities


def draw(
    rng: random.Random,
    items: Sequence[T],
    probabilities: Sequence[float],
    length: int,
) -> list[T]:
    """Draws a list by systematic sampling in random order.

    Args:
        rng: Random number generator.
        items: Items to draw from.
        probabilities: Inclusion probability of each item, at most 1; they add
            up to `length`.
        length: Length of the list.
    """
    order = list(range(len(items)))
    rng.shuffle(order)
    next_point = rng.random()
    total = 0.0
    chosen = []
    passed = []
    for index in order:
        total += probabilities[index]
        # The last point may lie beyond a total that was rounded down.
        if total > next_point and len(chosen) < length:
            chosen.append(items[index])
            next_point += 1.0
        else:
            passed.append(items[index])
    return chosen + passed[: length - len(chosen)]
