"""Steps of requests that may run at most once."""

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
FEES = 240
FEES_PER_S = 20.0
TRIES = 3
FAULT_INTERVAL_S = 2.0


class Cashier:
    """Pays fees and remembers the answers.

    Attributes:
        scene: The scenario's fleet and keys.
        answers: Answers in the order of asking.
    """

    def __init__(self, scene):
        self.scene = scene
        self.key = scene.key(ACCOUNT)
        self.answers = []

    def pay(self, vm, run_id=RUN_ID, work_ms=20):
        client = self.scene.fleet.client(vm, self.key, timeout_s=12.0)
        headers = {"Mulberrydeck-Run-Id": run_id}
        path = f"{PATH}?work_ms={work_ms}"
        answer = client.request("POST", path, b"fee", headers)
        client.close()
        return answer

    def runs(self, run_id=RUN_ID):
        """Returns the runs of a fee that targets logged."""
        logged = verdicts.ran(self.scene.fleet.stand_ins.runs())
        return [run for run in logged if run.run_id == run_id]

    def is_running(self):
        return any(run.outcome == "running" for run in self.runs())


@pytest.fixture(name="cashier")
def fixture_cashier(scene):
    return Cashier(scene)


@pytest_bdd.given("every target drops the connection of its next request")
def given_resets(scene):
    for target in scene.fleet.layout.deployment.targets:
        scene.fleet.stand_ins.change_target(
            target["name"], fault="reset", fault_count=1
        )


@pytest_bdd.given("the platform refuses all calls")
def given_outage(scene, cashier):
    scene.fleet.stand_ins.set_platform_faults(outage="refuse")


@pytest_bdd.given("the platform loses its next answer")
def given_lost_answer(scene, cashier):
    scene.fleet.stand_ins.set_platform_faults(lost_answers=1)


@pytest_bdd.when("the platform works again")
def when_healed(scene):
    scene.fleet.stand_ins.set_platform_faults(outage="off")


@pytest_bdd.when(parsers.parse('a fee is paid through "{vm}"'))
@pytest_bdd.when(parsers.parse('the same fee is paid again through "{vm}"'))
def when_paid(cashier, vm):
    cashier.answers.append(cashier.pay(vm))


@pytest_bdd.when(parsers.parse('the VM "{vm}" dies while a fee runs'))
def when_dies(scene, cashier, vm):
    paying = gevent.spawn(cashier.pay, vm, work_ms=LONG_WORK_MS)
    waiting.until(cashier.is_running, "the fee runs")
    scene.fleet.kill_vm(vm)
    cashier.answers.append(paying.get())


@pytest_bdd.when(
    parsers.parse(
        "the same fee is paid {count:d} times through each VM at once"
    )
)
def when_all_at_once(scene, cashier, count):
    paying = [
        gevent.spawn(cashier.pay, vm)
        for vm in sorted(scene.fleet.vms)
        for _ in range(count)
    ]
    gevent.joinall(paying, raise_error=True)
    cashier.answers.extend(each.value for each in paying)


@pytest_bdd.when(
    "many fees are paid with retries while VMs, targets and platform fail",
    target_fixture="paid",
)
def when_many(scene, cashier):
    paid = collections.defaultdict(list)
    greenlets = gevent.pool.Group()
    failing = gevent.spawn(fail_in_turn, scene)
    for number in range(FEES):
        greenlets.spawn(pay_with_retries, cashier, paid, f"fee-{number}")
        gevent.sleep(1 / FEES_PER_S)
    greenlets.join()
    failing.get()
    return paid


def pay_with_retries(cashier, paid, run_id):
    """Pays a fee like a careful caller, through another VM at each try."""
    vms = sorted(
        name
        for name, process in cashier.scene.fleet.vms.items()
        if process.is_running()
    )
    order = itertools.islice(
        itertools.cycle(vms), hash_of(run_id), hash_of(run_id) + TRIES
    )
    for vm in order:
        answer = cashier.pay(vm, run_id, work_ms=30)
        paid[run_id].append(answer)
        match answer:
            case http_client.Response(status=200 | 409):
                return
        gevent.sleep(0.3)


def hash_of(text):
    return sum(text.encode()) % 97


def fail_in_turn(scene):
    """Brings about one failure after another."""
    around = scene.fleet.stand_ins
    steps = (
        lambda: around.set_platform_faults(lost_answers=4),
        lambda: scene.fleet.replace_vm("east-a-vm1"),
        lambda: around.change_target(
            "permits-east-b-1", fault="reset", fault_count=5
        ),
        lambda: around.set_platform_faults(outage="refuse"),
        lambda: around.set_platform_faults(outage="off"),
    )
    for step in steps:
        gevent.sleep(FAULT_INTERVAL_S)
        step()


@pytest_bdd.then(parsers.parse("the {which} answer has status {status:d}"))
def then_status(cashier, which, status):
    assert answer_of(cashier, which).status == status


@pytest_bdd.then(
    parsers.parse('the {which} answer is a refusal of kind "{kind}"')
)
def then_kind(cashier, which, kind):
    assert answer_of(cashier, which).json()["kind"] == kind


@pytest_bdd.then(parsers.parse("the {which} answer is a refusal"))
def then_refusal(cashier, which):
    assert answer_of(cashier, which).status == 409


@pytest_bdd.then(parsers.parse("the {which} answer says that it did not run"))
def then_not_run(cashier, which):
    answer = answer_of(cashier, which)
    assert answer.headers["mulberrydeck-ran"] == "no"
    assert "retry-after" in answer.headers


@pytest_bdd.then(parsers.parse("the {which} answer is missing"))
def then_missing(cashier, which):
    assert isinstance(answer_of(cashier, which), http_client.NoResponse)


def answer_of(cashier, which):
    return cashier.answers[["first", "second"].index(which)]


@pytest_bdd.then(parsers.parse('the outcome through "{vm}" is "{state}"'))
def then_outcome(scene, cashier, vm, state):
    client = scene.fleet.client(vm, cashier.key)

    def recorded():
        found = client.request("GET", f"/v1/runs/{RUN_ID}")
        return found.json()["state"] == state

    waiting.until(recorded, f"the run is {state}")


@pytest_bdd.then("the fee ran once")
def then_once(cashier):
    assert len(cashier.runs()) == 1


@pytest_bdd.then("exactly one of the answers has status 200")
def then_one_paid(cashier):
    statuses = collections.Counter(each.status for each in cashier.answers)
    assert statuses[200] == 1, statuses


@pytest_bdd.then("no fee ran twice")
def then_none_twice(scene):
    assert verdicts.repeats(scene.fleet.stand_ins.runs()) == []


@pytest_bdd.then("every fee that was refused as not run did not run")
def then_true_refusals(scene, paid):
    ran = {run.run_id for run in verdicts.ran(scene.fleet.stand_ins.runs())}
    false = [
        run_id
        for run_id, answers in paid.items()
        if run_id in ran and all(says_not_run(each) for each in answers)
    ]
    assert false == []


def says_not_run(answer):
    match answer:
        case http_client.Response(headers=headers):
            return headers.get("mulberrydeck-ran") == "no"
    return False


@pytest_bdd.then("at least half of the fees were paid")
def then_half(paid):
    done = [
        run_id
        for run_id, answers in paid.items()
        if any(getattr(each, "status", 0) == 200 for each in answers)
    ]
    assert len(done) >= FEES / 2, len(done)
