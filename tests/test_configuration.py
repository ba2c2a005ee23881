"""Steps for the propagation of the configuration to VMs in processes."""

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
ALL_WRITES = -1


class ScenarioState:
    """A running deployment and what the scenario has done to it.

    Attributes:
        running: The fleet.
        watch: Records the versions that VMs report.
        versions: Accepted configuration versions, oldest first.
        unreachable: VMs that cannot receive the latest change.
        changes_made: Number of changes that the operator's command made.
        key: A key that was withdrawn.
        keys_version: Version of the keyring with the withdrawal.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.running = running
        running.start()
        running.apply()
        self.watch = version_watch.VersionWatch(running)
        self.versions: list[int] = []
        self.unreachable: set[str] = set()
        self.changes_made = 0
        self.key = ""
        self.keys_version = 0
        self.record_version()
        self.wait_in_force()

    def stored(self, key: str = names.CONFIG) -> http_client.Response:
        """Returns the response with a stored document and its version."""
        path = f"/v1/objects/{key}"
        return http_client.call(self.running.layout.platform, "GET", path)

    def record_version(self) -> None:
        """Records the latest version that the platform has accepted."""
        version = int(self.stored().headers["object-version"])
        self.versions.append(version)

    def latest_note(self) -> documents.ChangeNote:
        """Returns the note of the latest accepted change."""
        return documents.decode(self.stored().body).note

    def wait_in_force(self) -> None:
        """Waits until the latest version is in force on all reachable VMs."""
        for name in sorted(set(self.running.vms) - self.unreachable):
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
        """Drains the target with this index and records the new version."""
        target = self.running.layout.deployment.targets[number]["name"]
        self.running.run_checked("drain", target)
        self.record_version()

    def set_faults(self, **changes: object) -> None:
        """Changes the platform's faults."""
        self.running.stand_ins.set_platform_faults(**changes)


def run_deployment(deployment, tmp_path):
    with fleet.Fleet(deployment, tmp_path) as running:
        state = ScenarioState(running)
        yield state
        state.watch.stop()


@pytest.fixture
def small(tmp_path):
    yield from run_deployment(deployments.small(), tmp_path)


@pytest.fixture
def kilele(tmp_path):
    yield from run_deployment(deployments.kilele(), tmp_path)


@pytest_bdd.given("the Kilele deployment runs", target_fixture="state")
def kilele_runs(kilele):
    assert len(kilele.running.vms) == 10
    return kilele


@pytest_bdd.given("the small deployment runs", target_fixture="state")
def small_runs(small):
    return small


@pytest_bdd.given(
    "the small deployment runs with a second version in force",
    target_fixture="state",
)
def small_with_second(small):
    small.drain(0)
    small.wait_in_force()
    return small


@pytest_bdd.given(
    "the small deployment runs with a withdrawn key", target_fixture="state"
)
def small_with_withdrawn_key(small):
    small.key = small.running.issue_key("acme")
    small.running.run_checked("key", "withdraw", small.key.split("_")[1])
    small.keys_version = int(small.stored(names.KEYS).headers["object-version"])
    small.running.wait_all(small.knows_withdrawal, "the key is withdrawn")
    return small


@pytest_bdd.when("the platform returns reads from before the withdrawal")
def before_withdrawal(state):
    state.set_faults(stale_revision=state.keys_version - 1)


@pytest_bdd.when("an operator drains a target")
def drains(state):
    state.drain(1)


@pytest_bdd.when("the platform returns reads from before the second version")
def returns_stale_reads(state):
    state.set_faults(stale_revision=state.versions[-1] - 1)


@pytest_bdd.when("the platform returns current reads")
def returns_current_reads(state):
    state.set_faults(stale_revision=None)


@pytest_bdd.when("every VM has read from the platform again")
def all_read(state):
    # After an outage every VM reads all objects anew.
    state.set_faults(outage="refuse")
    before = calls_by_vm(state)
    waiting.until(
        lambda: all_above(calls_by_vm(state), before),
        "calls of all VMs are refused",
    )
    state.set_faults(outage="off")
    after = calls_by_vm(state)
    after = {name: count + 3 for name, count in after.items()}
    waiting.until(
        lambda: all_above(calls_by_vm(state), after), "all VMs read again"
    )


def calls_by_vm(state) -> dict[str, int]:
    by_source = state.running.stand_ins.platform_counters()["by_source"]
    layout = state.running.layout
    return {
        name: by_source.get(layout.vm_ip(name), 0) for name in state.running.vms
    }


def all_above(counts: dict[str, int], bounds: dict[str, int]) -> bool:
    return all(counts[name] > bounds[name] for name in bounds)


@pytest_bdd.when("the platform is down")
def goes_down(state):
    state.set_faults(outage="refuse")


@pytest_bdd.when("the platform is back")
def comes_back(state):
    state.set_faults(outage="off")


@pytest_bdd.when("a VM is killed and starts again")
def restarts(state):
    name = sorted(state.running.vms)[0]
    state.running.kill_vm(name, unlist=False)
    state.running.launch_vm(name).wait_ready()


@pytest_bdd.when("a zone cannot reach the platform")
def zone_without_platform(state):
    state.running.stand_ins.add_rule("zone:east-a", "zone:platform", cut=True)


@pytest_bdd.when("a zone is cut off from everything")
def zone_isolated(state):
    state.running.stand_ins.isolate("west-a")
    state.unreachable = set(state.running.vms_in("west-a"))


@pytest_bdd.when("the cut ends")
def cut_ends(state):
    state.running.stand_ins.heal()
    state.unreachable.clear()


@pytest_bdd.when("a VM is paused")
def pauses(state):
    name = sorted(state.running.vms)[0]
    state.running.pause_vm(name)
    state.unreachable = {name}


@pytest_bdd.when("the paused VM resumes")
def resumes(state):
    for name in state.unreachable:
        state.running.resume_vm(name)
    state.unreachable.clear()


@pytest_bdd.when("several operators change labels at the same time")
def change_labels(state):
    account = state.running.layout.deployment.document["accounts"][0]["name"]
    pool = gevent.pool.Pool(OPERATORS)
    pool.map(
        lambda number: state.running.run_checked(
            "label", "account", account, f"racer-{number}=yes"
        ),
        range(OPERATORS),
    )
    state.record_version()


@pytest_bdd.when("the platform loses the response to an operator's change")
def loses_response(state):
    changes = len(state.latest_note().earlier_tokens)
    state.set_faults(lost_answers=ALL_WRITES)
    state.running.run_checked("drain", "permits-east-a-1")
    state.set_faults(lost_answers=0)
    state.record_version()
    state.changes_made = len(state.latest_note().earlier_tokens) - changes


@pytest_bdd.then("exactly one change was made")
def one_change(state):
    assert state.changes_made == 1


@pytest_bdd.then("the change is in force on every VM")
@pytest_bdd.then("the change is in force on every VM elsewhere")
@pytest_bdd.then("the second version is in force on every VM")
def in_force(state):
    state.wait_in_force()


@pytest_bdd.then("all their labels are in force on every VM")
def labels_in_force(state):
    state.wait_in_force()
    stored = documents.decode(state.stored().body).configuration
    labels = stored.accounts[0].labels
    assert {f"racer-{number}" for number in range(OPERATORS)} <= set(labels)


@pytest_bdd.then("the cut-off zone keeps the second version")
def cut_off_zone_keeps_version(state):
    for name in state.unreachable:
        assert state.version_of(name) == state.versions[-2]


@pytest_bdd.then(
    "the withdrawn key is refused until the VM knows of the withdrawal"
)
def withdrawn_key_refused(state):
    name = sorted(state.running.vms)[0]
    client = state.running.client(name, state.key)
    statuses = []

    def knows():
        response = client.request("GET", "/v1/services/permits/status")
        statuses.append(response.status)
        return state.knows_withdrawal(state.running.status(name))

    waiting.until(knows, f"{name} knows of the withdrawal")
    assert 200 not in statuses
    # The watch samples with a delay; the next step needs the new version, too.
    sampled = state.watch.reported_versions[name, "keys_version"]
    waiting.until(lambda: sampled[-1] >= state.keys_version, "it was sampled")


@pytest_bdd.then("no VM has reported an older version after a newer one")
def never_reverts(state):
    assert state.watch.reversions() == {}
