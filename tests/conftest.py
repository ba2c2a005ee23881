"""Fixtures and steps that the tests of whole deployments share."""

import collections
import collections.abc
import contextlib
import pathlib

import pytest
import pytest_bdd

from mulberrydeck.core import shares
from standins import deployments
from standins import fleet
from standins import http_client
from standins import waiting


def wait_serving(running: fleet.Fleet) -> None:
    """Waits until targets are ready and zones own all quota of accounts."""
    running.wait_serving()
    waiting.until(lambda: is_quota_owned(running), "all quota is owned")


def is_quota_owned(running: fleet.Fleet) -> bool:
    """Returns whether the zones together own all units of each account."""
    owned = collections.Counter()
    for status in running.statuses():
        for quota in status["quotas"]:
            if quota["resource"].startswith("account/"):
                owned[quota["resource"]] += quota["own_units"]
    return set(owned.values()) == {shares.UNITS_PER_BOUND}


@contextlib.contextmanager
def serving(
    deployment: deployments.Deployment,
    directory: pathlib.Path,
    options: fleet.Options | None = None,
) -> collections.abc.Iterator[fleet.Fleet]:
    """Runs a deployment that is ready to serve within a `with` block."""
    with fleet.Fleet(deployment, directory, options) as started:
        started.start()
        started.apply()
        wait_serving(started)
        yield started


@pytest.fixture(autouse=True)
def fixture_logs(tmp_path):
    """Makes the directory of logs known where evidence is kept.

    Fixtures that steps of scenarios request are unknown to the test itself.
    """
    return tmp_path


@pytest.fixture(name="running")
def fixture_running(tmp_path):
    """A small fleet that is ready to serve, started anew for each test."""
    with serving(deployments.small(), tmp_path) as started:
        yield started


@pytest_bdd.given("a fleet that serves", target_fixture="scene")
def given_fleet(running):
    """Starts the fleet of a scenario."""
    return Scene(running)


class Scene:
    """State that the steps of one scenario share.

    Attributes:
        fleet: The running deployment.
        keys: Key of each client account, by the account's name.
    """

    def __init__(self, running: fleet.Fleet):
        self.fleet = running
        self.keys: dict[str, str] = {}

    def key(self, account: str) -> str:
        """Returns the key of an account, and issues it at the first call."""
        if account not in self.keys:
            self.keys[account] = self.fleet.issue_key(account)
            self.wait_key_accepted(account)
        return self.keys[account]

    def wait_key_accepted(self, account: str) -> None:
        """Waits until every running VM accepts the account's key."""
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
        case http_client.Response(status=status):
            return status != 401
    return False
