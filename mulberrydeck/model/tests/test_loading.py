"""Tests of configuration files."""

import zlib

import pytest

from mulberrydeck import errors
from mulberrydeck.model import differences
from mulberrydeck.model import documents
from mulberrydeck.model import editing
from mulberrydeck.model import loading
from mulberrydeck.model import writing
from mulberrydeck.model.tests import samples

INVALID_VALUES = [
    ("slots = 3", 'slots = "3"', r"targets\[0\].slots = '3': write a whole"),
    ("slots = 3", "slots = 0", r"targets\[2\].slots = 0: must be above 0"),
    ("slots = 3", "slots = true", "slots = True: write a whole number"),
    ("burst = 2\n", "burst = 0\n", r"limits\[1\].burst = 0: use at least 1"),
    ("rate_per_s = 100", "rate_per_s = nan", "rate_per_s = nan: must be"),
    ("rate_per_s = 100", "rate = 100", r"limits\[0\].rate: is an unknown key"),
    ('path_prefix = "/fees"', 'path_prefix = "fees"', "must start with `/`"),
    ('["POST"]', '["post"]', "write methods like `GET`"),
    ('zone = "north-b"', 'zone = "north-c"', r"not declared in \[\[zones\]\]"),
    ('destination = "south"', 'destination = "mars"', r"\[\[regions\]\]"),
    ('destination = "south"', 'destination = "north"', "equals the source"),
    ('name = "beta"', 'name = "acme"', "is used twice"),
    ('name = "beta"', 'name = "be ta"', "is not a valid name"),
    ('name = "beta"', "", r"accounts\[1\].name: is missing; add it"),
    ("11.0.0.0/24", "10.2.0.0/16", "overlaps 10.0.0.0/8"),
    ("11.0.0.0/24", "11.0.0.1/24", "is not a CIDR block"),
    ("11.0.0.0/24", "11.0.0.0/255.0.0.0", "write it as 11.0.0.0/8"),
    ("local = region", "local = moon", "matches no zone"),
    ("local = zone", "local = ", r"spill_order\[0\].zones = 'local = '"),
    ("weight = 3", "weight = 0", "use at least 1"),
    ('host = "127.0.0.1"', 'host = "localhost"', "write an IP address"),
    ("deadline_s = 5", "deadline_s = 0", "must be above 0"),
    ("deadline_s = 5", "deadline_s = inf", "must be above 0 and finite"),
    ("deadline_s = 5", "deadline_s = nan", "must be above 0 and finite"),
    ('tier = "gold" }', 'tier = "a b" }', "is not a valid label value"),
]


@pytest.mark.parametrize(("old", "new", "message"), INVALID_VALUES)
def test_invalid_value_is_reported_with_remedy(old, new, message):
    assert old in samples.FLEET_TOML
    text = samples.FLEET_TOML.replace(old, new)
    with pytest.raises(errors.ConfigurationError, match=message) as caught:
        loading.loads(text, "fleet.toml")
    assert str(caught.value).startswith("fleet.toml: ")


def test_all_problems_are_reported_at_once():
    text = samples.FLEET_TOML.replace("slots = 3", "slots = 0")
    text = text.replace("burst = 20", "burst = 0")
    with pytest.raises(errors.ConfigurationError) as caught:
        loading.loads(text, "fleet.toml")
    assert len(str(caught.value).splitlines()) == 4


def test_routes_with_same_prefix_and_method_are_rejected():
    text = samples.FLEET_TOML.replace('path_prefix = "/fees"\n', "")
    text = text.replace('methods = ["POST"]\n', "")
    with pytest.raises(errors.ConfigurationError, match="same prefix"):
        loading.loads(text, "fleet.toml")


def test_error_names_missing_file(tmp_path):
    with pytest.raises(errors.ConfigurationError, match="absent.toml"):
        loading.load(tmp_path / "absent.toml")


def test_written_toml_reads_back():
    fleet = samples.fleet()
    read = loading.parse(writing.dumps(fleet, 7), "written.toml")
    assert read == loading.ConfigurationFile(fleet, 7)


def test_encoded_document_reads_back():
    note = documents.new_note("ann", ("zones x: added",), None)
    document = documents.ConfigurationDocument(note, samples.fleet())
    assert documents.decode(documents.encode(document)) == document


def test_malformed_document_raises_configuration_error():
    complete = documents.encode(
        documents.ConfigurationDocument(None, samples.fleet())
    )
    unknown = zlib.compress(b'{"note": 3}')
    for content in (b"", b"{}", unknown, complete[:-1], complete + b"x" * 9):
        with pytest.raises(errors.ConfigurationError, match="malformed"):
            documents.decode(content)


def test_note_includes_changes_that_it_is_based_on():
    first = documents.new_note("ann", (), None)
    second = documents.new_note("bob", (), first)
    assert second.includes(first.token)
    assert not first.includes(second.token)


def test_differences_name_each_item():
    old = samples.fleet()
    new = editing.set_draining(old, "permits-1", True)
    new = editing.set_labels(new, "zone", "south-a", {"size": None, "x": "y"})
    assert differences.compare(old, old) == ()
    assert differences.compare(old, new) == (
        "zones south-a: labels {'size': 'small'} -> {'x': 'y'}",
        "targets permits-1: draining False -> True",
    )


def test_edits_of_undeclared_items_are_rejected():
    with pytest.raises(errors.ConfigurationError, match="mulberrydeck get"):
        editing.set_draining(samples.fleet(), "permits-9", True)
