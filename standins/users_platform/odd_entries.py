"""Entries of targets as another writer may leave them in the store."""

from standins import serving

SERVICE = "status"


def entry(**changes):
    """Returns an entry of the service that nobody listens for."""
    info = {
        "Service": SERVICE,
        "Version": "v1",
        "Zone": "coast-a",
        "Slots": 6,
    }
    values = {
        "Address": "127.0.0.1:9",
        "born": 1,
        "Info": {**info, **changes.pop("Info", {})},
        "Status": {"State": "ready", "Seq": 1},
    }
    return {**values, **changes}


# Entries by name; none of them is one that a VM can use.
ENTRIES = {
    "surrogate": entry(Info={"Version": "v1 \ud83d"}),
    "nested": entry(
        Version=serving.RawJson(b"[" * 3000 + b"]" * 3000),
    ),
    "bytes": serving.RawJson(b'{"Address":"\xff"}'),
    "slots": entry(Info={"Slots": 10**400}),
    "digits": entry(born=serving.RawJson(b"9" * 9000)),
    "cold": entry(
        Status={"State": "ready", "ColdRemainingMs": serving.RawJson(b"1e999")}
    ),
    "port": entry(Address="127.0.0.1:99999"),
    "digit": entry(Address="127.0.0.1:\N{SUPERSCRIPT TWO}"),
    "host": entry(Address="\u4e2d:80"),
    "\u4e2d": entry(),
    "two\r\nlines": entry(),
}
