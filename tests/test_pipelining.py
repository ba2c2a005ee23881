"""Pipelined requests through a steering VM as a process."""

import re

import gevent.socket
import pytest

from standins import serving
from standins import waiting
from standins.users_platform import fleet as steering_fleet

MAX_REQUESTS = 4
WORK_MS = 600


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """One VM and two targets that serve."""
    with steering_fleet.SteeringFleet(
        tmp_path, max_pipelined_requests=MAX_REQUESTS
    ) as fleet:
        fleet.configure()
        fleet.add_target("t1")
        fleet.add_target("t2")
        fleet.start_vm()
        waiting.until(lambda: serves(fleet), "a target is known")
        yield fleet


def serves(fleet):
    _, response = fleet.request(fleet.client(), "/read/0")
    return response.status == 200


def head(path, attempt_id, method="GET"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {steering_fleet.HOST}\r\n"
        f"X-Attempt-Id: {attempt_id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
    ).encode()


def ran(fleet):
    runs = [run for target in fleet.targets.values() for run in target.runs]
    return {run.fields["x-attempt-id"]: run.arrived_s for run in runs}


# Guards against reads that wait for the ones before them, and against requests
# that a planned stop loses or that run although callers resend them.
def test_a_stopping_vm_answers_pipelined_requests_and_runs_no_others(fleet):
    address = fleet.vm_addresses["coast-a-1"]["caller_address"]
    sock = gevent.socket.create_connection(serving.split_address(address))
    sock.settimeout(waiting.WAIT_TIMEOUT_S)
    sock.sendall(
        head(f"/read/1?work_ms={WORK_MS}", "a1")
        + head("/read/2?work_ms=100", "a2")
        + head("/read/3?work_ms=300", "a3")
        + head("/once/4", "a4", "DELETE")
        + head("/read/5", "a5")
    )
    waiting.until(lambda: len(ran(fleet).keys() & {"a1", "a2", "a3"}) == 3, "3")
    fleet.stop_vm()
    data = b""
    while piece := sock.recv(65536):
        data += piece
    arrived_s = ran(fleet)
    assert arrived_s["a3"] - arrived_s["a1"] < WORK_MS / 1000 / 2
    assert arrived_s["a4"] - arrived_s["a1"] > WORK_MS / 1000 * 0.9
    assert "a5" not in arrived_s
    bodies = re.findall(rb"\r\n\r\n(a\d) of", data)
    assert bodies == [b"a1", b"a2", b"a3", b"a4"]
    assert data.count(b"HTTP/1.1 200 ") == 4
    assert data.count(b"connection: close") == 1
    assert fleet.vms["coast-a-1"].wait_end() == 0
