"""End to end: configuration, key, lookup, request and response."""

import pytest

from standins import deployments
from standins import fleet
from standins import waiting


@pytest.fixture(name="running", scope="module")
def fixture_running(tmp_path_factory):
    directory = tmp_path_factory.mktemp("end-to-end")
    with fleet.Fleet(deployments.small(), directory) as started:
        started.start()
        started.apply()
        yield started


def wait_until_served(client, path):
    """Waits until a request gets status 200 and returns the response."""

    def served():
        response = client.request("GET", path)
        return response if response.status == 200 else None

    return waiting.until(served, f"{path} is served")


def test_keyed_request_gets_the_response_of_a_target(running):
    key = running.issue_key("acme")
    client = running.client("east-a-vm1", key)
    response = wait_until_served(client, "/v1/services/permits/status")
    assert response.json()["account"] == "acme"
    assert response.json()["target"].startswith("permits-east-a")


def test_request_without_a_key_is_refused_as_not_run(running):
    client = running.client("east-a-vm1")
    response = client.request("GET", "/v1/services/permits/status")
    assert response.status == 401
    assert response.json()["kind"] == "key-missing"
    assert response.json()["ran"] == "no"


def test_lookup_names_the_entry_vms_of_the_nearest_zone_first(running):
    client = running.client("west-a-vm1")

    def all_named():
        response = client.request("GET", "/v1/lookup?service=permits")
        vms = response.json()["vms"]
        return vms if len(vms) == 4 else None

    vms = waiting.until(all_named, "all VMs are in the lookup response")
    assert vms[0]["name"] == "west-a-vm1"


def test_every_vm_reports_the_same_configuration_version(running):
    running.wait_all(
        lambda status: all(
            peer["config_version"] == status["config_version"] > 0
            for peer in status["peers"]
        ),
        "all peers report the same configuration version",
    )
