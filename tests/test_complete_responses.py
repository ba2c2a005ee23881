"""Steps for complete responses under faulty targets and connections."""

import itertools

import gevent
import pytest
import pytest_bdd
from pytest_bdd import parsers

from standins import deployments
from standins import fleet
from standins import http_client
from standins import verdicts
from standins import waiting
from standins.target import responses
from tests import conftest

pytest_bdd.scenarios("features/complete_responses.feature")

FAULTY = "permits-east-a-1"
SMALL_BYTES = 9_000
LARGE_BYTES = 2_000_000
BLOCK_PAUSE_MS = 30
PAUSE_S = 0.05
FAULT_AFTER_S = 1.0
FREEZE_S = 1.5
MAX_RECOVERY_S = 10.0
FAULTS = {
    "go silent": {"silence_existing": True},
    "are cut": {"cut": True},
    "freeze and resume": {"freeze": True},
}


class Callers:
    """Callers at every VM that repeat a request and record each response."""

    def __init__(self, scene, size_bytes, pace_ms=0):
        self.scene = scene
        query = f"bytes={size_bytes}&pace_ms={pace_ms}"
        self.path = f"/v1/services/permits/status?{query}"
        self.size_bytes = size_bytes
        self.numbers = itertools.count(1)
        self.results = []
        self.active = True
        key = scene.key("acme")
        self.greenlets = [
            gevent.spawn(self.send_repeatedly, scene.fleet.client(name, key))
            for name in scene.fleet.vms
            for _ in range(2)
        ]

    def send_repeatedly(self, client):
        while self.active:
            self.results.append(self.send(client))
            gevent.sleep(PAUSE_S)

    def send(self, client):
        request_id = f"ask-{next(self.numbers)}"
        headers = {"Mulberrydeck-Request-Id": request_id}
        return request_id, client.request("GET", self.path, None, headers)

    def finish(self):
        self.active = False
        gevent.joinall(self.greenlets, raise_error=True)

    def expected(self, request_id):
        return responses.body(request_id, self.size_bytes)


@pytest.fixture(name="short_timeout_fleet")
def fixture_short_timeout_fleet(tmp_path):
    options = fleet.Options(settings={"idle_timeout_s": 1.0})
    with conftest.serving(deployments.small(), tmp_path, options) as started:
        yield started


@pytest_bdd.given(
    "a fleet with an idle timeout of 1 second", target_fixture="scene"
)
def given_short_timeout(short_timeout_fleet):
    return conftest.Scene(short_timeout_fleet)


@pytest_bdd.when(
    parsers.re(
        r"a target has the fault (?P<fault>\w+) while callers send requests "
        r"for (?P<duration_s>\d+) seconds"
    ),
    target_fixture="callers",
)
def when_target_breaks(scene, fault, duration_s):
    callers = Callers(scene, SMALL_BYTES)
    gevent.sleep(FAULT_AFTER_S)
    scene.fleet.stand_ins.change_target(FAULTY, fault=fault)
    gevent.sleep(float(duration_s) - FAULT_AFTER_S)
    scene.fleet.stand_ins.change_target(FAULTY, fault="")
    callers.finish()
    runs = scene.fleet.stand_ins.runs_of(FAULTY)
    # A run that hangs has no outcome yet.
    assert any(run.outcome in (fault, "running") for run in runs)
    return callers


@pytest_bdd.when(
    parsers.re(
        r"(?P<kind>target|relay) connections (?P<fault>.+) while callers send "
        r"requests for (?P<duration_s>\d+) seconds"
    ),
    target_fixture="callers",
)
def when_connections_break(scene, kind, fault, duration_s):
    callers = Callers(scene, SMALL_BYTES)
    gevent.sleep(FAULT_AFTER_S)
    rule = scene.fleet.stand_ins.rule(
        "any", "any", kinds=(kind,), **FAULTS[fault]
    )
    with rule:
        gevent.sleep(FREEZE_S)
    gevent.sleep(float(duration_s) - FAULT_AFTER_S - FREEZE_S)
    callers.finish()
    return callers


@pytest_bdd.when(
    "target connections are cut while callers request large responses",
    target_fixture="callers",
)
def when_large_are_cut(scene):
    callers = Callers(scene, LARGE_BYTES, BLOCK_PAUSE_MS)
    for _ in range(3):
        gevent.sleep(FAULT_AFTER_S)
        with scene.fleet.stand_ins.rule(
            "any", "any", kinds=("target",), cut=True
        ):
            gevent.sleep(PAUSE_S)
    callers.finish()
    assert any(
        isinstance(result, http_client.NoResponse)
        for _, result in callers.results
    )
    return callers


@pytest_bdd.then("every complete response belongs to its request")
def then_matching(callers):
    complete = [
        (request_id, response)
        for request_id, response in callers.results
        if isinstance(response, http_client.Response) and response.status == 200
    ]
    assert complete
    for request_id, response in complete:
        assert response.body == callers.expected(request_id), request_id


@pytest_bdd.then("every refusal reports correctly whether the request ran")
def then_true_refusals(scene, callers):
    runs = verdicts.ran(scene.fleet.stand_ins.runs())
    ran = {run.request_id for run in runs}
    for request_id, response in callers.results:
        if (
            isinstance(response, http_client.NoResponse)
            or response.status == 200
        ):
            continue
        problem = response.json()
        assert problem["ran"] in ("no", "unknown")
        if problem["ran"] == "no":
            assert request_id not in ran, problem


@pytest_bdd.then(
    parsers.parse("at least {percent:d} percent of the responses were complete")
)
def then_mostly_complete(callers, percent):
    complete = [
        response
        for _, response in callers.results
        if isinstance(response, http_client.Response) and response.status == 200
    ]
    assert len(complete) * 100 >= percent * len(callers.results)


@pytest_bdd.then("every VM responds again")
def then_recovered(scene, callers):
    for name in scene.fleet.vms:
        client = scene.fleet.client(name, scene.key("acme"))
        waiting.until(
            lambda client=client: callers.send(client)[1].status == 200,
            f"{name} responds",
            MAX_RECOVERY_S,
        )
