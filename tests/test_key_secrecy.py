"""Steps for the secrecy of callers' keys on the hops to VMs and to targets."""

import json

import pytest
import pytest_bdd

from standins import deployments
from standins import fleet
from standins import waiting
from tests import conftest

pytest_bdd.scenarios("features/key_secrecy.feature")

LEAVING_TARGET = "permits-west-a-1"
PATH = "/v1/services/permits/status"
RECEIVE_BYTES = 65536
KEY_FORMS = (
    ("Mulberrydeck-Key: {key}",),
    ("mulberrydeck-key:{key}",),
    ("MULBERRYDECK-KEY: {key}", "mulberrydeck-key: {key}"),
    ("Mulberrydeck-Key: {key}", "Mulberrydeck_Key: {key}"),
    ("Mulberrydeck-Key: {key}", "Authorization: Bearer {key}"),
    ("Mulberrydeck-Key: {key}", "Cookie: one=1; key={key}"),
    ("Mulberrydeck-Key: {key}", "X-Copy: <{key}>", "tracestate: k={key}"),
    ("Mulberrydeck-Key: {key}", "Connection: Mulberrydeck-Account"),
)


@pytest.fixture(name="traced_fleet")
def fixture_traced_fleet(tmp_path):
    settings = {"trace_path": str(tmp_path / "spans.jsonl")}
    options = fleet.Options(settings=settings)
    with fleet.Fleet(deployments.small(), tmp_path, options) as started:
        started.start()
        started.apply()
        conftest.wait_serving(started)
        yield started


@pytest_bdd.given("a fleet that writes traces", target_fixture="scene")
def given_traced(traced_fleet):
    return conftest.Scene(traced_fleet)


@pytest_bdd.given("a zone whose only target is leaving")
def given_leaving(scene):
    scene.fleet.stand_ins.change_target(LEAVING_TARGET, leaving=True)
    client = scene.fleet.client("west-a-vm1", scene.key("acme"))

    def relayed():
        response = client.request("GET", PATH)
        return (
            response.status == 200
            and response.json()["target"] != LEAVING_TARGET
        )

    waiting.until(relayed, "requests of the zone are relayed")


def send(scene, name, data):
    """Sends raw bytes to a VM and returns all bytes that it sends back."""
    client = scene.fleet.client(name)
    sock = client.open().sock
    sock.sendall(data.encode())
    received = b""
    while piece := sock.recv(RECEIVE_BYTES):
        received += piece
    client.close()
    return received


def send_within_rate(scene, name, data):
    """Sends raw bytes repeatedly until the account's rate allows them."""

    def allowed():
        received = send(scene, name, data)
        return None if received.startswith(b"HTTP/1.1 429 ") else received

    return waiting.until(allowed, "the rate allows the request")


def requests_with(key):
    """Yields raw requests with the key in every form."""
    for form in KEY_FORMS:
        lines = "\r\n".join(form).format(key=key)
        yield (
            f"GET {PATH} HTTP/1.1\r\nHost: vm\r\n{lines}\r\n"
            "Connection: close\r\n\r\n"
        )
    yield (
        f"POST {PATH} HTTP/1.1\r\nHost: vm\r\nMulberrydeck-Key: {key}\r\n"
        "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        f"2\r\nhi\r\n0\r\nMulberrydeck-Key: {key}\r\nX: {key}\r\n\r\n"
    )
    yield (
        f"GET {PATH}?key={key} HTTP/1.1\r\nHost: vm\r\n"
        f"Mulberrydeck-Key: {key}\r\nConnection: close\r\n\r\n"
    )


@pytest_bdd.when(
    "acme presents its key in every form to every VM",
    target_fixture="responses",
)
def when_presented(scene):
    key = scene.key("acme")
    received = []
    for name in scene.fleet.vms:
        *served, in_url = [
            send_within_rate(scene, name, data) for data in requests_with(key)
        ]
        for response in served:
            assert response.startswith(b"HTTP/1.1 200 "), response
        assert b"misplaced-key" in in_url
        received += [*served, in_url]
    return received


@pytest_bdd.then("no target has seen the key")
def then_unseen(responses, scene):
    secret = scene.key("acme").rpartition("_")[2]
    runs = scene.fleet.stand_ins.runs()
    assert len(runs) >= len(scene.fleet.vms) * (len(KEY_FORMS) + 1)
    for run in runs:
        assert secret not in run.path
        assert all(secret not in f"{n}{v}" for n, v in run.headers)
        assert run.account == "acme"


@pytest_bdd.then("no metric or response contains the key")
def then_not_in_responses(responses, scene):
    secret = scene.key("acme").rpartition("_")[2].encode()
    assert all(secret not in response for response in responses)
    data = "GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
    for name in scene.fleet.vms:
        metrics = send(scene, name, data)
        assert metrics.startswith(b"HTTP/1.1 200 ")
        assert secret not in metrics


@pytest_bdd.then(
    "logs and traces, which include relayed requests, do not contain the key"
)
def then_not_in_logs(responses, scene):
    secret = scene.key("acme").rpartition("_")[2]
    for name in list(scene.fleet.vms):
        assert scene.fleet.stop_vm(name) == 0
    text = (scene.fleet.group.directory / "spans.jsonl").read_text()
    spans = [json.loads(line) for line in text.splitlines()]
    attempts = {
        span["context"]["span_id"]
        for span in spans
        if span["kind"] == "SpanKind.CLIENT"
    }
    assert any(span["parent_id"] in attempts for span in spans)
    assert secret not in text
    for process in scene.fleet.vms.values():
        assert secret not in process.log()
