"""Checks of a soak on records in which a promise is broken."""

import types

import attrs
import pytest

from soak import callers
from soak import checks
from soak import faults
from soak import fleet as fleets
from standins import http_client
from standins.users_platform import instances

VM = "coast-a-1"
OTHER_VM = "coast-b-1"
CLOSED = http_client.NoResponse("RemoteDisconnected: closed", 0.1)
STOP = fleets.InjectedFault(faults.Stop(VM), 1.0, 6.0)
PROMISES = (408, 421, 429, 503)


@attrs.define
class Record:
    """What callers and targets saw, as the checks read it."""

    calls: list[callers.Call] = attrs.field(factory=list)
    probes: list[callers.Probe] = attrs.field(factory=list)
    targets: dict[str, types.SimpleNamespace] = attrs.field(factory=dict)
    injected_faults: list[fleets.InjectedFault] = attrs.field(factory=list)
    exits: list[tuple[str, int, float]] = attrs.field(factory=list)
    vms: dict[str, object] = attrs.field(factory=dict)
    group: object = attrs.field(
        factory=lambda: types.SimpleNamespace(processes=[])
    )

    def run(self, target, attempt_id, status=200, path="/once/1", body=b""):
        """Adds a run with the status that the target gave."""
        fields = {"x-attempt-id": attempt_id}
        self.targets[target].runs.append(
            instances.Request("GET", path, fields, body, 2.0)
        )
        self.targets[target].statuses.setdefault(attempt_id, set()).add(status)

    def call(self, attempt_id, response, vm=VM, **changes):
        """Adds a call of an at-most-once request."""
        values = {"path": "/once/1", "sent_s": 2.0, "ended_s": 3.0}
        single = changes.pop("single", True)
        values |= changes
        self.calls.append(
            callers.Call(
                attempt_id, vm, single=single, response=response, **values
            )
        )

    def broken(self):
        return checks.broken_promises(self, self, timed=False)


@pytest.fixture(name="record")
def fixture_record():
    targets = {
        name: types.SimpleNamespace(
            name=name,
            runs=[],
            statuses={},
            played_faults={},
            broken_off=set(),
            cancelled_s={},
            body=lambda attempt_id, name=name: (
                f"{attempt_id} of {name}".encode()
            ),
        )
        for name in ("t1", "t2")
    }
    return Record(targets=targets)


def responded(status, signer="", body=b"", **headers):
    if signer:
        headers["x-response-signature"] = f"sig.{signer}"
    return http_client.Response(status, headers, body, 0.1)


def test_a_sound_record_breaks_no_promise(record):
    record.run("t1", "a1")
    record.call("a1", responded(200, "t1", b"a1 of t1"))
    record.call("a2", responded(503))
    record.run("t2", "a3", 500)
    record.call("a3", responded(500, "t2"))
    record.run("t2", "a4", 503)
    record.call("a4", responded(502))
    assert record.broken() == []


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("signer", ["", "t1"])
def test_a_refused_call_that_ran_is_found(record, status, signer):
    record.run("t1", "a1", status)
    record.call("a1", responded(status, signer))
    (broken,) = record.broken()
    assert broken.startswith("REFUSED: a1")


def test_a_safe_call_may_get_the_status_of_the_target_that_ran_it(record):
    record.run("t1", "a1", 503)
    record.call("a1", responded(503, "t1"), single=False)
    assert record.broken() == []


def test_a_safe_call_that_ran_elsewhere_is_not_refused(record):
    record.run("t1", "a1", 500)
    record.targets["t2"].statuses["a1"] = {503}
    record.call("a1", responded(503, "t2"), single=False)
    (broken,) = record.broken()
    assert broken.startswith("REFUSED: a1")


def test_a_call_that_ran_twice_is_found(record):
    record.run("t1", "a1")
    record.run("t2", "a1")
    record.call("a1", responded(200, "t1", b"a1 of t1"))
    (broken,) = record.broken()
    assert broken.startswith("TWICE: a1")


REFUSALS = (
    *(responded(status) for status in PROMISES),
    http_client.NoResponse("ConnectionRefusedError: refused", 0.1),
    http_client.NoResponse("BrokenPipeError: closed", 0.1),
)


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refused_attempt_of_a_work_that_ran_is_found(record, refusal):
    """Also if the target got another identifier than the caller sent."""
    path = "/once/1?work=w"
    record.injected_faults.append(STOP)
    record.run("t1", "other", path=path)
    record.run("t2", "a2", path=path)
    record.call("a1", refusal, path=path, work="w", ended_s=2.1)
    response = responded(200, "t2", b"a2 of t2")
    record.call("a2", response, OTHER_VM, path=path, work="w")
    (broken,) = record.broken()
    assert broken.startswith("REFUSED: /once/1?work=w ran 2 times")


@pytest.mark.parametrize(
    ("fault", "is_lost"),
    [("", True), ("ran 503 broken", True), ("ran 503 long broken", False)],
)
def test_only_a_long_response_may_be_broken_off(record, fault, is_lost):
    record.run("t1", "a1", 503)
    record.targets["t1"].played_faults["a1"] = [fault]
    record.call("a1", CLOSED)
    assert [line[:8] for line in record.broken()] == ["LOST: a1"] * is_lost


@pytest.mark.parametrize("how", ["", "reloading"])
def test_a_call_that_a_planned_stop_cuts_is_found(record, how):
    stop = attrs.evolve(STOP, fault=faults.Stop(VM, how))
    record.injected_faults.append(stop)
    record.run("t1", "a1")
    record.call("a1", CLOSED)
    (broken,) = record.broken()
    assert broken.startswith("LOST: a1")


def test_the_stop_of_another_vm_excuses_no_lost_call(record):
    stop = attrs.evolve(STOP, fault=faults.Stop(OTHER_VM, "paused"))
    record.injected_faults.append(stop)
    record.call("a1", CLOSED, ended_s=2.1)
    (broken,) = record.broken()
    assert broken.startswith("LOST: a1")


def test_a_run_that_a_stopping_vm_breaks_off_is_found(record):
    record.injected_faults.append(STOP)
    record.run("t1", "a1")
    record.targets["t1"].cancelled_s["a1"] = 3.0
    record.call("a1", responded(504), limit_s=5.0)
    (broken,) = record.broken()
    assert broken.startswith("LOST: a1")


@pytest.mark.parametrize(
    "changes", [{"limit_s": 1.0}, {"vm": OTHER_VM}, {"ended_s": 4.9}]
)
def test_a_stop_does_not_forbid_other_cuts(record, changes):
    record.injected_faults.append(STOP)
    record.run("t1", "a1")
    record.targets["t1"].cancelled_s["a1"] = 3.0
    record.call("a1", responded(504), **{"limit_s": 5.0} | changes)
    assert record.broken() == []


@pytest.mark.parametrize(
    ("fault", "is_lost"), [("copy", True), ("bare copy", False)]
)
def test_a_stopping_vm_waits_behind_responses_to_others(record, fault, is_lost):
    record.injected_faults.append(STOP)
    record.run("t1", "a1")
    record.targets["t1"].cancelled_s["a1"] = 3.0
    record.targets["t1"].played_faults["a1"] = [fault]
    record.call("a1", responded(502))
    assert [line[:8] for line in record.broken()] == ["LOST: a1"] * is_lost


@pytest.mark.parametrize(
    ("status", "signer", "body", "headers"),
    [
        (502, "t1", b"", {}),
        (200, "t1", b"a1 of t1", {}),
        (500, "t2", b"", {}),
        (500, "t9", b"", {}),
        (200, "", b"a1 of t1", {}),
        (500, "t1", b"", {"x-attempt-id": "a0"}),
    ],
)
def test_a_response_that_no_target_gave_is_found(
    record, status, signer, body, headers
):
    record.run("t1", "a1", 500)
    record.call("a1", responded(status, signer, body, **headers))
    (broken,) = record.broken()
    assert broken.startswith("MIXED: a1")


def test_a_success_with_another_body_is_found(record):
    record.run("t1", "a1")
    record.call("a1", responded(200, "t1", b"a1 of"))
    (broken,) = record.broken()
    assert broken.startswith("MIXED: a1")


def test_a_response_that_was_broken_off_is_found(record):
    record.run("t1", "a1", 500)
    record.targets["t1"].broken_off.add("a1")
    record.call("a1", responded(500, "t1"))
    (broken,) = record.broken()
    assert broken.startswith("MIXED: a1")


@pytest.mark.parametrize("changed", [{"path": "/once/2"}, {"body": b"changed"}])
def test_a_changed_request_is_found(record, changed):
    record.run("t1", "a1", **changed)
    record.call("a1", responded(200, "t1", b"a1 of t1"))
    (broken,) = record.broken()
    assert broken.startswith("UNASKED: a1")
