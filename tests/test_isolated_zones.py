"""Steps for zones that are cut off from the platform or from each other."""

import time

import gevent
import pytest
import pytest_bdd
from pytest_bdd import parsers

from standins import deployments
from standins import fleet
from standins import http_client
from standins import layout
from standins import waiting
from tests import conftest

pytest_bdd.scenarios("features/isolated_zones.feature")

ACCOUNT = "acme"
KEYED_PATH = "/v1/services/permits/status"
OPEN_PATH = "/v1/services/permits/notices"
SINGLE_RUN_PATH = "/v1/services/permits/fees"
REQUEST_INTERVAL_S = 0.1
SAMPLE_INTERVAL_S = 0.1
WITHDRAWAL_S = 4.0


class Responses:
    """Sends requests of three kinds to one VM in turn and records responses.

    Attributes:
        keyed: Responses to requests with a key.
        open: Responses to requests that are open to all.
        single: Responses to requests of single runs.
    """

    def __init__(self, scene, vm, duration_s):
        self.keyed = []
        self.open = []
        self.single = []
        keyed = scene.fleet.client(vm, scene.key(ACCOUNT))
        end_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < end_s:
            number += 1
            self.keyed.append(keyed.request("GET", KEYED_PATH))
            self.open.append(keyed.request("GET", OPEN_PATH))
            headers = {"Mulberrydeck-Run-Id": f"alone-{number}"}
            response = keyed.request("POST", SINGLE_RUN_PATH, b"fee", headers)
            self.single.append(response)
            gevent.sleep(REQUEST_INTERVAL_S)


class Sampler:
    """Samples the versions in force on every VM in the background."""

    def __init__(self, scene):
        self.scene = scene
        self.versions_by_vm = {name: [] for name in scene.fleet.vms}
        self.greenlet = gevent.spawn(self.run)

    def run(self):
        while True:
            for name, versions in self.versions_by_vm.items():
                status = self.scene.fleet.status(name)
                versions.append(
                    (status["config_version"], status["keys_version"])
                )
            gevent.sleep(SAMPLE_INTERVAL_S)


@pytest.fixture(name="short_offline_fleet")
def fixture_short_offline_fleet(tmp_path):
    options = fleet.Options(settings={"keys_offline_s": 3.0})
    with fleet.Fleet(deployments.small(), tmp_path, options) as started:
        started.start()
        started.apply()
        conftest.wait_serving(started)
        yield started


@pytest_bdd.given(
    "a fleet whose VMs accept keys for 3 seconds when cut off",
    target_fixture="scene",
)
def given_short_offline(short_offline_fleet):
    scene = conftest.Scene(short_offline_fleet)
    scene.key(ACCOUNT)
    return scene


@pytest_bdd.when(
    parsers.parse(
        'the zone "{zone}" is cut off for {duration_s:d} seconds under load'
    ),
    target_fixture="cut_responses",
)
def when_cut_under_load(scene, zone, duration_s):
    scene.key(ACCOUNT)
    scene.fleet.stand_ins.isolate(zone)
    return Responses(scene, f"{zone}-vm1", duration_s)


@pytest_bdd.when(
    parsers.parse('the zone "{zone}" is cut off'), target_fixture="sampler"
)
def when_cut(scene, zone):
    scene.key(ACCOUNT)
    scene.fleet.stand_ins.isolate(zone)
    sampler = Sampler(scene)
    yield sampler
    sampler.greenlet.kill()


@pytest_bdd.when(
    parsers.parse('an operator drains "{target}" and withdraws a key')
)
def when_drained_and_withdrawn(scene, target):
    scene.fleet.run_checked("drain", target)
    key_id = scene.key(ACCOUNT).split("_")[1]
    scene.fleet.run_checked("key", "withdraw", key_id)


@pytest_bdd.when("the cut heals")
def when_healed(scene):
    scene.fleet.stand_ins.heal()


@pytest_bdd.when(
    parsers.parse('the platform refuses all calls and "{vm}" restarts')
)
def when_restarted(scene, vm):
    scene.key(ACCOUNT)
    scene.fleet.stand_ins.set_platform_faults(outage="refuse")
    scene.fleet.kill_vm(vm, unlist=False)
    scene.fleet.start_vm(vm)


@pytest_bdd.when(
    parsers.parse('"{vm}" is cut off from the platform but not from its peers'),
    target_fixture="connection",
)
def when_cut_from_platform(scene, vm):
    connection = scene.fleet.client(vm, scene.key(ACCOUNT))
    assert connection.request("GET", KEYED_PATH).status == 200
    scene.fleet.stand_ins.add_rule(
        f"name:{vm}", f"zone:{layout.PLATFORM}", cut=True
    )
    return connection


@pytest_bdd.when(
    parsers.parse('the key in use at "{vm}" is withdrawn'),
    target_fixture="withdrawn_s",
)
def when_withdrawn(scene, vm):
    key_id = scene.key(ACCOUNT).split("_")[1]
    scene.fleet.run_checked("key", "withdraw", key_id)
    return time.monotonic()


@pytest_bdd.then(
    parsers.parse('requests at "{vm}" were served from its own zone throughout')
)
def then_served(cut_responses, vm):
    statuses = [response.status for response in cut_responses.keyed]
    assert set(statuses) == {200}, statuses
    zone = vm.rpartition("-")[0]
    targets = {
        response.json()["target"] for response in cut_responses.keyed[-20:]
    }
    assert all(zone in name for name in targets)


@pytest_bdd.then(parsers.parse('single runs at "{vm}" were refused as not run'))
def then_single_refused(cut_responses, vm):
    for response in cut_responses.single:
        assert response.status == 503, vm
        assert response.headers["mulberrydeck-ran"] == "no"


@pytest_bdd.then(
    parsers.parse('open requests at "{vm}" were served throughout')
)
def then_open_served(cut_responses, vm):
    assert {response.status for response in cut_responses.open} == {200}, vm


@pytest_bdd.then("every VM applies the latest configuration and keyring")
def then_latest(scene):
    latest = {
        "config_version": scene.fleet.status("east-a-vm1")["config_version"],
        "keys_version": scene.fleet.status("east-a-vm1")["keys_version"],
    }
    scene.fleet.wait_all(
        lambda status: latest.items() <= status.items(),
        "the latest versions are in force",
    )


@pytest_bdd.then("no VM's versions ever decreased")
def then_non_decreasing(sampler):
    for name, versions in sampler.versions_by_vm.items():
        configs = [config for config, _ in versions]
        keyrings = [keyring for _, keyring in versions]
        assert configs == sorted(configs), name
        assert keyrings == sorted(keyrings), name


@pytest_bdd.then("the withdrawn key is refused by every VM")
def then_refused(scene):
    for name in scene.fleet.vms:
        client = scene.fleet.client(name, scene.key(ACCOUNT))
        response = client.request("GET", KEYED_PATH)
        assert response.json()["kind"] == "key-rejected", name


@pytest_bdd.then(parsers.parse('"{vm}" eventually refuses keys as "{kind}"'))
def then_stale(scene, vm, kind):
    client = scene.fleet.client(vm, scene.key(ACCOUNT))

    def refused():
        response = client.request("GET", KEYED_PATH)
        return response.status == 503 and response.json()["kind"] == kind

    waiting.until(refused, f"{vm} refuses keys")


@pytest_bdd.then(parsers.parse('open requests at "{vm}" are served'))
def then_open(scene, vm):
    assert scene.fleet.client(vm).request("GET", OPEN_PATH).status == 200


@pytest_bdd.then(parsers.parse('"{vm}" serves keyed requests again'))
def then_keyed_served(scene, vm):
    client = scene.fleet.client(vm, scene.key(ACCOUNT))
    waiting.until(
        lambda: client.request("GET", KEYED_PATH).status == 200,
        f"{vm} serves keyed requests",
    )


@pytest_bdd.then(
    parsers.parse('"{vm}" learns configuration and keys from its peers')
)
def then_learned(scene, vm):
    expected = scene.fleet.status("west-a-vm1")

    def learned():
        status = scene.fleet.status(vm)
        return all(
            status[name] == expected[name]
            for name in ("config_version", "keys_version")
        )

    waiting.until(learned, f"{vm} has the latest configuration and keys")


@pytest_bdd.then("all VMs serve keyed requests")
def then_all_serve(scene):
    for name in scene.fleet.vms:
        then_keyed_served(scene, name)


@pytest_bdd.then(
    parsers.parse(
        'the open connection at "{vm}" is refused within {bound_s:d} seconds'
    )
)
def then_refused_within(connection, withdrawn_s, vm, bound_s):
    def refused():
        sent_s = time.monotonic()
        response = connection.request("GET", KEYED_PATH)
        match response:
            case http_client.Response(status=401):
                return sent_s
        return None

    refused_s = waiting.until(refused, f"{vm} refuses the key")
    assert refused_s - withdrawn_s < bound_s
