"""Tests of configuration indexes."""

import ipaddress

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from mulberrydeck import errors
from mulberrydeck.model import client_blocks
from mulberrydeck.model import compiled
from mulberrydeck.model import editing
from mulberrydeck.model import places
from mulberrydeck.model.tests import samples

MANY_BLOCKS = 510_000


@pytest.fixture(scope="module")
def fleet():
    return compiled.compile_configuration(samples.fleet(), 3)


@pytest.mark.parametrize(
    ("method", "path", "route"),
    [
        ("GET", "/", "rest"),
        ("POST", "/fees", "fees"),
        ("POST", "/fees/7?x=/y", "fees"),
        ("POST", "/feesx", "rest"),
        ("GET", "/fees", "rest"),
        ("POST", "//fees", "fees"),
        ("POST", "/%66ees;v=1/", "fees"),
        ("POST", "/x/../fees", None),
        ("POST", "/x/%2e%2e/fees", None),
        ("POST", "/x%2f..%2ffees", None),
        ("POST", "/%2566ees", None),
    ],
)
def test_longest_prefix_wins_at_segment_boundaries(fleet, method, path, route):
    found = fleet.route_of("permits", method, path)
    assert (found and found.name) == route


def test_unknown_names_have_no_rules(fleet):
    assert fleet.route_of("rosters", "GET", "/") is None
    assert fleet.access_rule("nobody", "permits") is None
    assert fleet.access_rule("acme", "rosters") is None
    assert fleet.limit_of("nobody") is None
    assert fleet.spill_order("permits", "mars-a") == ()
    assert fleet.targets_in("mars-a") == ()
    assert fleet.region_of("mars-a") == ""


def test_rules_follow_labels_in_order(fleet):
    assert fleet.access_rule("acme", "permits").name == "gold"
    assert fleet.access_rule("beta", "permits") is None
    assert fleet.limit_of("acme").burst == 20
    assert fleet.limit_of("beta").name == "rest"


def test_spill_order_names_each_zone_once(fleet):
    assert fleet.spill_order("permits", "north-a") == (
        compiled.Step((("north-a", 3), ("north-b", 1))),
        compiled.Step((("south-a", 1),)),
    )


@pytest.mark.parametrize(
    ("place", "nearest"),
    [
        ("10.1.2.3", "north-a"),
        ("::ffff:11.0.0.9", "south-a"),
        ("fd00::1", "north-a"),
        ("north-b", "north-b"),
        ("south", "south-a"),
    ],
)
def test_nearest_zone_comes_first(fleet, place, nearest):
    assert fleet.knows_place(place)
    assert fleet.zones_near(place)[0] == nearest
    assert sorted(fleet.zones_near(place)) == list(fleet.zone_names)


@pytest.mark.parametrize(
    "changes",
    [
        {"regions": ()},
        {"services": ()},
        {"zones": ()},
        {"zones": (places.Zone("north-a", "north", {}, ("x",)),)},
    ],
)
def test_unchecked_configuration_raises_configuration_error(changes):
    unchecked = attrs.evolve(samples.fleet(), **changes)
    with pytest.raises(errors.ConfigurationError, match="Version 9 is invalid"):
        compiled.compile_configuration(unchecked, 9)


def test_equal_blocks_are_indexed_once(fleet):
    drained = editing.set_draining(samples.fleet(), "permits-1", True)
    after = compiled.compile_configuration(drained, 4, fleet)
    assert after.blocks is fleet.blocks
    moved = attrs.evolve(drained, zones=drained.zones[::-1])
    changed = compiled.compile_configuration(moved, 5, after)
    assert changed.blocks is not fleet.blocks
    assert changed.zones_near("11.0.0.9")[0] == "south-a"


def test_unknown_places_get_all_zones(fleet):
    assert not fleet.knows_place("192.0.2.1")
    assert fleet.zones_near("192.0.2.1") == fleet.zone_names


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.integers(0, 2**32 - 1))
def test_blocks_match_the_definition(number):
    zones = [
        places.Zone("a", "r", client_blocks=("0.0.0.0/2", "192.0.2.0/24")),
        places.Zone("b", "r", client_blocks=("64.0.0.0/2",)),
    ]
    address = ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
    expected = {0: "a", 1: "b"}.get(number >> 30)
    if number >> 8 == 0xC00002:
        expected = "a"
    assert client_blocks.BlockIndex(zones).zone_of(address) == expected


def is_canonical(text: str) -> bool:
    try:
        return str(ipaddress.ip_network(text)) == text
    except ValueError:
        return False


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.from_regex(
        r"(0?\d{1,3}\.){2,3}(0|128|64|300)/\d{1,2}", fullmatch=True
    )
)
def test_blocks_are_checked_as_the_standard_library_does(text):
    zone = places.Zone("a", "r", client_blocks=(text,))
    assert bool(list(client_blocks.check([zone]))) is not is_canonical(text)


def test_index_of_many_blocks_is_compact():
    texts = tuple(
        f"{number >> 16}.{number >> 8 & 255}.{number & 255}.0/24"
        for number in range(MANY_BLOCKS)
    )
    index = client_blocks.BlockIndex([places.Zone("a", "r", {}, texts)])
    assert index.zone_of("7.200.31.9") == "a"
    assert index.zone_of("200.0.0.1") is None
    assert len(index.firsts_4) * index.firsts_4.itemsize < 3_000_000
