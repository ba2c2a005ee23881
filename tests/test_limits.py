"""Steps for the rate limits of client accounts."""

import copy
import time

import attrs
import gevent
import pytest_bdd
from pytest_bdd import parsers
import tomlkit

from standins import verdicts
from tests import account_load

pytest_bdd.scenarios("features/limits.feature")

MAX_APPLY_S = 4.0

SETTLING_S = 2.0
CUT_S = 6.0
PAUSE_S = 7.0


@attrs.frozen
class RateChange:
    """Monotonic times of a temporary rate change, in seconds.

    Attributes:
        halved_s: When the platform accepted the halved rate.
        restored_s: When applying the previous rate again began.
    """

    halved_s: float
    restored_s: float


def apply_rate(scene, rate_per_s):
    """Applies another rate to large accounts.

    Returns:
        When that began, and when the platform accepted it, in seconds. On a
        busy machine the command itself takes seconds to start.
    """
    document = copy.deepcopy(scene.fleet.layout.deployment.document)
    for rule in document["limits"]:
        if rule["name"] == "large":
            rule["rate_per_s"] = rate_per_s
    path = scene.fleet.group.directory / "changed.toml"
    path.write_text(tomlkit.dumps(document))
    began_s = time.monotonic()
    scene.fleet.run_checked("apply", "--replace", str(path))
    written_s = scene.fleet.stand_ins.platform_counters()["written_s"]
    accepted_s = written_s["control/config"]
    assert began_s <= accepted_s <= time.monotonic()
    return began_s, accepted_s


@pytest_bdd.when(
    parsers.parse(
        "{account} sends {factor:g} times its rate through {which} for "
        "{duration_s:d} seconds"
    ),
    target_fixture="sending",
)
def when_sends(scene, account, factor, which, duration_s):
    vms = sorted(scene.fleet.vms)
    if which != "all VMs":
        vms = [name for name in vms if name.startswith("west")][-1:]
    return account_load.AccountLoad(scene, account, factor, vms, duration_s)


@pytest_bdd.when("the only VM of the west is replaced")
def when_west_replaced(scene):
    scene.key("acme")
    scene.fleet.replace_vm("west-a-vm1")
    scene.wait_key_accepted("acme")


@pytest_bdd.when("a VM is killed and replaced meanwhile")
def when_replaced(scene):
    gevent.sleep(SETTLING_S)
    scene.fleet.replace_vm("east-a-vm1")


@pytest_bdd.when(
    "an operator halves the rate of acme meanwhile",
    target_fixture="rate_change",
)
def when_halved(scene, sending):
    gevent.sleep(SETTLING_S)
    _, halved_s = apply_rate(scene, sending.limit["rate_per_s"] / 2)
    gevent.sleep(MAX_APPLY_S + SETTLING_S)
    restored_s, _ = apply_rate(scene, sending.limit["rate_per_s"])
    return RateChange(halved_s, restored_s)


@pytest_bdd.when("a zone is cut off and healed meanwhile")
def when_cut(scene):
    gevent.sleep(SETTLING_S)
    scene.fleet.stand_ins.isolate("west-a")
    gevent.sleep(CUT_S)
    scene.fleet.stand_ins.heal()


@pytest_bdd.when("a VM is paused for longer than its leases meanwhile")
def when_paused(scene):
    gevent.sleep(SETTLING_S)
    scene.fleet.pause_vm("east-a-vm2")
    gevent.sleep(PAUSE_S)
    scene.fleet.resume_vm("east-a-vm2")


@pytest_bdd.then(
    parsers.parse("{account} never got more than its rate and burst")
)
def then_bounded(sending, account):
    limit = sending.limit
    over = verdicts.excess(
        sending.run_times, limit["rate_per_s"], limit["burst"]
    )
    assert over <= 0, f"{account}: {over:.1f} requests too many"


@pytest_bdd.then("acme kept to half its rate from 4 seconds after the change")
def then_halved(sending, rate_change):
    begin_s = rate_change.halved_s + MAX_APPLY_S
    times_s = [
        time_s
        for time_s in sending.run_times
        if begin_s <= time_s < rate_change.restored_s
    ]
    limit = sending.limit
    over = verdicts.excess(times_s, limit["rate_per_s"] / 2, limit["burst"])
    assert times_s
    assert over <= 0, f"{over:.1f} requests too many"


@pytest_bdd.then(
    parsers.parse("{account} got at least {percent:d} percent of its rate")
)
def then_used(sending, account, percent):
    due = sending.limit["rate_per_s"] * sending.duration_s
    assert len(sending.run_times) >= due * percent / 100, account


@pytest_bdd.then(
    parsers.parse(
        "fewer than {percent:g} percent of its requests were refused after "
        "the start"
    )
)
def then_admitted(sending, percent):
    records = sending.records()
    begin_s = min(record.due_s for record in records) + SETTLING_S
    after_start = [record for record in records if record.due_s >= begin_s]
    refused = [r for r in after_start if r.kind == "rate-limited"]
    assert len(refused) * 100 < percent * len(after_start), (
        f"{len(refused)} of {len(after_start)}"
    )
    unserved = [record.kind for record in after_start if record.status != 200]
    assert len(unserved) == len(refused), unserved
