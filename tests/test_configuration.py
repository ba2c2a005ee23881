"""Spread of the configuration over real VM processes."""

import gevent.pool
import pytest
import pytest_bdd

from mulberrydeck.model import documents
from mulberrydeck.platformapi import names
from standins import deployments
from standins import fleet
from standins import http_client
from standins import waiting
from tests import version_watch

pytest_bdd.scenarios("features/configuration.feature")

OPERATORS = 4
ALL_ANSWERS = -1


class Stage:
    """A running deployment and what a scenario did to it.

    Attributes:
        running: The fleet.
        watch: Versions that its VMs have shown.
        versions: Configuration versions in the order of acceptance.
        away: VMs that cannot know the latest change.
        changes_made: Changes that the operator's command has made.
        key: A key that was withdrawn.
        keys_version: Version of the keyring with the withdrawal.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.running = running
        running.start()
        running.apply()
        self.watch = version_watch.VersionWatch(running)
        self.versions: list[int] = []
        self.away: set[str] = set()
        self.changes_made = 0
        self.key = ""
        self.keys_version = 0
        self.accept()
        self.wait_in_force()

    def stored(self, key: str = names.CONFIG) -> http_client.Response:
        """Returns a stored document with its version."""
        path = f"/v1/objects/{key}"
        return http_client.call(self.running.layout.platform, "GET", path)

    def accept(self) -> None:
        """Notes the version that the platform has accepted."""
        version = int(self.stored().headers["object-version"])
        self.versions.append(version)

    def note(self) -> documents.ChangeNote:
        """Returns the note of the latest accepted change."""
        return documents.decode(self.stored().body).note

    def wait_in_force(self) -> None:
        """Waits until the latest version is in force where it can be."""
        for name in sorted(set(self.running.vms) - self.away):
            waiting.until(
                lambda name=name: self.version_of(name) == self.versions[-1],
                f"{name} has version {self.versions[-1]} in force",
            )

    def version_of(self, vm: str) -> int:
        """Returns the configuration version in force on a VM."""
        return self.running.status(vm)["config_version"]

    def knows_withdrawal(self, status: dict[str, object]) -> bool:
        """Returns whether a VM has the keyring with the withdrawal."""
        return status["keys_version"] >= self.keys_version

    def drain(self, number: int) -> None:
        """Drains one target."""
        target = self.running.layout.deployment.targets[number]["name"]
        self.running.run_checked("drain", target)
        self.accept()

    def faults(self, **changes: object) -> None:
        """Changes the platform's faults."""
        self.running.stand_ins.set_platform_faults(**changes)


def opened(deployment, tmp_path):
    with fleet.Fleet(deployment, tmp_path) as running:
        stage = Stage(running)
        yield stage
        stage.watch.stop()


@pytest.fixture
def small(tmp_path):
    yield from opened(deployments.small(), tmp_path)


@pytest.fixture
def kilele(tmp_path):
    yield from opened(deployments.kilele(), tmp_path)


@pytest_bdd.given("the Kilele deployment runs", target_fixture="stage")
def kilele_runs(kilele):
    assert len(kilele.running.vms) == 10
    return kilele


@pytest_bdd.given("the small deployment runs", target_fixture="stage")
def small_runs(small):
    return small


@pytest_bdd.given(
    "the small deployment runs with a second version in force",
    target_fixture="stage",
)
def small_with_second(small):
    small.drain(0)
    small.wait_in_force()
    return small


@pytest_bdd.given(
    "the small deployment runs with a withdrawn key", target_fixture="stage"
)
def small_with_withdrawn_key(small):
    small.key = small.running.issue_key("acme")
    small.running.run_checked("key", "withdraw", small.key.split("_")[1])
    small.keys_version = int(small.stored(names.KEYS).headers["object-version"])
    small.running.wait_all(small.knows_withdrawal, "the key is withdrawn")
    return small


@pytest_bdd.when("the platform answers from before the withdrawal")
def before_withdrawal(stage):
    stage.faults(stale_revision=stage.keys_version - 1)


@pytest_bdd.when("an operator drains a target")
def drains(stage):
    stage.drain(1)


@pytest_bdd.when("the platform answers from before the second version")
def past(stage):
    stage.faults(stale_revision=stage.versions[-1] - 1)


@pytest_bdd.when("the platform answers from the present")
def present(stage):
    stage.faults(stale_revision=None)


@pytest_bdd.when("every VM has read from the platform again")
def all_read(stage):
    # An outage makes every VM read all objects anew.
    stage.faults(outage="refuse")
    before = reads_by_vm(stage)
    waiting.until(
        lambda: all_above(reads_by_vm(stage), before), "all VMs ask in vain"
    )
    stage.faults(outage="off")
    again = reads_by_vm(stage)
    again = {name: count + 3 for name, count in again.items()}
    waiting.until(
        lambda: all_above(reads_by_vm(stage), again), "all VMs read again"
    )


def reads_by_vm(stage) -> dict[str, int]:
    by_source = stage.running.stand_ins.platform_counters()["by_source"]
    layout = stage.running.layout
    return {
        name: by_source.get(layout.vm_ip(name), 0) for name in stage.running.vms
    }


def all_above(counts: dict[str, int], bounds: dict[str, int]) -> bool:
    return all(counts[name] > bounds[name] for name in bounds)


@pytest_bdd.when("the platform is down")
def down(stage):
    stage.faults(outage="refuse")


@pytest_bdd.when("the platform is back")
def back(stage):
    stage.faults(outage="off")


@pytest_bdd.when("a VM is killed and starts again")
def restarts(stage):
    name = sorted(stage.running.vms)[0]
    stage.running.kill_vm(name, unlist=False)
    stage.running.launch_vm(name).wait_ready()


@pytest_bdd.when("a zone cannot reach the platform")
def zone_without_platform(stage):
    stage.running.stand_ins.add_rule("zone:east-a", "zone:platform", cut=True)


@pytest_bdd.when("a zone is cut off from everything")
def zone_alone(stage):
    stage.running.stand_ins.isolate("west-a")
    stage.away = set(stage.running.vms_in("west-a"))


@pytest_bdd.when("the cut ends")
def cut_ends(stage):
    stage.running.stand_ins.heal()
    stage.away.clear()


@pytest_bdd.when("a VM is paused")
def paused(stage):
    name = sorted(stage.running.vms)[0]
    stage.running.pause_vm(name)
    stage.away = {name}


@pytest_bdd.when("the paused VM goes on")
def resumed(stage):
    for name in stage.away:
        stage.running.resume_vm(name)
    stage.away.clear()


@pytest_bdd.when("several operators change labels in the same moment")
def race(stage):
    account = stage.running.layout.deployment.document["accounts"][0]["name"]
    pool = gevent.pool.Pool(OPERATORS)
    pool.map(
        lambda number: stage.running.run_checked(
            "label", "account", account, f"racer-{number}=yes"
        ),
        range(OPERATORS),
    )
    stage.accept()


@pytest_bdd.when("the platform loses the answer to an operator's change")
def lost_answer(stage):
    changes = len(stage.note().earlier_tokens)
    stage.faults(lost_answers=ALL_ANSWERS)
    stage.running.run_checked("drain", "permits-east-a-1")
    stage.faults(lost_answers=0)
    stage.accept()
    stage.changes_made = len(stage.note().earlier_tokens) - changes


@pytest_bdd.then("exactly one change was made")
def one_change(stage):
    assert stage.changes_made == 1


@pytest_bdd.then("the change is in force on every VM")
@pytest_bdd.then("the change is in force on every VM elsewhere")
@pytest_bdd.then("the second version is in force on every VM")
def in_force(stage):
    stage.wait_in_force()


@pytest_bdd.then("all their labels are in force on every VM")
def labels_in_force(stage):
    stage.wait_in_force()
    stored = documents.decode(stage.stored().body).configuration
    labels = stored.accounts[0].labels
    assert {f"racer-{number}" for number in range(OPERATORS)} <= set(labels)


@pytest_bdd.then("the cut-off zone goes on with the second version")
def cut_off_goes_on(stage):
    for name in stage.away:
        assert stage.version_of(name) == stage.versions[-2]


@pytest_bdd.then(
    "the withdrawn key is refused until the VM knows of the withdrawal"
)
def withdrawn_key_refused(stage):
    name = sorted(stage.running.vms)[0]
    client = stage.running.client(name, stage.key)
    answered = []

    def knows():
        answer = client.request("GET", "/v1/services/permits/status")
        answered.append(answer.status)
        return stage.knows_withdrawal(stage.running.status(name))

    waiting.until(knows, f"{name} knows of the withdrawal")
    assert 200 not in answered
    # One more sample shows the version that is in force now.
    shown = stage.watch.seen[name, "keys_version"]
    waiting.until(lambda: shown[-1] >= stage.keys_version, "it was sampled")


@pytest_bdd.then("no VM has shown an older version after a newer one")
def never_reverts(stage):
    assert stage.watch.reversions() == {}
