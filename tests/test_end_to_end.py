"""The whole path: configuration, key, look-up, request, answer."""

import pytest

from standins import deployments
from standins import fleet
from standins import waiting


@pytest.fixture(name="running", scope="module")
def fixture_running(tmp_path_factory):
    directory = tmp_path_factory.mktemp("whole-path")
    with fleet.Fleet(deployments.small(), directory) as started:
        started.start()
        started.apply()
        yield started


def wait_served(client, path):
    """Waits until a request is answered with 200 and returns the answer."""

    def served():
        answer = client.request("GET", path)
        return answer if answer.status == 200 else None

    return waiting.until(served, f"{path} is served")


def test_keyed_request_is_answered_by_a_target(running):
    key = running.issue_key("acme")
    client = running.client("east-a-vm1", key)
    answer = wait_served(client, "/v1/services/permits/status")
    assert answer.json()["account"] == "acme"
    assert answer.json()["target"].startswith("permits-east-a")


def test_request_without_a_key_is_refused_as_not_run(running):
    client = running.client("east-a-vm1")
    answer = client.request("GET", "/v1/services/permits/status")
    assert answer.status == 401
    assert answer.json()["kind"] == "key-missing"
    assert answer.json()["ran"] == "no"


def test_lookup_names_the_entry_vms_of_the_nearest_zone_first(running):
    client = running.client("west-a-vm1")

    def all_named():
        answer = client.request("GET", "/v1/lookup?service=permits")
        vms = answer.json()["vms"]
        return vms if len(vms) == 4 else None

    vms = waiting.until(all_named, "all VMs are in the look-up answer")
    assert vms[0]["name"] == "west-a-vm1"


def test_every_vm_reports_the_same_configuration_version(running):
    running.wait_all(
        lambda status: all(
            peer["config_version"] == status["config_version"] > 0
            for peer in status["peers"]
        ),
        "all peers report the same configuration version",
    )
