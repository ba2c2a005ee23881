"""Targets that send bytes without end, beside a real steering VM."""

import contextlib
import pathlib
import time

import gevent
import gevent.socket
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """One VM and two targets that serve."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2")
        fleet.start_vm()
        waiting.until(lambda: _serves(fleet), "a target is known")
        yield fleet


def _serves(fleet):
    _, answer = fleet.request(fleet.client(), "/read/1")
    return isinstance(answer, http_client.Response) and answer.status == 200


def _script(fleet, *faults):
    for target in fleet.targets.values():
        target.script.extend(faults)


ENDLESS = (
    "endless head",
    "endless fields",
    "endless trailer",
    "endless trailers",
    "endless extension",
)
# Some times the largest head of an answer.
MOST_KEPT_BYTES = 2 * 1024 * 1024


def _peak_bytes(fleet, name="coast-a-1"):
    """Returns the most memory that a VM had so far."""
    path = pathlib.Path(f"/proc/{fleet.vms[name].pid}/status")
    fields = dict(line.split(":", 1) for line in path.read_text().splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


@pytest.mark.parametrize("fault", ENDLESS)
def test_a_safe_request_is_not_held_by_bytes_without_end(fleet, fault):
    _script(fleet, fault)
    fleet.targets["t2"].script.clear()
    peak_bytes = _peak_bytes(fleet)
    began_s = time.monotonic()
    answers = [
        fleet.request(fleet.client(), f"/read/{number}")[1]
        for number in range(8)
    ]
    assert {answer.status for answer in answers} == {200}
    assert time.monotonic() - began_s < 1.0
    assert fleet.targets["t1"].endless == 1
    assert fleet.targets["t1"].endless_open == 0
    assert _peak_bytes(fleet) - peak_bytes < MOST_KEPT_BYTES


@pytest.mark.parametrize("fault", ENDLESS)
def test_a_single_run_is_not_held_by_bytes_without_end(fleet, fault):
    _script(fleet, fault)
    _, answer = fleet.request(fleet.client(), "/once/1", "POST", b"fee")
    assert answer.status == 502
    assert answer.latency_s < 1.0


def _discard(fleet, path, deadline_s):
    """Reads an answer to its end and keeps only its last bytes."""
    host, _, port = fleet.client().address.rpartition(":")
    head = (
        f"GET {path} HTTP/1.1\r\nHost: permits.example\r\n"
        f"X-Attempt-Id: endless\r\nX-Deadline-Ms: {deadline_s * 1000:.0f}\r\n"
        "\r\n"
    )
    last = b""
    with gevent.socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode())
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                last = (last + data)[-16:]
    return last


@pytest.mark.parametrize("fault", ["endless body", "endless chunks"])
def test_a_body_without_end_ends_with_the_deadline_and_is_not_whole(
    fleet, fault
):
    deadline_s = 1.0
    fleet.store.remove("servers", "t2")
    waiting.until(
        lambda: "An entry was removed." in fleet.vms["coast-a-1"].log(),
        "t2 is left",
    )
    fleet.targets["t1"].script.append(fault)
    peak_bytes = _peak_bytes(fleet)
    began_s = time.monotonic()
    reader = gevent.spawn(_discard, fleet, "/read/1", deadline_s)
    gevent.sleep(0.1)
    others = [fleet.request(fleet.client(), "/read/2")[1] for _ in range(5)]
    assert {answer.status for answer in others} == {200}
    assert max(answer.latency_s for answer in others) < 0.5
    last = reader.get()
    assert deadline_s <= time.monotonic() - began_s < deadline_s + 0.5
    assert not last.endswith(b"0\r\n\r\n")
    assert fleet.targets["t1"].endless == 1
    assert fleet.targets["t1"].endless_open == 0
    assert _peak_bytes(fleet) - peak_bytes < MOST_KEPT_BYTES
