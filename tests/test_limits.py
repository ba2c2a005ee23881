"""Steps of the limits of client accounts."""

import gevent
import pytest_bdd
from pytest_bdd import parsers

from standins import verdicts
from tests import sending as sending_module

pytest_bdd.scenarios("features/limits.feature")

SETTLING_S = 2.0
CUT_S = 6.0
PAUSE_S = 7.0


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
    return sending_module.Sending(scene, account, factor, vms, duration_s)


@pytest_bdd.when("the only VM of the west is replaced")
def when_west_replaced(scene):
    scene.key("acme")
    scene.fleet.replace_vm("west-a-vm1")
    scene.key_known_everywhere("acme")


@pytest_bdd.when("a VM is killed and replaced meanwhile")
def when_replaced(scene):
    gevent.sleep(SETTLING_S)
    scene.fleet.replace_vm("east-a-vm1")


@pytest_bdd.when("a zone is cut off and healed meanwhile")
def when_cut(scene):
    gevent.sleep(SETTLING_S)
    scene.fleet.surroundings.isolate("west-a")
    gevent.sleep(CUT_S)
    scene.fleet.surroundings.heal()


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
    sending.records()
    limit = sending.limit
    over = verdicts.excess(
        sending.run_times(), limit["rate_per_s"], limit["burst"]
    )
    assert over <= 0, f"{account}: {over:.1f} requests too many"


@pytest_bdd.then(
    parsers.parse("{account} got at least {percent:d} percent of its rate")
)
def then_used(sending, account, percent):
    due = sending.limit["rate_per_s"] * sending.duration_s
    assert len(sending.run_times()) >= due * percent / 100, account


@pytest_bdd.then(
    parsers.parse(
        "fewer than {percent:g} percent of its requests were refused after "
        "the start"
    )
)
def then_admitted(sending, percent):
    records = sending.records()
    begin_s = min(record.due_s for record in records) + SETTLING_S
    late = [record for record in records if record.due_s >= begin_s]
    refused = [r for r in late if r.kind == "rate-limited"]
    assert len(refused) * 100 < percent * len(late), (
        f"{len(refused)} of {len(late)}"
    )
    unserved = [record.kind for record in late if record.status != 200]
    assert len(unserved) == len(refused), unserved
