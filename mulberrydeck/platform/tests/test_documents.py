"""Tests of the decoding of the platform's documents."""

import json

import pytest

from mulberrydeck.platform import documents
from mulberrydeck.steering import tables


def stored(spec, name="x", status=None, revision=3):
    document = {
        "Metadata": {"Name": name, "Revision": revision, "Created": 1},
        "Spec": spec,
        "Status": status,
    }
    return documents.decode_stored_object(json.dumps(document).encode())


def target_spec(**changes):
    spec = {
        "Address": "10.0.0.1:80",
        "born": 17,
        "Info": {"Service": "s", "Version": "v1", "Zone": "z", "Slots": 4},
        "Status": {"State": "ready", "Seq": 1, "ColdRemainingMs": 1500},
    }
    return {**spec, **changes}


def test_a_target_entry_is_decoded():
    entry = documents.decode_target(stored(target_spec(), name="i-1"))
    assert entry.name == "i-1"
    assert (entry.service, entry.zone, entry.slots) == ("s", "z", 4)
    assert entry.cold_s == 1.5
    assert entry.started_ms == 17
    assert not entry.draining


def test_a_target_entry_may_be_draining():
    spec = target_spec(Status={"State": "draining"})
    assert documents.decode_target(stored(spec)).draining


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "text",
        [],
        {},
        target_spec(Address=7),
        target_spec(Address="nowhere"),
        target_spec(Info={"Service": "s", "Zone": "z"}),
        target_spec(Info={"Service": "s", "Zone": "z", "Slots": 0}),
        target_spec(Info={"Service": "s", "Zone": "z", "Slots": "four"}),
        target_spec(Status={"State": "dancing"}),
        target_spec(Status={"State": None}),
        target_spec(Status={}),
        target_spec(born="yesterday"),
        target_spec(born=10**400),
        target_spec(born=-1),
        target_spec(Address="10.0.0.1:99999"),
        target_spec(Address="10.0.0.1:0"),
        target_spec(Address="10.0.0.1:\N{SUPERSCRIPT TWO}"),
        target_spec(Address="10.0.0.1\r\n:80"),
        target_spec(Address="elsewhere:80"),
        target_spec(Info={"Service": "s", "Zone": "z", "Slots": 10**400}),
        target_spec(Info={"Service": "s", "Zone": "z", "Slots": -3}),
        target_spec(Status={"State": "ready", "ColdRemainingMs": 10**300}),
    ],
)
def test_invalid_entries_of_other_writers_are_rejected(spec):
    with pytest.raises(documents.InvalidDocumentError):
        documents.decode_target(stored(spec))


@pytest.mark.parametrize(
    "name", ["i 1", "i-1\r\nA: b", "\u4e2d", "", "i" * 999]
)
def test_names_that_cannot_stand_in_a_header_are_rejected(name):
    with pytest.raises(documents.InvalidDocumentError):
        documents.decode_target(stored(target_spec(), name=name))


UNREADABLE_SPECS = {
    "half a surrogate pair": rb'{"Address":"\ud83d"}',
    "bytes that are not UTF-8": b'{"Address":"\xff\xfe"}',
    "deep nesting": b"[" * 100_000 + b"]" * 100_000,
    "deep objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "a number of 9,000 digits": b'{"Slots":' + b"9" * 9000 + b"}",
    "a number out of range": b'{"Slots":1e999}',
    "not JSON": b"nonsense",
    "brackets in a string": rb'"]}{[,\"\ud83d"',
}


# Guards against lists and watches that fail for one entry of another writer.
@pytest.mark.parametrize("case", UNREADABLE_SPECS)
def test_an_unreadable_entry_hides_no_other_entry(case):
    good = json.dumps(
        {"Metadata": {"Name": "i-1"}, "Spec": target_spec()}
    ).encode()
    odd = (
        b'{"Metadata":{"Name":"odd"}, "Spec":%s,"Status":null}'
        % (UNREADABLE_SPECS[case])
    )
    page = documents.decode_page(
        b'{"HasMore":true,"items":[%s, %s,%s],"At":7}' % (good, odd, good)
    )
    events = b",".join(
        b'{"Object":%s,"Deleted":%s}' % (each, deleted)
        for each, deleted in ((good, b"false"), (odd, b"false"), (odd, b"true"))
    )
    changes = documents.decode_changes(b'{"At":9,"events":[%s]}' % events)
    assert (page.at, page.has_more, changes.at) == (7, True, 9)
    assert [event.deleted for event in changes.events] == [False, False, True]
    for objects in (page.items, [event.object for event in changes.events]):
        valid, decode_errors = documents.decode_valid_objects(objects)
        assert not decode_errors
        assert [each.metadata.name for each in valid][:2] == ["i-1", "odd"]
        assert documents.decode_target(valid[0]).name == "i-1"
        with pytest.raises(documents.InvalidDocumentError):
            documents.decode_target(valid[1])


def test_invalid_objects_do_not_affect_the_valid_ones():
    good = json.dumps({"Metadata": {"Name": "a"}, "Spec": {}}).encode()
    valid, decode_errors = documents.decode_valid_objects(
        (b'{"Metadata":7}', good)
    )
    assert [stored_object.metadata.name for stored_object in valid] == ["a"]
    assert len(decode_errors) == 1


def configuration_spec(**changes):
    spec = {
        "Version": "0000001a",
        "Routes": [
            {
                "Name": "r1",
                "Host": "A.example",
                "PathPrefix": "/p/",
                "Kind": "non_idempotent",
                "TimeoutMs": 800,
                "TargetLatencyMs": 250,
                "Priority": 2,
                "MaxAttempts": 2,
                "Sticky": True,
                "HomeRegions": ["coast"],
                "TrafficSplit": [
                    {"Service": "s", "Weight": 90},
                    {"Service": "t", "Weight": 10},
                ],
            }
        ],
        "Services": [
            {"Name": "s", "MaxConnections": 360, "ColdPerS": 6.9},
        ],
        "Limits": {"MaxBodyBytes": 9, "IdleTimeoutMs": 15000},
        "Tenants": [
            {
                "Name": "acme",
                "ApiKeys": ["k1", "k2"],
                "Priority": 1,
                "RatePerS": 158,
                "Burst": 20,
            }
        ],
    }
    return {**spec, **changes}


def test_a_configuration_is_decoded():
    table = documents.decode_configuration(stored(configuration_spec()))
    assert table.version == 26
    route = table.route_of("a.example", "/p/x")
    assert route.repeatability is tables.Repeatability.AT_MOST_ONCE
    assert route.timeout_s == 0.8
    assert [part.weight for part in route.services] == [90, 10]
    assert route.home_regions == {"coast"}
    assert table.account_by_key["k2"].rate_per_s == 158
    assert table.services["s"].cold_rate_per_s == 6.9
    assert table.limits.max_body_bytes == 9


@pytest.mark.parametrize(
    "changes",
    [
        {"Version": "not-hex"},
        {"Version": 3},
        {"Routes": [{"Name": "r"}]},
        {"Routes": None},
    ],
)
def test_a_malformed_configuration_is_rejected_completely(changes):
    with pytest.raises(documents.InvalidDocumentError):
        documents.decode_configuration(stored(configuration_spec(**changes)))


def test_pages_and_changes_are_decoded():
    page = documents.decode_page(b'{"items":[{"a":1}],"HasMore":true,"At":7}')
    assert (len(page.items), page.has_more, page.at) == (1, True, 7)
    changes = documents.decode_changes(
        b'{"events":[{"Deleted":true,"Object":{}}],"At":9}'
    )
    assert changes.events[0].deleted
    with pytest.raises(documents.InvalidDocumentError):
        documents.decode_page(b"\xff{")
