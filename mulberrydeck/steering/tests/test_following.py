"""What a VM makes of lists and changes, in any order."""

import json

import gevent
import pytest
from returns import result

from mulberrydeck import errors
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import backoff
from mulberrydeck.steering import events
from mulberrydeck.steering import following
from mulberrydeck.steering import sources

KIND = documents.EVACUATIONS_KIND


class Store:
    """Answers calls as a test says; watches wait for ever."""

    def __init__(self):
        self.listing = stores.Listing((), (), 1)
        self.watched = []
        self.failing = 0
        self.lists = 0

    def list(self, kind):
        self.lists += 1
        return result.Success(self.listing)

    def watch(self, kind, since, wait_s, stale=False):
        self.watched.append(since)
        if self.failing:
            self.failing -= 1
            error = errors.PlatformUnavailableError("cut")
            return result.Failure(error)
        gevent.sleep(wait_s)
        return result.Success(stores.Changes((), (), since))


class Loop:
    """Keeps the events."""

    def __init__(self):
        self.time_s = 100.0
        self.submitted = []
        self.submit = self.submitted.append

    def now_s(self):
        return self.time_s


class Reports:
    """Keeps the texts of lines."""

    def __init__(self):
        self.texts = []

    def write(self, part, text, **fields):
        self.texts.append(text)


class Vm:
    """The parts of a VM that learn of one kind."""

    def __init__(self):
        self.store = Store()
        self.loop = Loop()
        self.reports = Reports()
        self.sent = []
        self.greenlets = []
        self.following = following.Following(
            self.store,
            self.loop,
            self.reports,
            lambda to, message: self.sent.append((to, message)),
            self._spawn,
        )
        (self.followed,) = (
            one
            for one in sources.Sources(self.reports).work()
            if one.kind == KIND
        )
        self.following.add(self.followed)
        gevent.sleep(0)

    def _spawn(self, part):
        greenlet = gevent.spawn(part)
        self.greenlets.append(greenlet)
        return greenlet

    def listed(self, revision, *names):
        listing = stores.Listing(objects(revision, names), (), revision)
        origin = self.following.origin()
        self.following.listed(self.followed, listing, origin)

    def changed(self, revision, name, deleted=False):
        (stored,) = objects(revision, [name])
        news = stores.Changes((stores.Change(stored, deleted),), (), revision)
        self.following.changed(self.followed, news, self.following.origin())

    def evacuated(self):
        zones = [
            one.zones
            for one in self.loop.submitted
            if isinstance(one, events.ZonesEvacuated)
        ]
        return set(zones[-1]) if zones else set()


def objects(revision, names):
    return tuple(
        documents.stored_object(
            json.dumps({"Metadata": {"Name": name, "Revision": revision}})
        )
        for name in names
    )


@pytest.fixture(name="vm")
def fixture_vm():
    vm = Vm()
    yield vm
    gevent.killall(vm.greenlets)


def test_a_late_list_does_not_take_newer_changes_back(vm):
    vm.listed(5, "east")
    vm.changed(9, "east", deleted=True)
    vm.listed(7, "east")
    assert vm.evacuated() == set()
    vm.listed(11, "west")
    assert vm.evacuated() == {"west"}


def test_late_changes_do_not_take_newer_ones_back(vm):
    vm.listed(5)
    vm.changed(7, "east")
    vm.changed(9, "east", deleted=True)
    vm.changed(7, "east")
    assert vm.evacuated() == set()


def test_a_store_that_returns_is_noticed_though_nothing_has_changed():
    vm = Vm()
    vm.store.failing = 1
    vm.following.add(vm.followed)
    gevent.sleep(2 * backoff.RETRY_DELAY_S)
    lost, regained = (
        [one.kind for one in vm.loop.submitted if isinstance(one, event)]
        for event in (events.StoreLost, events.StoreRegained)
    )
    assert lost == regained == [KIND]
    gevent.killall(vm.greenlets)
