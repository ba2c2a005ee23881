"""Deployments of real processes that the promise tests share."""

import pytest
import pytest_bdd

from standins import deployments
from standins import fleet
from standins import http_client
from standins import waiting


def wait_serving(running: fleet.Fleet) -> None:
    """Waits until every target is ready at one VM and all peers are heard."""
    waiting.until(lambda: is_serving(running), "the fleet serves")


def is_serving(running: fleet.Fleet) -> bool:
    """Returns whether all VMs agree and every target has an owner."""
    statuses = [
        running.status(name)
        for name, process in running.vms.items()
        if process.is_running()
    ]
    versions = {status["config_version"] for status in statuses}
    if len(versions) != 1 or 0 in versions:
        return False
    if not all(
        peer["alive"] for status in statuses for peer in status["peers"]
    ):
        return False
    owned = [
        target["name"]
        for status in statuses
        for target in status["targets"]
        if target["owned"] and target["state"] == "ready"
    ]
    declared = running.layout.deployment.document["targets"]
    return sorted(owned) == sorted(target["name"] for target in declared)


@pytest.fixture(name="running")
def fixture_running(tmp_path):
    """A small fleet that serves, of its own for one test."""
    with fleet.Fleet(deployments.small(), tmp_path) as started:
        started.start()
        started.apply()
        wait_serving(started)
        yield started


@pytest_bdd.given("a fleet that serves", target_fixture="scene")
def given_fleet(running):
    """Starts the fleet of a scenario."""
    return Scene(running)


class Scene:
    """What the steps of one scenario share.

    Attributes:
        fleet: The running deployment.
        keys: Keys of client accounts by name.
    """

    def __init__(self, running: fleet.Fleet):
        self.fleet = running
        self.keys: dict[str, str] = {}

    def key(self, account: str) -> str:
        """Returns a key of an account, issued when it is first needed."""
        if account not in self.keys:
            self.keys[account] = self.fleet.issue_key(account)
            self._wait_known(account)
        return self.keys[account]

    def _wait_known(self, account: str) -> None:
        for name, process in self.fleet.vms.items():
            if process.is_running():
                client = self.fleet.client(name, self.keys[account])
                waiting.until(
                    lambda client=client: is_accepted(client),
                    f"{name} knows the key of {account}",
                )


def is_accepted(client: http_client.Client) -> bool:
    """Returns whether a VM accepts the client's key."""
    match client.request("GET", "/v1/runs/none"):
        case http_client.Answer(status=status):
            return status != 401
    return False
