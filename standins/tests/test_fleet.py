"""Example deployments, their subnets and the stand-ins of a fleet."""

import pytest

from mulberrydeck.model import loading
from standins import addresses
from standins import deployments
from standins import fleet
from standins import http_client


def test_example_deployments_have_the_expected_sizes():
    for deployment in (deployments.kilele(), deployments.gruber()):
        plans = deployment.vm_plans()
        assert len([plan for plan in plans if not plan.is_spare]) == 10
        assert len(deployment.zones) == 6
        assert len(deployment.targets) == 36
        assert len(deployment.document["accounts"]) == 8


@pytest.mark.parametrize("name", ["kilele", "gruber", "small"])
def test_examples_are_valid_configurations(name):
    path = deployments.EXAMPLES / f"{name}.toml"
    assert loading.load(path).targets


def test_reserved_subnets_are_distinct():
    first = addresses.reserve()
    second = addresses.reserve()
    assert first.prefix != second.prefix
    first.release()
    second.release()


def test_stand_ins_are_reached_through_the_fault_proxy(tmp_path):
    with fleet.Fleet(deployments.small(), tmp_path) as running:
        stand_ins = running.stand_ins
        stand_ins.start()
        settings = running.layout.vm_settings("east-a-vm1", "secret")
        platform = settings["platform_url"].removeprefix("http://")
        source_ip = settings["source_ip"]
        assert source_ip == running.layout.vm_ip("east-a-vm1")

        client = http_client.Client(platform, source_ip)
        assert client.request("GET", "/v1/vms").json() == []
        assert stand_ins.platform_counters()["by_source"] == {source_ip: 1}
        pairs = {
            (series["source"], series["destination"])
            for series in stand_ins.traffic()["series"]
        }
        assert pairs == {("east-a", "platform"), ("platform", "east-a")}

        stand_ins.isolate("east-a")
        response = client.request("GET", "/v1/vms")
        assert isinstance(response, http_client.NoResponse)
        stand_ins.heal()
        assert client.request("GET", "/v1/vms").status == 200

        stand_ins.change_target("permits-east-a-1", leaving=True)
        target = running.layout.deployment.targets[0]
        address = f"{target['host']}:{target['port']}"
        status = http_client.fetch(address, "/_target/status")
        assert status["leaving"]
        assert stand_ins.runs() == []
    assert not any(process.is_running() for process in running.group.processes)
