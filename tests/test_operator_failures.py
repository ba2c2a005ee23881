"""Failures that operators of similar systems have told of, on real processes.

Late copies of responses and responses that break off halfway are tested in
`test_steering.py` and `test_complete_responses.py`.
"""

import collections
import random
import time

import gevent
import gevent.socket
import pytest

from standins import http_client
from standins import waiting
from standins.users_platform import fleet as steering_fleet

VM = "coast-a-1"
OTHER_VM = "coast-b-1"
SEED = 4
RATE_PER_S = 20
BURST = 10
STOP_CLIENTS = 12
# Ends before the process for each request that arrives during its stop.
STOP_CLIENT_DEADLINE_MS = 500


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """Two VMs and two targets, ready to serve."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        fleet.add_target("t1", slots=50)
        fleet.add_target("t2", slots=50)
        fleet.start_vm(VM)
        fleet.start_vm(OTHER_VM, "coast-b")
        for name in (VM, OTHER_VM):
            _wait_serving(fleet, name)
        yield fleet


def _wait_serving(fleet, name):
    waiting.until(
        lambda: _status(fleet, name, "/read/1") == 200, f"{name} serves"
    )


def _status(fleet, name, path, **headers):
    _, response = fleet.request(fleet.client(name, **headers), path)
    return getattr(response, "status", None)


def _wait_status(fleet, name, path, status, **headers):
    waiting.until(
        lambda: _status(fleet, name, path, **headers) == status,
        f"{name} responds with {status}",
    )


@pytest.mark.parametrize("reaches_store", [True, False])
def test_a_restarted_vm_uses_no_withdrawn_key_and_no_target_that_left(
    fleet, reaches_store
):
    key = {"Authorization": "Bearer key-1"}
    assert _status(fleet, VM, "/keyed/1", **key) == 200
    fleet.configure(2, Tenants=[{"Name": "acme", "ApiKeys": ["key-2"]}])
    fleet.store.remove("servers", "t1")
    for name in (VM, OTHER_VM):
        _wait_status(fleet, name, "/keyed/1", 401, **key)
    fleet.vms[VM].kill()
    if not reaches_store:
        fleet.store.refuse(_ip(fleet, VM))
    fleet.targets["t1"].runs.clear()
    statuses = collections.Counter()
    fleet.launch_vm(VM, "coast-a")
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s:
        statuses[_status(fleet, VM, "/keyed/1", **key)] += 1
        _status(fleet, VM, "/read/1", **{"X-Affinity-Key": f"o{len(statuses)}"})
    assert 200 not in statuses
    assert not fleet.targets["t1"].runs
    if reaches_store:
        assert statuses[401]


def _ip(fleet, name):
    return fleet.vm_addresses[name]["caller_address"].partition(":")[0]


def test_a_planned_stop_under_load_cuts_no_request_just_accepted(fleet):
    for target in fleet.targets.values():
        target.work_s = 0.05
    cut = []
    answered = []

    def send():
        while True:
            client = fleet.client(
                VM, **{"X-Deadline-Ms": str(STOP_CLIENT_DEADLINE_MS)}
            )
            try:
                client.open()
            except OSError:
                return  # No new connections are accepted any more.
            _, response = fleet.request(client, "/read/1")
            client.close()
            if isinstance(response, http_client.Response):
                answered.append(response.status)
            else:
                cut.append(response.reason)
                return

    senders = [gevent.spawn(send) for _ in range(STOP_CLIENTS)]
    gevent.sleep(0.5)
    fleet.stop_vm(VM)
    gevent.joinall(senders)
    assert fleet.vms[VM].wait_end() == 0
    assert len(answered) > STOP_CLIENTS
    assert set(answered) == {200}
    # A connection that the kernel accepted as the listener closed was not read.
    assert not [reason for reason in cut if "reset" not in reason.lower()], cut


# Guards against requests that are accepted late in a stop and then cut off.
def test_a_planned_stop_cuts_no_long_request_that_arrives_late(fleet):
    for target in fleet.targets.values():
        target.work_s = 1.8
    kept = fleet.client(VM)
    kept.open()
    fleet.stop_vm(VM)
    gevent.sleep(1.2)
    sent = [
        gevent.spawn(fleet.request, client, f"/read/{number}")
        for number, client in enumerate((kept, fleet.client(VM)))
    ]
    gevent.joinall(sent)
    assert fleet.vms[VM].wait_end() == 0
    responses = [greenlet.get()[1] for greenlet in sent]
    assert [getattr(r, "status", r) for r in responses] == [503, 503]
    ran = {
        run.fields["x-attempt-id"]
        for target in fleet.targets.values()
        for run in target.runs
    }
    assert not ran.intersection(greenlet.get()[0] for greenlet in sent)


def test_no_limit_is_exceeded_while_vms_hand_over(fleet):
    """The shares of a VM that stops, and of one that starts, are used once."""
    limited = {"Name": "acme", "ApiKeys": ["key-1"]}
    fleet.configure(
        2, Tenants=[{**limited, "RatePerS": RATE_PER_S, "Burst": BURST}]
    )
    gevent.sleep(1.0)
    runs = [run for target in fleet.targets.values() for run in target.runs]
    known = len(runs)
    start_s = time.monotonic()
    end_s = start_s + 8.0

    def send(name):
        while time.monotonic() < end_s:
            client = fleet.client(name, Authorization="Bearer key-1")
            _, response = fleet.request(client, "/keyed/1")
            client.close()
            if not isinstance(response, http_client.Response):
                gevent.sleep(0.05)

    senders = [gevent.spawn(send, name) for name in (VM, OTHER_VM) * 4]
    gevent.sleep(1.5)
    fleet.stop_vm(VM)
    fleet.vms[VM].wait_end()
    fleet.start_vm(VM)
    gevent.joinall(senders)
    elapsed_s = time.monotonic() - start_s
    runs = [run for target in fleet.targets.values() for run in target.runs]
    count = len(runs) - known
    assert count <= RATE_PER_S * elapsed_s + BURST
    assert count >= RATE_PER_S * elapsed_s * 0.3


@pytest.mark.parametrize(
    "purpose",
    ["caller_address", "ready_address", "look_up_address", "peer_address"],
)
def test_random_bytes_end_no_process(fleet, purpose):
    rng = random.Random(SEED)
    pid = fleet.vms[VM].pid
    host, _, port = fleet.vm_addresses[VM][purpose].rpartition(":")
    for _ in range(60):
        _send_raw((host, int(port)), _random_message(rng))
    assert _status(fleet, VM, "/read/1") == 200
    assert fleet.vms[VM].is_running()
    assert fleet.vms[VM].pid == pid


def _random_message(rng):
    start = rng.choice(
        [
            b"",
            b"GET /read/1 HTTP/1.1\r\n",
            b"POST /once/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"GET /read/1 HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"GET /resolutions?Region=%ff&Zone HTTP/1.1\r\n\r\n",
            # Greeting of ZeroMQ's transport protocol.
            b"\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f\x03\x00NULL",
        ]
    )
    return (
        start
        + rng.randbytes(rng.randint(0, 300))
        + rng.choice([b"", b"\r\n\r\n", b"\x00" * 64])
    )


def _send_raw(address, data):
    with gevent.socket.create_connection(address, timeout=2.0) as sock:
        sock.settimeout(0.05)
        try:
            sock.sendall(data)
            sock.shutdown(gevent.socket.SHUT_WR)
            sock.recv(4096)
        except OSError:
            return  # The VM closed the connection, or still reads.


MALFORMED_SPECS = (
    None,
    [],
    "text",
    {"Version": 7},
    {"Version": "zz", "Routes": {}},
    {"Version": "00000009", "Routes": [{"Name": 1}], "Tenants": 3},
    {"Address": "nowhere", "Info": [], "Status": 1},
    {"Address": "127.0.0.1:99999", "born": "x", "Info": {"Slots": -1}},
)


@pytest.mark.parametrize(
    "kind", ["config", "servers", "evacuations", "mulberrydeck-vms"]
)
def test_malformed_objects_of_the_store_end_no_process(fleet, kind):
    pid = fleet.vms[VM].pid
    for number, spec in enumerate(MALFORMED_SPECS):
        name = "main" if kind == "config" else f"odd-{number}"
        fleet.store.put(kind, name, spec)
    added = steering_fleet.route(Name="new", PathPrefix="/new/")
    fleet.configure(90, Routes=[steering_fleet.route(), added])
    _wait_status(fleet, VM, "/new/1", 200)
    assert fleet.vms[VM].is_running()
    assert fleet.vms[VM].pid == pid
