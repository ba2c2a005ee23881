"""Steps for link caps and for shifts of traffic between regions."""

import time

import attrs
import gevent
import pytest
import pytest_bdd
from pytest_bdd import parsers

from mulberrydeck.core import shares
from standins import deployments
from standins import http_client
from standins import traffic
from standins import verdicts
from standins import waiting
from tests import conftest
from tests import link_use

pytest_bdd.scenarios("features/links.feature")

SEED = 7
CAP_BYTES_PER_S = 400_000
TRANSFER_BYTES = 100_000
TRANSFERS_PER_S = 2 * CAP_BYTES_PER_S / TRANSFER_BYTES
OVERLOAD_RATE_PER_S = 45.0
WEST_SLOTS = 16
OVERLOAD_WORK_MS = 600.0
OVERLOAD_RESPONSE_BYTES = 12_000
SETTLING_S = 3.0
MAX_REFUSAL_LATENCY_S = 2.0
MAX_DETECTION_S = 5.0
DEADLINE_S = 2.0
REFUSAL_KINDS = ("no-capacity", "rate-limited")
REGIONS = ("east", "west")
EAST_ZONES = ("east-a", "east-b")
OPEN_PATH = "/v1/services/permits/notices"


def low_cap_deployment():
    """Returns the small deployment with low link caps and a larger west."""
    deployment = deployments.small()
    for link in deployment.document["links"]:
        link["cap_bytes_per_s"] = CAP_BYTES_PER_S
    for target in deployment.document["targets"]:
        if target["zone"] == "west-a":
            target["slots"] = WEST_SLOTS
    return deployment


@pytest.fixture(name="low_cap_fleet")
def fixture_low_cap_fleet(tmp_path):
    with conftest.serving(low_cap_deployment(), tmp_path) as started:
        yield started


@pytest_bdd.given(
    "a fleet with low link caps that serves", target_fixture="scene"
)
def given_low_caps(low_cap_fleet):
    scene = conftest.Scene(low_cap_fleet)
    scene.key("acme")
    return scene


def create_load(scene, zones):
    fleet = scene.fleet
    entry_addresses = [
        fleet.client(name).address
        for zone in zones
        for name in fleet.vms_in(zone)
    ]
    callers = [
        traffic.Callers(entry_addresses, fleet.layout.caller_ip(zone), number)
        for number, zone in enumerate(zones)
    ]
    return traffic.Load(callers, SEED)


def stream(scene, name, rate_per_s, **fields):
    key = scene.key("acme")
    return traffic.Stream(
        name, "acme", key, "permits", "/status", rate_per_s, **fields
    )


def targets_in(fleet, zones):
    return [
        target["name"]
        for target in fleet.layout.deployment.targets
        if target["zone"] in zones
    ]


@pytest_bdd.when(
    parsers.parse(
        "the east has no targets and sends twice its link caps for "
        "{duration_s:d} seconds"
    ),
    target_fixture="load",
)
def when_relayed(scene, duration_s):
    scene.fleet.run_checked("drain", *targets_in(scene.fleet, EAST_ZONES))
    scene.fleet.wait_all(
        lambda status: all(
            target["state"] == "draining"
            for target in status["targets"]
            if "east" in target["name"]
        ),
        "all targets of the east are draining",
    )
    load = create_load(scene, EAST_ZONES)
    down = stream(scene, "down", TRANSFERS_PER_S, response_bytes=TRANSFER_BYTES)
    up = stream(
        scene, "up", TRANSFERS_PER_S, method="POST", body_bytes=TRANSFER_BYTES
    )
    load.start(down, duration_s)
    load.start(up, duration_s)
    load.duration_s = duration_s
    return load


@pytest_bdd.when(
    parsers.parse(
        "callers offer more load than one region can serve for "
        "{duration_s:d} seconds"
    ),
    target_fixture="load",
)
def when_overloaded(scene, duration_s):
    load = create_load(scene, tuple(scene.fleet.layout.zone_numbers))
    overload = stream(
        scene,
        "busy",
        OVERLOAD_RATE_PER_S,
        work_ms=OVERLOAD_WORK_MS,
        response_bytes=OVERLOAD_RESPONSE_BYTES,
    )
    load.start(overload, duration_s)
    gevent.sleep(SETTLING_S)
    return load


@pytest_bdd.when("all targets of the east die")
def when_targets_die(scene, load):
    for zone in EAST_ZONES:
        scene.fleet.stand_ins.targets[zone].kill()
    load.died_s = time.monotonic()


@pytest_bdd.when("all VMs and targets of the east die")
def when_region_dies(scene, load):
    for zone in EAST_ZONES:
        scene.fleet.kill_zone(zone)
    load.died_s = time.monotonic()


@pytest_bdd.when(
    "a VM of the east is left without link quota and targets",
    target_fixture="vm_without_quota",
)
def when_no_quota(scene):
    fleet = scene.fleet
    fleet.stand_ins.add_rule("zone:platform", "any", cut=True)
    holder = fleet.status("east-a-vm1")["zone_holder"]
    fleet.kill_vm("east-b-vm1")
    fleet.kill_vm(holder)
    (vm_without_quota,) = fleet.vms_in("east-a")
    waiting.until(
        lambda: has_no_quota(fleet.status(vm_without_quota)), "no quota is held"
    )
    return vm_without_quota


def has_no_quota(status):
    """Returns whether a VM has no link quota or target and one live peer."""
    alive = [peer["name"] for peer in status["peers"] if peer["alive"]]
    units = [
        quota["own_units"] + quota["borrowed_units"]
        for quota in status["quotas"]
        if quota["resource"] == "link/east/west"
    ]
    owned = [target for target in status["targets"] if target["owned"]]
    return units == [0] and not owned and alive == ["west-a-vm1"]


@pytest_bdd.then(
    "a request that needs the link ends at its deadline as not run"
)
def then_ends(scene, vm_without_quota):
    deadline = {"Mulberrydeck-Deadline": str(DEADLINE_S)}
    client = scene.fleet.client(vm_without_quota)
    response = client.request("GET", OPEN_PATH, None, deadline)
    assert isinstance(response, http_client.Response), response
    assert response.status in (503, 504), response
    assert response.headers.get("mulberrydeck-ran") == "no", response
    assert response.latency_s < DEADLINE_S + MAX_REFUSAL_LATENCY_S


@pytest_bdd.then("the links stayed within their caps")
def then_capped(scene, load):
    load.finish()
    for source, destination in (REGIONS, REGIONS[::-1]):
        use = link_use.between(scene.fleet, source, destination)
        burst = CAP_BYTES_PER_S * shares.LINK_BURST_S
        over = link_use.excess_bytes(use, CAP_BYTES_PER_S, burst)
        assert over <= 0, f"{source} to {destination}: {over:.0f} bytes over"


@pytest_bdd.then(
    parsers.parse(
        "both links carried at least {percent:d} percent of their caps"
    )
)
def then_used(scene, load, percent):
    for source, destination in (REGIONS, REGIONS[::-1]):
        use = link_use.between(scene.fleet, source, destination)
        due = CAP_BYTES_PER_S * load.duration_s * percent / 100
        assert sum(use.values()) >= due, f"{source} to {destination}"


@pytest_bdd.then("every request got a complete response or a refusal")
def then_complete_or_refused(load):
    bad = [
        attrs.evolve(record, stream=None)
        for record in load.finish()
        if record.is_mismatched
        or not (record.status == 200 or record.status in (429, 503, 504))
    ]
    assert not bad, f"{len(bad)}: {bad[:5]}"


@pytest_bdd.then("no target ran more than its slots")
def then_slots(scene, load):
    load.finish()
    slots = {
        target["name"]: target["slots"]
        for target in scene.fleet.layout.deployment.targets
    }
    runs = scene.fleet.stand_ins.runs()
    over = [run for run in runs if run.concurrent > slots[run.target]]
    shed = [run for run in runs if run.outcome == verdicts.NOT_RUN]
    assert runs
    assert not over
    assert not shed, f"{len(shed)} sent to a full target"


@pytest_bdd.then("excess requests were refused at once and did not run")
def then_refused(scene, load):
    records = load.finish()
    refused = [record for record in records if record.kind in REFUSAL_KINDS]
    detected_s = load.died_s + MAX_DETECTION_S
    after_detection = [
        record for record in refused if record.due_s > detected_s
    ]
    ran = [record for record in after_detection if not record.not_run]
    assert after_detection
    assert not ran, f"{len(ran)} of {len(after_detection)} may have run"
    lost = [r for r in records if not r.status and r.due_s > detected_s]
    assert not lost, f"{len(lost)} got no response"
    slow = [
        r
        for r in refused
        if r.tries == 1 and r.latency_s > MAX_REFUSAL_LATENCY_S
    ]
    assert not slow, f"{len(slow)} of {len(refused)} waited"
    ids = {record.request_id for record in refused}
    assert not verdicts.false_refusals(scene.fleet.stand_ins.runs(), ids)
