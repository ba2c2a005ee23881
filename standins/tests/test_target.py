"""The target stand-in follows its published protocol, with its faults."""

import gevent
import pytest

from standins import http_client
from standins.target import responses


def test_status_and_receipt(target):
    status = http_client.fetch(target.address, "/_target/status")
    assert status == {"healthy": True, "leaving": False, "slots": 2, "used": 0}
    headers = {"Mulberrydeck-Request-Id": "r1", "Mulberrydeck-Account": "a"}
    receipt = target.request("POST", "/fee", b"body", headers).json()
    assert receipt["request_id"] == "r1"
    assert receipt["received_bytes"] == 4
    [run] = http_client.fetch(target.address, "/_control/runs")
    assert (run["outcome"], run["account"], run["path"]) == (
        "done",
        "a",
        "/fee",
    )


def test_response_has_the_requested_size(target):
    headers = {"Mulberrydeck-Request-Id": "r1"}
    response = target.request("GET", "/?bytes=200000", None, headers)
    assert response.body == responses.body("r1", 200_000)


def test_sheds_when_slots_are_full(target):
    running = [
        gevent.spawn(http_client.call, target.address, "GET", "/?work_ms=200")
        for _ in range(2)
    ]
    while http_client.fetch(target.address, "/_target/status")["used"] < 2:
        gevent.sleep(0.001)
    shed = target.request("GET", "/")
    assert (shed.status, shed.headers["mulberrydeck-ran"]) == (503, "no")
    assert {request.get().status for request in running} == {200}
    runs = http_client.fetch(target.address, "/_control/runs")
    assert [run["outcome"] for run in runs].count("shed") == 1


def test_closing_the_connection_frees_the_slot(target):
    client = http_client.Client(target.address, timeout_s=0.05)
    assert isinstance(
        client.request("GET", "/?work_ms=60000"), http_client.NoResponse
    )
    while http_client.fetch(target.address, "/_target/status")["used"]:
        gevent.sleep(0.001)
    [run] = http_client.fetch(target.address, "/_control/runs")
    assert run["outcome"] == "cancelled"


def test_deadline_ends_the_work(target):
    headers = {"Mulberrydeck-Deadline": "0.01"}
    response = target.request("GET", "/?work_ms=60000", None, headers)
    assert response.status == 504


@pytest.mark.parametrize("fault", ["reset", "truncate"])
@pytest.mark.parametrize("query", ["", "&chunked=1"])
def test_faulty_response_is_never_complete(target, fault, query):
    change = {"fault": fault, "fault_count": 1}
    http_client.post(target.address, "/_control", change)
    path = f"/?bytes=100000{query}"
    assert isinstance(target.request("GET", path), http_client.NoResponse)
    assert len(target.request("GET", path).body) == 100_000


def test_failures_follow_the_seed(target):
    change = {"fail_ratio": 0.5, "seed": 7}
    seen = []
    for _ in range(2):
        http_client.post(target.address, "/_control", {"seed": 0})
        http_client.post(target.address, "/_control", change)
        statuses = [target.request("GET", "/").status for _ in range(20)]
        seen.append(statuses)
    assert seen[0] == seen[1]
    assert set(seen[0]) == {200, 500}


def test_reported_status_can_differ_from_the_actual_one(target):
    change = {"report_healthy": False, "report_used": 9, "leaving": True}
    http_client.post(target.address, "/_control", change)
    status = http_client.fetch(target.address, "/_target/status")
    assert status == {"healthy": False, "leaving": True, "slots": 2, "used": 9}
