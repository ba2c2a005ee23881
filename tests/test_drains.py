"""Steps for drains of targets and planned stops of VMs."""

import collections
import hashlib
import time

import gevent
import pytest_bdd
from pytest_bdd import parsers

from standins import http_client
from standins import traffic
from standins import verdicts
from standins import waiting
from standins.target import responses

pytest_bdd.scenarios("features/drains.feature")

SEED = 5
RATE_PER_S = 20.0
SETTLING_S = 2.0
OBSERVATION_S = 2.0
UPLOAD_BLOCK = b"u" * 4096
BLOCKS = 45
BLOCK_INTERVAL_S = 0.2
DOWNLOAD_BYTES = BLOCKS * responses.BLOCK_BYTES
PATH = "/v1/services/permits/status"


class Transfers:
    """Long uploads and downloads, each on its own connection."""

    def __init__(self, scene, vms):
        self.key = scene.key("acme")
        self.scene = scene
        self.greenlets = {}
        for vm in vms:
            self.start(f"down-{vm}", vm, self.download)
            self.start(f"up-{vm}", vm, self.upload)

    def start(self, request_id, vm, transfer):
        client = self.scene.fleet.client(vm, self.key)
        self.greenlets[request_id] = gevent.spawn(transfer, client, request_id)

    def download(self, client, request_id):
        query = f"?bytes={DOWNLOAD_BYTES}&pace_ms={1000 * BLOCK_INTERVAL_S}"
        headers = {"Mulberrydeck-Request-Id": request_id}
        response = client.request("GET", PATH + query, None, headers)
        assert isinstance(response, http_client.Response), response
        assert response.body == responses.body(request_id, DOWNLOAD_BYTES)

    def upload(self, client, request_id):
        headers = {"Mulberrydeck-Request-Id": request_id}
        response = client.request("POST", PATH, slow_blocks(), headers)
        assert isinstance(response, http_client.Response), response
        digest = hashlib.sha256(UPLOAD_BLOCK * BLOCKS).hexdigest()
        assert response.json()["received_sha256"] == digest

    def running_at(self, target):
        runs = self.scene.fleet.stand_ins.runs_of(target)
        return {
            run.request_id for run in runs if run.outcome == "running"
        } & set(self.greenlets)


def slow_blocks():
    for _ in range(BLOCKS):
        yield UPLOAD_BLOCK
        gevent.sleep(BLOCK_INTERVAL_S)


def owned_target(fleet, vm):
    owned = [t["name"] for t in fleet.status(vm)["targets"] if t["owned"]]
    return owned[0]


def busiest_target(fleet, zone):
    counts = collections.Counter(
        run.target
        for run in fleet.stand_ins.runs()
        if run.target.startswith(f"permits-{zone}-")
    )
    return max(counts, key=counts.get)


def state_of(fleet, vm, name):
    targets = fleet.status(vm)["targets"]
    return {target["name"]: target["state"] for target in targets}[name]


@pytest_bdd.given(
    parsers.parse("all targets of the east are drained but one that {vm} owns")
)
def given_one_target(scene, vm):
    sole_target = owned_target(scene.fleet, vm)
    names = [
        target["name"]
        for target in scene.fleet.layout.deployment.targets
        if target["zone"].startswith("east") and target["name"] != sole_target
    ]
    scene.fleet.run_checked("drain", *names)
    for name in names:
        zone = name.removeprefix("permits-")[:6]
        waiting.until(
            lambda name=name, zone=zone: (
                state_of(scene.fleet, f"{zone}-vm1", name) == "draining"
            ),
            f"{name} is draining",
        )
    scene.target = sole_target


@pytest_bdd.when(
    parsers.parse("callers choose VMs by lookup for {duration_s:d} seconds"),
    target_fixture="load",
)
def when_callers(scene, duration_s):
    fleet = scene.fleet
    entry_addresses = [fleet.client(name).address for name in fleet.vms]
    callers = [
        traffic.Callers(entry_addresses, fleet.layout.caller_ip(zone), number)
        for number, zone in enumerate(fleet.layout.zone_numbers)
    ]
    load = traffic.Load(callers, SEED)
    key = scene.key("acme")
    stream = traffic.Stream(
        "calls", "acme", key, "permits", "/status", RATE_PER_S
    )
    load.start(stream, duration_s)
    gevent.sleep(SETTLING_S)
    return load


@pytest_bdd.when(
    parsers.re(r"an operator drains the busiest target of east-a(?P<more>.*)"),
    target_fixture="leaving",
)
def when_drained(scene, more):
    name = busiest_target(scene.fleet, "east-a")
    scene.fleet.run_checked("drain", name, *more.split(" and ")[1:])
    return name, time.monotonic()


@pytest_bdd.when(
    parsers.parse("the busiest target of {zone} reports that it is leaving"),
    target_fixture="leaving",
)
def when_leaves(scene, zone):
    name = busiest_target(scene.fleet, zone)
    scene.fleet.stand_ins.change_target(name, leaving=True)
    return name, time.monotonic()


@pytest_bdd.when(
    parsers.parse("long transfers pass through {vm}"),
    target_fixture="transfers",
)
def when_transfers(scene, vm):
    started = Transfers(scene, [vm, "east-a-vm1"])
    waiting.until(
        lambda: started.running_at(scene.target) == set(started.greenlets),
        f"all transfers run at {scene.target}",
    )
    return started


@pytest_bdd.when(
    parsers.parse("{vm} is told to stop"), target_fixture="stopping"
)
def when_stopped(scene, vm):
    return gevent.spawn(scene.fleet.stop_vm, vm)


@pytest_bdd.when(parsers.parse("{zone} is cut off"))
def when_cut(scene, zone):
    scene.fleet.stand_ins.isolate(zone)


@pytest_bdd.when("the cut heals", target_fixture="healed_s")
def when_heals(scene):
    scene.fleet.stand_ins.heal()
    return time.monotonic()


@pytest_bdd.then(
    parsers.parse(
        "that target gets no new work later than {bound_s:d} seconds after it "
        "leaves"
    )
)
def then_no_work(scene, leaving, bound_s):
    name, leaving_s = leaving
    gevent.sleep(
        max(0.0, leaving_s + bound_s + OBSERVATION_S - time.monotonic())
    )
    runs = scene.fleet.stand_ins.runs_of(name)
    assert any(run.start_s < leaving_s for run in runs), "no requests before"
    late = verdicts.work_after(runs, name, leaving_s + bound_s)
    assert not late, f"{len(late)} requests later than {bound_s} s"


@pytest_bdd.then(
    parsers.parse(
        "{name} gets no new work later than {bound_s:d} seconds after the cut "
        "healed"
    )
)
def then_no_work_healed(scene, healed_s, name, bound_s):
    then_no_work(scene, (name, healed_s), bound_s)


@pytest_bdd.then(
    parsers.parse("lookups at other VMs omit {vm} while it still serves")
)
def then_omitted(scene, vm):
    address = scene.fleet.client(vm).address

    def is_listed():
        for name in scene.fleet.vms:
            if name == vm:
                continue
            client = scene.fleet.client(name)
            response = client.request("GET", "/v1/lookup?service=permits")
            if address in [
                entry["address"] for entry in response.json()["vms"]
            ]:
                return True
        return False

    waiting.until(lambda: not is_listed(), f"lookups omit {vm}")
    key = scene.key("acme")
    response = scene.fleet.client(vm, key).request("GET", PATH)
    assert getattr(response, "status", 0) == 200, response


@pytest_bdd.then(parsers.parse("{vm} ends with exit code 0"))
def then_exits(stopping, vm):
    assert stopping.get() == 0, vm


@pytest_bdd.then("every long transfer completed")
def then_completed(transfers):
    gevent.joinall(transfers.greenlets.values(), raise_error=True)


@pytest_bdd.then("every request was served")
def then_served(load):
    records = load.finish()
    failed = [
        (record.request_id, record.kind, record.status)
        for record in records
        if record.status != 200 or record.is_mismatched
    ]
    assert not failed, f"{len(failed)} of {len(records)}: {failed[:9]}"


@pytest_bdd.then("no caller had to try another VM")
def then_first_try(load):
    retried = [record for record in load.finish() if record.tries > 1]
    assert not retried, f"{len(retried)} of {len(load.records)} were retried"
