"""Capacity in the records of entry VMs, as the store holds them."""

import json

import msgspec
import pytest

from mulberrydeck.platform import documents
from mulberrydeck.steering import registry

CAPACITY = registry.VmCapacity(0.43, 552.0, 8192.0, 50.0)
RECORD = registry.VmRecord(
    "coast-a-1", "coast-a", "coast", "10.0.0.1:80", "10.0.0.1:81", "p", CAPACITY
)
UNKNOWN = registry.VmRecord(
    "coast-a-1", "coast-a", "coast", "10.0.0.1:80", "10.0.0.1:81", "p"
)


def stored(spec):
    raw = json.dumps(spec).encode()
    metadata = documents.StoredMetadata("coast-a-1")
    return documents.StoredObject(metadata, msgspec.Raw(raw))


@pytest.mark.parametrize("record", [RECORD, UNKNOWN])
def test_a_record_is_read_as_it_was_written(record):
    spec = documents.encode_vm_record(record)
    assert documents.decode_vm_record(stored(spec)) == record


# Guards against a changed record where the platform states no limits.
def test_a_record_without_capacity_is_written_as_before():
    assert set(documents.encode_vm_record(UNKNOWN)) == {
        "Zone",
        "Region",
        "CallerAddress",
        "PeerAddress",
        "Incarnation",
    }


# Guards against a VM that is unknown to the others, or takes most callers,
# because its capacity is odd.
@pytest.mark.parametrize(
    "odd",
    [
        None,
        "much",
        7,
        [],
        {},
        {"Cores": "two"},
        {"Cores": None},
        {"Cores": -1.0, "MemoryMb": 552.0},
        {"Cores": 1e9},
        {"Cores": 10**400},
        {"MemoryMb": 552e6},
        {"Descriptors": 1e300},
        {"LinkMbps": [50.0]},
        {"LinkMbps": 5e7, "Cores": 1.0},
        {"Cores": 0.0, "MemoryMb": 0.0, "Descriptors": 0, "LinkMbps": 0},
    ],
)
def test_a_record_with_an_odd_capacity_has_none(odd):
    spec = documents.encode_vm_record(RECORD) | {"Capacity": odd}
    assert documents.decode_vm_record(stored(spec)) == UNKNOWN


# Guards against the loss of all values for one that the platform does not
# state, or for fields of a later version.
def test_a_capacity_may_be_stated_in_part():
    spec = documents.encode_vm_record(RECORD)
    spec["Capacity"] = {"Cores": 2, "Gpus": 1}
    decoded = documents.decode_vm_record(stored(spec))
    assert decoded.capacity == registry.VmCapacity(cores=2.0)
