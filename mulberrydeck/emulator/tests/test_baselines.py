"""Baseline policies for target selection."""

import collections

import pytest

from mulberrydeck.emulator import baselines
from mulberrydeck.steering import placement
from mulberrydeck.steering import registry
from mulberrydeck.steering import targets

REQUIRED = placement.Requirements("status", 1, None, frozenset(), 0.0)
NAMES = ["two-choices", "least-in-flight", "free-slots"]


@pytest.fixture(name="directory")
def fixture_directory():
    baselines.seed(1)
    directory = targets.TargetDirectory({"coast-a": "coast"})
    entries = [
        registry.TargetEntry(name, "status", f"{name}:80", "coast-a", 4)
        for name in ("t1", "t2", "t3")
    ]
    targets.replace_all(directory, 0.0, entries)
    return directory


def count_choices(name, directory, required=REQUIRED):
    chosen = [
        baselines.BY_NAME[name](directory, None, 1.0, required)
        for _ in range(300)
    ]
    return collections.Counter(each.target.entry.name for each in chosen)


@pytest.mark.parametrize("name", NAMES)
def test_equal_targets_are_chosen_equally(name, directory):
    """Ties that go to the first target would look like herding."""
    counts = count_choices(name, directory)
    assert min(counts[each] for each in ("t1", "t2", "t3")) > 60


@pytest.mark.parametrize("name", NAMES)
def test_a_target_with_all_slots_in_use_is_not_chosen(name, directory):
    directory.by_name["t1"].in_flight = 4
    assert count_choices(name, directory)["t1"] == 0


def test_reported_load_counts_except_for_requests_in_flight(directory):
    targets.observe_load(directory.by_name["t1"], 1.0, 4)
    assert count_choices("two-choices", directory)["t1"] == 0
    assert count_choices("free-slots", directory)["t1"] == 0
    assert count_choices("least-in-flight", directory)["t1"] > 60


def test_targets_are_weighted_by_free_slots(directory):
    directory.by_name["t1"].in_flight = 3
    counts = count_choices("free-slots", directory)
    assert 0 < counts["t1"] < 0.2 * 300


@pytest.mark.parametrize("name", NAMES)
def test_a_choice_is_made_when_all_slots_are_in_use(name, directory):
    for target in directory.by_name.values():
        target.in_flight = 4
    assert count_choices(name, directory).total() == 300


@pytest.mark.parametrize("name", NAMES)
def test_no_usable_target_means_no_capacity(name, directory):
    directory.evacuated = {"coast-a"}
    choice = baselines.BY_NAME[name](directory, None, 1.0, REQUIRED)
    assert isinstance(choice, placement.NoCapacity)
