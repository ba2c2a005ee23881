"""Steps for requests that may run at most once."""

import collections
import itertools

import gevent
import gevent.pool
import pytest
import pytest_bdd
from pytest_bdd import parsers

from standins import http_client
from standins import verdicts
from standins import waiting

pytest_bdd.scenarios("features/single_runs.feature")

ACCOUNT = "acme"
PATH = "/v1/services/permits/fees"
RUN_ID = "fee-1"
LONG_WORK_MS = 4000
FEE_COUNT = 240
FEES_PER_S = 20.0
MAX_TRIES = 3
FAULT_INTERVAL_S = 2.0
FREEZE_S = 1.5


class FeePayer:
    """Pays fees and records the responses.

    Attributes:
        scene: The scenario's fleet and keys.
        responses: Responses in the order of the payments.
    """

    def __init__(self, scene):
        self.scene = scene
        self.key = scene.key(ACCOUNT)
        self.responses = []

    def pay(self, vm, run_id=RUN_ID, work_ms=20):
        client = self.scene.fleet.client(vm, self.key, timeout_s=12.0)
        headers = {"Mulberrydeck-Run-Id": run_id}
        path = f"{PATH}?work_ms={work_ms}"
        response = client.request("POST", path, b"fee", headers)
        client.close()
        return response

    def runs(self, run_id=RUN_ID):
        """Returns the runs of a fee, as targets logged them."""
        logged = verdicts.ran(self.scene.fleet.stand_ins.runs())
        return [run for run in logged if run.run_id == run_id]

    def is_running(self):
        return any(run.outcome == "running" for run in self.runs())


@pytest.fixture(name="fee_payer")
def fixture_fee_payer(scene):
    return FeePayer(scene)


@pytest_bdd.given("every target drops the connection of its next request")
def given_resets(scene):
    break_next_run(scene, "reset")


@pytest_bdd.given("every target responds to its next run with 503")
def given_unavailable(scene):
    break_next_run(scene, "unavailable")


def break_next_run(scene, fault):
    for target in scene.fleet.layout.deployment.targets:
        scene.fleet.stand_ins.change_target(
            target["name"], fault=fault, fault_count=1
        )


@pytest_bdd.given("the platform refuses all calls")
def given_outage(scene, fee_payer):
    scene.fleet.stand_ins.set_platform_faults(outage="refuse")


@pytest_bdd.given("the platform loses its next response")
def given_lost_response(scene, fee_payer):
    scene.fleet.stand_ins.set_platform_faults(lost_answers=1)


@pytest_bdd.when("the platform works again")
def when_healed(scene):
    scene.fleet.stand_ins.set_platform_faults(outage="off")


@pytest_bdd.when(parsers.parse('a fee is paid through "{vm}"'))
@pytest_bdd.when(parsers.parse('the same fee is paid again through "{vm}"'))
def when_paid(fee_payer, vm):
    fee_payer.responses.append(fee_payer.pay(vm))


@pytest_bdd.when(parsers.parse('the VM "{vm}" dies while a fee runs'))
def when_dies(scene, fee_payer, vm):
    payment = gevent.spawn(fee_payer.pay, vm, work_ms=LONG_WORK_MS)
    waiting.until(fee_payer.is_running, "the fee runs")
    scene.fleet.kill_vm(vm)
    fee_payer.responses.append(payment.get())


@pytest_bdd.when(
    parsers.parse(
        "the same fee is paid {count:d} times through each VM at once"
    )
)
def when_all_at_once(scene, fee_payer, count):
    payments = [
        gevent.spawn(fee_payer.pay, vm)
        for vm in sorted(scene.fleet.vms)
        for _ in range(count)
    ]
    gevent.joinall(payments, raise_error=True)
    fee_payer.responses.extend(payment.value for payment in payments)


@pytest_bdd.when(
    "many fees are paid with retries while VMs, targets and platform fail",
    target_fixture="responses_by_fee",
)
def when_many(scene, fee_payer):
    responses_by_fee = collections.defaultdict(list)
    greenlets = gevent.pool.Group()
    injection = gevent.spawn(inject_faults_in_turn, scene)
    for number in range(FEE_COUNT):
        greenlets.spawn(
            pay_with_retries, fee_payer, responses_by_fee, f"fee-{number}"
        )
        gevent.sleep(1 / FEES_PER_S)
    greenlets.join()
    injection.get()
    return responses_by_fee


def pay_with_retries(fee_payer, responses_by_fee, run_id):
    """Pays a fee with retries, each of them through another VM."""
    vms = sorted(
        name
        for name, process in fee_payer.scene.fleet.vms.items()
        if process.is_running()
    )
    chosen_vms = itertools.islice(
        itertools.cycle(vms), hash_of(run_id), hash_of(run_id) + MAX_TRIES
    )
    for vm in chosen_vms:
        response = fee_payer.pay(vm, run_id, work_ms=30)
        responses_by_fee[run_id].append(response)
        match response:
            case http_client.Response(status=200 | 409):
                return
        gevent.sleep(0.3)


@pytest_bdd.when(
    "many fees are paid without retries while VMs freeze, stop and die",
    target_fixture="responses_by_fee",
)
def when_many_once(scene, fee_payer):
    responses_by_fee = {}
    greenlets = gevent.pool.Group()
    disruption = gevent.spawn(disrupt_vms_in_turn, scene.fleet)
    for number in range(FEE_COUNT):
        greenlets.spawn(pay_once, fee_payer, responses_by_fee, f"fee-{number}")
        gevent.sleep(1 / FEES_PER_S)
    greenlets.join()
    disruption.get()
    return responses_by_fee


def pay_once(fee_payer, responses_by_fee, run_id):
    """Pays a fee through a VM that may be frozen."""
    vms = [
        name
        for name, process in fee_payer.scene.fleet.vms.items()
        if process.is_running()
    ]
    vm = sorted(vms)[hash_of(run_id) % len(vms)]
    responses_by_fee[run_id] = [fee_payer.pay(vm, run_id, work_ms=30)]


def disrupt_vms_in_turn(fleet):
    """Freezes two VMs, then stops one as planned and kills another."""
    for name in ("east-a-vm1", "east-b-vm1"):
        gevent.sleep(FAULT_INTERVAL_S)
        fleet.pause_vm(name)
        gevent.sleep(FREEZE_S)
        fleet.resume_vm(name)
    gevent.sleep(FAULT_INTERVAL_S)
    fleet.stop_vm("east-a-vm2")
    fleet.replace_vm("east-a-vm1")


def hash_of(text):
    return sum(text.encode()) % 97


def inject_faults_in_turn(scene):
    """Injects one fault after another."""
    stand_ins = scene.fleet.stand_ins
    steps = (
        lambda: stand_ins.set_platform_faults(lost_answers=4),
        lambda: scene.fleet.replace_vm("east-a-vm1"),
        lambda: stand_ins.change_target(
            "permits-east-b-1", fault="reset", fault_count=5
        ),
        lambda: stand_ins.set_platform_faults(outage="refuse"),
        lambda: stand_ins.set_platform_faults(outage="off"),
    )
    for step in steps:
        gevent.sleep(FAULT_INTERVAL_S)
        step()


@pytest_bdd.then(parsers.parse("the {which} response has status {status:d}"))
def then_status(fee_payer, which, status):
    assert get_response(fee_payer, which).status == status


@pytest_bdd.then(
    parsers.parse('the {which} response is a refusal of kind "{kind}"')
)
def then_kind(fee_payer, which, kind):
    assert get_response(fee_payer, which).json()["kind"] == kind


@pytest_bdd.then(parsers.parse("the {which} response is a refusal"))
def then_refusal(fee_payer, which):
    assert get_response(fee_payer, which).status == 409


@pytest_bdd.then(
    parsers.parse("the {which} response says that the fee did not run")
)
def then_not_run(fee_payer, which):
    response = get_response(fee_payer, which)
    assert response.headers["mulberrydeck-ran"] == "no"
    assert "retry-after" in response.headers


@pytest_bdd.then(parsers.parse("the {which} request gets no response"))
def then_missing(fee_payer, which):
    assert isinstance(get_response(fee_payer, which), http_client.NoResponse)


def get_response(fee_payer, which):
    return fee_payer.responses[["first", "second"].index(which)]


@pytest_bdd.then(parsers.parse('the outcome through "{vm}" is "{state}"'))
def then_outcome(scene, fee_payer, vm, state):
    client = scene.fleet.client(vm, fee_payer.key)

    def recorded():
        response = client.request("GET", f"/v1/runs/{RUN_ID}")
        return response.json()["state"] == state

    waiting.until(recorded, f"the run is {state}")


@pytest_bdd.then("the fee ran once")
def then_once(fee_payer):
    assert len(fee_payer.runs()) == 1


@pytest_bdd.then("exactly one of the responses has status 200")
def then_one_paid(fee_payer):
    statuses = collections.Counter(
        response.status for response in fee_payer.responses
    )
    assert statuses[200] == 1, statuses


@pytest_bdd.then("no fee ran twice")
def then_none_twice(scene):
    assert verdicts.repeats(scene.fleet.stand_ins.runs()) == []


@pytest_bdd.then("every fee that was refused as not run did not run")
def then_true_refusals(scene, responses_by_fee):
    ran = {run.run_id for run in verdicts.ran(scene.fleet.stand_ins.runs())}
    wrongly_refused = [
        run_id
        for run_id, responses in responses_by_fee.items()
        if run_id in ran
        and all(is_refused_as_not_run(response) for response in responses)
    ]
    assert wrongly_refused == []


def is_refused_as_not_run(response):
    match response:
        case http_client.Response(headers=headers):
            return headers.get("mulberrydeck-ran") == "no"
    return False


@pytest_bdd.then("at least half of the fees were paid")
def then_half(responses_by_fee):
    paid_ids = [
        run_id
        for run_id, responses in responses_by_fee.items()
        if any(getattr(response, "status", 0) == 200 for response in responses)
    ]
    assert len(paid_ids) >= FEE_COUNT / 2, len(paid_ids)
