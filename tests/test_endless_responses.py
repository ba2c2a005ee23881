"""Targets with endless responses, behind a steering VM in its own process."""

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
    """One VM and two targets, ready to serve."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2")
        fleet.start_vm()
        waiting.until(lambda: _serves(fleet), "a target is known")
        yield fleet


def _serves(fleet):
    _, response = fleet.request(fleet.client(), "/read/1")
    return isinstance(response, http_client.Response) and response.status == 200


def _script_faults(fleet, *faults):
    for target in fleet.targets.values():
        target.queued_faults.extend(faults)


ENDLESS_FAULTS = (
    "endless head",
    "endless fields",
    "endless trailer",
    "endless trailers",
    "endless extension",
)
# Largest growth of memory: several times the largest head of a response.
MAX_GROWTH_BYTES = 2 * 1024 * 1024
# Within which work for a caller that has left must end, by the users' rules.
MAX_CLOSE_S = 0.5


def _peak_bytes(fleet, name="coast-a-1"):
    """Returns the peak resident memory of a VM so far."""
    path = pathlib.Path(f"/proc/{fleet.vms[name].pid}/status")
    fields = dict(line.split(":", 1) for line in path.read_text().splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
def test_a_safe_request_is_not_delayed_by_an_endless_response(fleet, fault):
    _script_faults(fleet, fault)
    fleet.targets["t2"].queued_faults.clear()
    peak_bytes = _peak_bytes(fleet)
    start_s = time.monotonic()
    responses = [
        fleet.request(fleet.client(), f"/read/{number}")[1]
        for number in range(8)
    ]
    assert {response.status for response in responses} == {200}
    assert time.monotonic() - start_s < 1.0
    assert fleet.targets["t1"].endless_responses_started == 1
    assert fleet.targets["t1"].endless_responses_open == 0
    assert _peak_bytes(fleet) - peak_bytes < MAX_GROWTH_BYTES


@pytest.mark.parametrize("fault", ENDLESS_FAULTS)
def test_a_single_run_is_not_delayed_by_an_endless_response(fleet, fault):
    _script_faults(fleet, fault)
    _, response = fleet.request(fleet.client(), "/once/1", "POST", b"fee")
    assert response.status == 502
    assert response.latency_s < 1.0


def _read_tail(fleet, path, deadline_s):
    """Reads a response to its end and returns its last 16 bytes."""
    host, _, port = fleet.client().address.rpartition(":")
    head = (
        f"GET {path} HTTP/1.1\r\nHost: permits.example\r\n"
        f"X-Attempt-Id: endless\r\nX-Deadline-Ms: {deadline_s * 1000:.0f}\r\n"
        "\r\n"
    )
    tail = b""
    with gevent.socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode())
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                tail = (tail + data)[-16:]
    return tail


@pytest.mark.parametrize("fault", ["endless body", "endless chunks"])
def test_an_endless_body_ends_at_the_deadline_and_is_incomplete(fleet, fault):
    deadline_s = 1.0
    fleet.store.remove("servers", "t2")
    waiting.until(
        lambda: "An entry was removed." in fleet.vms["coast-a-1"].log(),
        "t2 is removed",
    )
    fleet.targets["t1"].queued_faults.append(fault)
    peak_bytes = _peak_bytes(fleet)
    start_s = time.monotonic()
    reader = gevent.spawn(_read_tail, fleet, "/read/1", deadline_s)
    gevent.sleep(0.1)
    others = [fleet.request(fleet.client(), "/read/2")[1] for _ in range(5)]
    assert {response.status for response in others} == {200}
    assert max(response.latency_s for response in others) < 0.5
    tail = reader.get()
    assert deadline_s <= time.monotonic() - start_s < deadline_s + 0.5
    assert not tail.endswith(b"0\r\n\r\n")
    assert fleet.targets["t1"].endless_responses_started == 1
    # The target notices the closed connection a moment after the caller.
    waiting.until(
        lambda: fleet.targets["t1"].endless_responses_open == 0,
        "the connection to the target is closed",
        MAX_CLOSE_S,
    )
    assert _peak_bytes(fleet) - peak_bytes < MAX_GROWTH_BYTES


UNREAD_RESPONSES = 300
# A third of the memory of a small VM; unlimited, these responses took 116 MB.
MAX_UNREAD_GROWTH_BYTES = 64 * 1024 * 1024


def _open_unread(fleet, number, deadline_s):
    """Sends a request and returns its connection, from which nobody reads."""
    host, _, port = fleet.client().address.rpartition(":")
    head = (
        f"GET /read/{number} HTTP/1.1\r\nHost: permits.example\r\n"
        f"X-Attempt-Id: unread{number}\r\n"
        f"X-Deadline-Ms: {deadline_s * 1000:.0f}\r\n\r\n"
    )
    sock = gevent.socket.create_connection((host, int(port)))
    sock.sendall(head.encode())
    return sock


# Guards against a VM that runs out of memory, with all requests on it.
def test_many_endless_bodies_that_nobody_reads_fit_into_memory(fleet):
    deadline_s = 1.5
    for name in ("t1", "t2"):
        fleet.store.remove("servers", name)
    target = fleet.add_target("large", slots=2 * UNREAD_RESPONSES)
    waiting.until(lambda: _serves(fleet) and target.runs, "it is used")
    target.queued_faults.extend(["endless body"] * UNREAD_RESPONSES)
    peak_bytes = _peak_bytes(fleet)
    socks = [
        _open_unread(fleet, number, deadline_s)
        for number in range(UNREAD_RESPONSES)
    ]
    waiting.until(
        lambda: target.endless_responses_started == UNREAD_RESPONSES,
        "all responses have started",
    )
    _, response = fleet.request(fleet.client(), "/read/1")
    assert response.status == 200
    waiting.until(
        lambda: target.endless_responses_open == 0,
        "the connections to the target are closed",
        deadline_s + 2.0,
    )
    for sock in socks:
        sock.close()
    assert _peak_bytes(fleet) - peak_bytes < MAX_UNREAD_GROWTH_BYTES
