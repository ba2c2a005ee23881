"""A VM that dies is replaced by a new one of its zone."""

from standins import deployments
from standins import fleet
from standins import waiting


def test_lookup_names_the_replacement_in_place_of_the_dead_vm(tmp_path):
    with fleet.Fleet(deployments.small(), tmp_path) as running:
        running.start()
        running.apply()
        running.wait_serving()
        replacement = running.replace_vm("east-b-vm1")
        assert replacement == "east-b-vm2"
        client = running.client("east-a-vm1")

        def names():
            response = client.request("GET", "/v1/lookup?service=permits")
            return {vm["name"] for vm in response.json()["vms"]}

        expected = {"east-a-vm1", "east-a-vm2", replacement, "west-a-vm1"}
        waiting.until(lambda: names() == expected, "the replacement is named")
