"""Steps of zones that are cut off from the platform or from each other."""

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
KEYED = "/v1/services/permits/status"
OPEN = "/v1/services/permits/notices"
FEES = "/v1/services/permits/fees"
PAUSE_S = 0.1
SAMPLE_S = 0.1
WITHDRAWAL_S = 4.0


class Visit:
    """Requests of three kinds, repeated at one VM during a cut."""

    def __init__(self, scene, vm, duration_s):
        self.keyed = []
        self.open = []
        self.single = []
        keyed = scene.fleet.client(vm, scene.key(ACCOUNT))
        until_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < until_s:
            number += 1
            self.keyed.append(keyed.request("GET", KEYED))
            self.open.append(keyed.request("GET", OPEN))
            headers = {"Mulberrydeck-Run-Id": f"alone-{number}"}
            answer = keyed.request("POST", FEES, b"fee", headers)
            self.single.append(answer)
            gevent.sleep(PAUSE_S)


class Sampler:
    """Reads the versions in force on every VM again and again."""

    def __init__(self, scene):
        self.scene = scene
        self.seen = {name: [] for name in scene.fleet.vms}
        self.greenlet = gevent.spawn(self.run)

    def run(self):
        while True:
            for name, versions in self.seen.items():
                status = self.scene.fleet.status(name)
                versions.append(
                    (status["config_version"], status["keys_version"])
                )
            gevent.sleep(SAMPLE_S)


@pytest.fixture(name="strict")
def fixture_strict(tmp_path):
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
def given_strict(strict):
    scene = conftest.Scene(strict)
    scene.key(ACCOUNT)
    return scene


@pytest_bdd.when(
    parsers.parse(
        'the zone "{zone}" is cut off for {duration_s:d} seconds under load'
    ),
    target_fixture="visit",
)
def when_cut_under_load(scene, zone, duration_s):
    scene.key(ACCOUNT)
    scene.fleet.surroundings.isolate(zone)
    return Visit(scene, f"{zone}-vm1", duration_s)


@pytest_bdd.when(
    parsers.parse('the zone "{zone}" is cut off'), target_fixture="sampler"
)
def when_cut(scene, zone):
    scene.key(ACCOUNT)
    scene.fleet.surroundings.isolate(zone)
    sampler = Sampler(scene)
    yield sampler
    sampler.greenlet.kill()


@pytest_bdd.when(
    parsers.parse('an operator drains "{target}" and withdraws a key')
)
def when_operated(scene, target):
    scene.fleet.must("drain", target)
    key_id = scene.key(ACCOUNT).split("_")[1]
    scene.fleet.must("key", "withdraw", key_id)


@pytest_bdd.when("the cut heals")
def when_healed(scene):
    scene.fleet.surroundings.heal()


@pytest_bdd.when(
    parsers.parse('the platform refuses all calls and "{vm}" restarts')
)
def when_restarted(scene, vm):
    scene.key(ACCOUNT)
    scene.fleet.surroundings.set_platform_faults(outage="refuse")
    scene.fleet.kill_vm(vm, unlist=False)
    scene.fleet.start_vm(vm)


@pytest_bdd.when(
    parsers.parse('"{vm}" loses the platform but not its peers'),
    target_fixture="connection",
)
def when_link_lost(scene, vm):
    connection = scene.fleet.client(vm, scene.key(ACCOUNT))
    assert connection.request("GET", KEYED).status == 200
    scene.fleet.surroundings.add_rule(
        f"name:{vm}", f"zone:{layout.PLATFORM}", cut=True
    )
    return connection


@pytest_bdd.when(
    parsers.parse('the key in use at "{vm}" is withdrawn'),
    target_fixture="withdrawn_s",
)
def when_withdrawn(scene, vm):
    key_id = scene.key(ACCOUNT).split("_")[1]
    scene.fleet.must("key", "withdraw", key_id)
    return time.monotonic()


@pytest_bdd.then(
    parsers.parse('requests at "{vm}" were served from its own zone throughout')
)
def then_served(visit, vm):
    statuses = [each.status for each in visit.keyed]
    assert set(statuses) == {200}, statuses
    zone = vm.rpartition("-")[0]
    targets = {each.json()["target"] for each in visit.keyed[-20:]}
    assert all(zone in name for name in targets)


@pytest_bdd.then(parsers.parse('single runs at "{vm}" were refused as not run'))
def then_single_refused(visit, vm):
    for answer in visit.single:
        assert answer.status == 503, vm
        assert answer.headers["mulberrydeck-ran"] == "no"


@pytest_bdd.then(
    parsers.parse('open requests at "{vm}" were served throughout')
)
def then_open_served(visit, vm):
    assert {each.status for each in visit.open} == {200}, vm


@pytest_bdd.then("every VM applies the latest configuration and keyring")
def then_latest(scene):
    latest = {
        "config_version": scene.fleet.status("east-a-vm1")["config_version"],
        "keys_version": scene.fleet.status("east-a-vm1")["keys_version"],
    }
    scene.fleet.wait_all(
        lambda status: latest.items() <= status.items(),
        "the latest versions apply",
    )


@pytest_bdd.then("no VM's versions ever fell")
def then_monotone(sampler):
    for name, versions in sampler.seen.items():
        configs = [config for config, _ in versions]
        keyrings = [keyring for _, keyring in versions]
        assert configs == sorted(configs), name
        assert keyrings == sorted(keyrings), name


@pytest_bdd.then("the withdrawn key is refused by every VM")
def then_refused(scene):
    for name in scene.fleet.vms:
        client = scene.fleet.client(name, scene.key(ACCOUNT))
        answer = client.request("GET", KEYED)
        assert answer.json()["kind"] == "key-rejected", name


@pytest_bdd.then(parsers.parse('"{vm}" refuses keys as "{kind}" in the end'))
def then_stale(scene, vm, kind):
    client = scene.fleet.client(vm, scene.key(ACCOUNT))

    def refused():
        answer = client.request("GET", KEYED)
        return answer.status == 503 and answer.json()["kind"] == kind

    waiting.until(refused, f"{vm} refuses keys")


@pytest_bdd.then(parsers.parse('open requests at "{vm}" are served'))
def then_open(scene, vm):
    assert scene.fleet.client(vm).request("GET", OPEN).status == 200


@pytest_bdd.then(parsers.parse('"{vm}" serves keyed requests again'))
def then_again(scene, vm):
    client = scene.fleet.client(vm, scene.key(ACCOUNT))
    waiting.until(
        lambda: client.request("GET", KEYED).status == 200, f"{vm} serves"
    )


@pytest_bdd.then(
    parsers.parse('"{vm}" learns configuration and keys from its peers')
)
def then_learned(scene, vm):
    wanted = scene.fleet.status("west-a-vm1")

    def learned():
        status = scene.fleet.status(vm)
        return all(
            status[name] == wanted[name]
            for name in ("config_version", "keys_version")
        )

    waiting.until(learned, f"{vm} has learned the documents")


@pytest_bdd.then("all VMs serve keyed requests")
def then_all_serve(scene):
    for name in scene.fleet.vms:
        then_again(scene, name)


@pytest_bdd.then(
    parsers.parse(
        'the open connection at "{vm}" is refused within {bound_s:d} seconds'
    )
)
def then_stopped(connection, withdrawn_s, vm, bound_s):
    def refused():
        asked_s = time.monotonic()
        answer = connection.request("GET", KEYED)
        match answer:
            case http_client.Response(status=401):
                return asked_s
        return None

    refused_s = waiting.until(refused, f"{vm} refuses the key")
    assert refused_s - withdrawn_s < bound_s
