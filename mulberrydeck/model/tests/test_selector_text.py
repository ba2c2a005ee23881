"""Tests of the text form of selectors."""

import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck import errors
from mulberrydeck.model import selector_text
from mulberrydeck.model import selectors

words = strategies.sampled_from(["a", "b", "tier", "not", "in", "x.y/z-1"])
requirements = strategies.one_of(
    strategies.builds(
        selectors.Requirement,
        words,
        strategies.sampled_from(
            [selectors.Operator.IN, selectors.Operator.NOT_IN]
        ),
        strategies.lists(words, min_size=1, max_size=3).map(tuple),
    ),
    strategies.builds(
        selectors.Requirement,
        words,
        strategies.sampled_from(
            [selectors.Operator.EXISTS, selectors.Operator.NOT_EXISTS]
        ),
    ),
)
any_selector = strategies.builds(
    selectors.Selector,
    strategies.lists(requirements, max_size=4).map(tuple),
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(any_selector)
def test_text_reads_back(selector):
    assert selector_text.parse(selector_text.write(selector)) == selector


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        ("a = b", {"a": "b"}, True),
        ("a=b,c", {"a": "b"}, False),
        ("a != b", {}, True),
        ("a != b", {"a": "b"}, False),
        ("a in (b, c), !d", {"a": "c"}, True),
        ("a not in (b, c)", {"a": "d"}, True),
        ("a not  in (b, c)", {"a": "b"}, False),
        ("!a", {"a": "b"}, False),
    ],
)
def test_selects(text, labels, expected):
    assert selector_text.parse(text).matches(labels) is expected


@pytest.mark.parametrize(
    "text", ["a =", "= a", "a in b", "a in ()", "a in (b", "a b", ",", "a,,b"]
)
def test_error_of_malformed_text_names_remedy(text):
    with pytest.raises(errors.ConfigurationError, match="write|use"):
        selector_text.parse(text)
