"""Steps for complete responses under faulty targets and connections."""

import itertools

import gevent
import gevent.event
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
# The target needs 45 s for it, longer than any wait of the test.
ENDURING_BYTES = 100_000_000
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
        self.path = self.path_of(size_bytes, pace_ms)
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

    @staticmethod
    def path_of(size_bytes, pace_ms):
        query = f"bytes={size_bytes}&pace_ms={pace_ms}"
        return f"/v1/services/permits/status?{query}"

    def send_repeatedly(self, client):
        while self.active:
            self.results.append(self.send(client))
            gevent.sleep(PAUSE_S)

    def send(self, client):
        return self.send_to(client, self.path)

    def send_to(self, client, path, **options):
        request_id = f"ask-{next(self.numbers)}"
        headers = {"Mulberrydeck-Request-Id": request_id}
        response = client.request("GET", path, None, headers, **options)
        return request_id, response

    def send_enduring(self, vm, begun):
        """Requests a response that lasts until it is cut.

        Args:
            vm: Name of the VM.
            begun: Set when the head of the response has arrived.
        """

        def on_head(status):
            if status == 200:
                begun.set()

        client = self.scene.fleet.client(vm, self.scene.key("acme"))
        path = self.path_of(ENDURING_BYTES, BLOCK_PAUSE_MS)
        while not begun.is_set():
            result = self.send_to(client, path, on_head=on_head)
            self.results.append(result)
        return result

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
    for vm in sorted(scene.fleet.vms)[:3]:
        gevent.sleep(FAULT_AFTER_S)
        begun = gevent.event.Event()
        enduring = gevent.spawn(callers.send_enduring, vm, begun)
        assert begun.wait(waiting.WAIT_TIMEOUT_S)
        with scene.fleet.stand_ins.rule(
            "any", "any", kinds=("target",), cut=True
        ):
            gevent.sleep(PAUSE_S)
        _, result = enduring.get(timeout=waiting.WAIT_TIMEOUT_S)
        assert isinstance(result, http_client.NoResponse), result
    callers.finish()
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
