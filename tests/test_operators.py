"""Steps for operators' commands under races, lost responses and outages."""

import zlib

import pytest
import pytest_bdd

from mulberrydeck.keys import keyring
from mulberrydeck.model import documents
from mulberrydeck.model import editing
from mulberrydeck.model.tests import samples
from mulberrydeck.platformapi import names
from standins import processes
from tests import operator_commands

pytest_bdd.scenarios("features/operators.feature")

TARGET = "permits-1"
DRAIN = ("drain", TARGET)


@pytest.fixture
def runner(tmp_path):
    with processes.ProcessGroup(tmp_path) as group:
        opened = operator_commands.CommandRunner(group, tmp_path)
        yield opened
        opened.close()


@pytest.fixture
def revisions(runner):
    """List for the platform's revision before the commands under test."""
    return []


def is_draining(runner) -> bool:
    targets = runner.platform.configuration().configuration.targets
    return next(item for item in targets if item.name == TARGET).draining


@pytest_bdd.given("ann has applied the first configuration")
def first_configuration(runner, revisions):
    path = runner.write("first.toml", samples.FLEET_TOML)
    applied = runner.run("ann", "apply", path)
    assert applied.code == 0, applied.errors
    revisions.append(runner.platform.store.revision)


@pytest_bdd.given("bob has drained a target")
def bob_drained(runner):
    assert runner.run("bob", *DRAIN).code == 0


@pytest_bdd.given("the platform loses the response to the next write")
def loses_response(runner):
    runner.platform.faults.lost_answers = 1


@pytest_bdd.given("bob's change follows before ann can read back")
def bob_follows(runner):
    def write_later_change(revision: int) -> None:
        runner.platform.after_write = lambda revision: None
        current = runner.platform.configuration()
        changed = editing.set_labels(
            current.configuration, "account", "beta", {"x": "y"}
        )
        note = documents.new_note("bob", (), current.note)
        document = documents.ConfigurationDocument(note, changed)
        runner.platform.store.write(
            names.CONFIG, documents.encode(document), revision
        )

    runner.platform.after_write = write_later_change


@pytest_bdd.given(
    "the platform holds the next write until a later one has ended"
)
def holds_write(runner):
    runner.platform.holds_next_write = True
    runner.timeout_s = operator_commands.SHORT_TIMEOUT_S


@pytest_bdd.given("the platform loses the next response and then goes down")
def loses_response_and_stops(runner):
    def go_down(revision: int) -> None:
        runner.platform.faults.outage = "refuse"

    runner.platform.faults.lost_answers = 1
    runner.platform.after_write = go_down


@pytest_bdd.given("the platform returns stale reads")
def returns_stale_reads(runner, revisions):
    runner.platform.faults.stale_revision = revisions[0]


@pytest_bdd.given("the platform is down")
def platform_down(runner):
    runner.platform.faults.outage = "refuse"


@pytest_bdd.when(
    "ann and bob apply different files at the same time",
    target_fixture="results",
)
def apply_race(runner, revisions):
    base = f"based_on_version = {revisions[0]}\n"
    commands = []
    for author, slots in (("ann", 4), ("bob", 5)):
        text = samples.FLEET_TOML.replace("slots = 3", f"slots = {slots}")
        path = runner.write(f"{author}.toml", base + text)
        commands.append((author, "apply", path))
    return dict(zip(("ann", "bob"), runner.race(*commands), strict=True))


@pytest_bdd.when(
    "ann drains a target while bob labels an account", target_fixture="results"
)
def edit_race(runner):
    results = runner.race(
        ("ann", *DRAIN), ("bob", "label", "account", "beta", "x=y")
    )
    return dict(zip(("ann", "bob"), results, strict=True))


@pytest_bdd.when("ann drains a target", target_fixture="result")
def ann_drains(runner):
    return runner.run("ann", *DRAIN)


@pytest_bdd.when("ann labels an account", target_fixture="result")
def ann_labels(runner):
    return runner.run("ann", "label", "account", "beta", "x=y")


@pytest_bdd.when("ann issues a key", target_fixture="result")
def ann_issues(runner):
    return runner.run("ann", "key", "issue", "acme")


@pytest_bdd.when(
    "ann applies a file derived from the first version",
    target_fixture="result",
)
def ann_applies_old(runner, revisions):
    text = f"based_on_version = {revisions[0]}\n{samples.FLEET_TOML}"
    text = text.replace("burst = 20", "burst = 30")
    return runner.run("ann", "apply", runner.write("old.toml", text))


@pytest_bdd.then("one of them succeeds and the other is told who came first")
def one_succeeds(results):
    winner = next(name for name in results if results[name].code == 0)
    loser = ({"ann", "bob"} - {winner}).pop()
    assert results[loser].code == 1
    assert f"{winner} came first" in results[loser].errors
    assert "your change was not applied" in results[loser].errors


@pytest_bdd.then("only the successful change is in force")
def only_successful_change(runner, results, revisions):
    stored = runner.platform.configuration()
    slots = {target.slots for target in stored.configuration.targets}
    assert slots == ({4} if results["ann"].code == 0 else {5})
    assert runner.platform.store.revision == revisions[0] + 1


@pytest_bdd.then("both commands succeed")
def both_succeed(results):
    assert [result.code for result in results.values()] == [0, 0]


@pytest_bdd.then("both edits are in force")
def both_in_force(runner, revisions):
    assert is_draining(runner)
    accounts = runner.platform.configuration().configuration.accounts
    assert {"x": "y"} in [account.labels for account in accounts]
    assert runner.platform.store.revision == revisions[0] + 2


@pytest_bdd.then("the command succeeds")
def succeeds(result):
    assert result.code == 0, result.errors


@pytest_bdd.then("the command is refused with exit code 1")
def refused(result):
    assert result.code == 1, result.errors


@pytest_bdd.then("it says that bob came first and how to merge")
def says_bob(result):
    assert "bob came first" in result.errors
    assert "mulberrydeck get" in result.errors


@pytest_bdd.then("it says that the outcome is unknown")
def says_unknown(result):
    assert "read it again to see whether it took effect" in result.errors


@pytest_bdd.then("it says that the platform shows an older version")
def says_older(result):
    assert "still shows the older version" in result.errors


@pytest_bdd.then("it says that nothing was changed")
def says_nothing_changed(result):
    assert "nothing was changed" in result.errors


@pytest_bdd.then("the target is still draining")
def still_draining(runner):
    assert is_draining(runner)


@pytest_bdd.then("the same command succeeds once the platform is back")
def succeeds_later(runner):
    runner.platform.faults.outage = "off"
    assert runner.run("ann", *DRAIN).code == 0
    assert is_draining(runner)


@pytest_bdd.then(
    pytest_bdd.parsers.re(
        r"(exactly )?(?P<count>no|one|two) changes? (was|were) made"
    )
)
def changes_made(runner, revisions, count):
    runner.platform.wait_for_writes(0)
    assert not runner.platform.holds_next_write
    expected = {"no": 0, "one": 1, "two": 2}[count]
    assert runner.platform.store.revision == revisions[0] + expected


@pytest_bdd.then("the key is shown once and its secret is stored nowhere")
def key_shown_once(runner, result):
    shown = result.output.strip()
    content = runner.platform.store.get(names.KEYS).value
    ring = keyring.decode(content)
    assert keyring.KeyIndex(ring).account_of(shown) == "acme"
    secret = shown.rpartition("_")[2]
    assert secret.encode() not in zlib.decompress(content)
    assert secret not in result.errors
    listed = runner.run("ann", "key", "list")
    assert ring.records[0].key_id in listed.output
    assert secret not in listed.output
