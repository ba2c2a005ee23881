"""What a VM makes of lists, changes and other VMs' news, in any order."""

import json

import gevent
import pytest
from returns import result

from mulberrydeck import errors
from mulberrydeck.peers import feed_messages
from mulberrydeck.platform import documents
from mulberrydeck.platform import store as stores
from mulberrydeck.steering import backoff
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import feeds
from mulberrydeck.steering import store_kinds
from mulberrydeck.steering import store_sync
from mulberrydeck.steering import sync_plans

KIND = documents.EVACUATIONS_KIND
LEADS = sync_plans.SyncPlan(shared=True, leads=True)


class Store:
    """Answers calls as a test says; watches wait for ever."""

    def __init__(self):
        self.listing = stores.Listing((), (), 1)
        self.error = None
        self.watched = []
        self.failing = 0
        self.lists = 0

    def list(self, kind):
        self.lists += 1
        if self.listing is None:
            gevent.sleep(60.0)
        return result.Success(self.listing)

    def watch(self, kind, since, wait_s, stale=False):
        self.watched.append(since)
        if self.failing:
            self.failing -= 1
            error = errors.PlatformUnavailableError("cut")
            return result.Failure(error)
        gevent.sleep(wait_s)
        return result.Success(stores.Changes((), (), since))

    def check(self, timeout_s):
        if self.error is not None:
            return result.Failure(self.error)
        return result.Success(None)


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

    def __init__(self, plan=None):
        self.store = Store()
        self.loop = Loop()
        self.reports = Reports()
        self.sent = []
        self.greenlets = []
        self.sync = store_sync.StoreSync(
            self.store,
            self.loop,
            self.reports,
            lambda to, message: self.sent.append((to, message)),
            self._spawn,
        )
        (self.watched_kind,) = (
            one
            for one in store_kinds.StoreKinds(self.reports).request_kinds()
            if one.kind == KIND
        )
        if plan is not None:
            self.apply(plan)
        self.sync.add(self.watched_kind)
        self.turn()

    def _spawn(self, part):
        greenlet = gevent.spawn(part)
        self.greenlets.append(greenlet)
        return greenlet

    def turn(self, seconds=0.0):
        gevent.sleep(seconds)

    def apply(self, plan):
        self.sync.apply(effects.FollowStore(plan))
        self.turn()

    def listed(self, revision, *names):
        listing = stores.Listing(objects(revision, names), (), revision)
        origin = self.sync.store_origin()
        self.sync.apply_list(self.watched_kind, listing, origin)

    def changed(self, revision, name, deleted=False):
        (stored,) = objects(revision, [name])
        news = stores.Changes((stores.Change(stored, deleted),), (), revision)
        self.sync.apply_changes(
            self.watched_kind, news, self.sync.store_origin()
        )

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


def test_objects_that_a_list_of_names_leaves_out_are_removed(vm):
    vm.listed(5, "east", "west")
    part = feed_messages.FeedPart(
        KIND,
        feeds.ALL_OBJECTS,
        9,
        tuple(
            feed_messages.FedObject(documents.encode_stored_object(one), False)
            for one in objects(8, ["north"])
        ),
        kept=("west",),
    )
    vm.sync.apply_part(part, feeds.Origin("coast-a-1", vm.loop.now_s()))
    assert vm.evacuated() == {"west", "north"}
    assert vm.sync.revisions[KIND] == 9


def test_a_vm_that_doubts_its_source_goes_on_from_what_it_knows(vm):
    vm.listed(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.watched.clear()
    lists = vm.store.lists
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    assert vm.store.watched == [5]
    assert vm.store.lists == lists


def test_a_vm_that_begins_to_lead_reads_all_objects(vm):
    vm.listed(5, "east")
    vm.store.listing = stores.Listing(objects(4, ["west"]), (), 7)
    vm.apply(LEADS)
    assert vm.sync.feed_server.mirrors[KIND].revision == 7
    assert vm.evacuated() == {"west"}


def test_changes_that_arrive_after_the_lead_has_ended_are_kept(vm):
    vm.apply(LEADS)
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.changed(9, "east")
    (stored,) = objects(9, ["east"])
    news = stores.Changes((stores.Change(stored, False),), (), 9)
    vm.sync.feed_server.apply_changes(KIND, news)
    assert vm.evacuated() == {"east"}


def test_a_store_out_of_reach_is_noticed_and_its_return_too(vm):
    vm.store.error = errors.PlatformUnavailableError("cut")
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    (lost,) = (
        one for one in vm.loop.submitted if isinstance(one, events.StoreLost)
    )
    assert lost.kind == store_sync.CHECK_KIND
    vm.store.error = None
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert any(
        isinstance(one, events.StoreRegained) for one in vm.loop.submitted
    )


def test_watches_that_an_outage_may_have_silenced_are_replaced(vm):
    vm.listed(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.error = errors.PlatformUnavailableError("silent")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.store.watched.clear()
    vm.store.error = None
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert vm.store.watched == [5]


def test_of_a_store_out_of_reach_only_checks_are_made(vm):
    vm.listed(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.error = errors.PlatformUnavailableError("cut")
    vm.store.failing = 1000
    vm.store.watched.clear()
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.turn(1.0)
    assert len(vm.store.watched) <= 2
    vm.store.error = None
    vm.store.failing = 0
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert not vm.sync.lost_since_s


def test_a_burst_of_changes_costs_a_vm_that_does_not_lead_few_calls(vm):
    (targets,) = (
        one
        for one in store_kinds.StoreKinds(vm.reports).request_kinds()
        if one.kind == documents.TARGETS_KIND
    )
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    assert vm.sync.pause_s(targets) == store_sync.DIRECT_PAUSE_S
    assert vm.sync.pause_s(vm.watched_kind) == 0.0
    vm.apply(LEADS)
    assert vm.sync.pause_s(targets) == targets.pause_s


def test_a_kind_that_was_lost_is_regained_by_the_next_watch(vm):
    vm.sync.call_failed(KIND, errors.PlatformUnavailableError("cut"))
    vm.apply(LEADS)
    kinds = [
        one.kind
        for one in vm.loop.submitted
        if isinstance(one, events.StoreRegained)
    ]
    assert kinds == [KIND]


def test_a_store_that_returns_is_noticed_though_nothing_has_changed(vm):
    vm.store.failing = 1
    vm.listed(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.turn(2 * backoff.RETRY_DELAY_S)
    lost, regained = (
        [one.kind for one in vm.loop.submitted if isinstance(one, event)]
        for event in (events.StoreLost, events.StoreRegained)
    )
    assert lost == regained == [KIND]


def test_a_vm_that_has_lost_the_store_declines_at_once(vm):
    vm.sync.call_failed(KIND, errors.PlatformUnavailableError("cut"))
    vm.sync.handle_request("coast-a-2", feed_messages.FeedAsk((), 1.0))
    ((to, answer),) = vm.sent
    assert (to, answer.checked_age_s) == ("coast-a-2", None)


def test_a_vm_that_stood_still_watches_anew(vm):
    vm.apply(LEADS)
    vm.store.watched.clear()
    vm.loop.time_s += store_sync.STALL_S + 2.0
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert "Watching anew." in vm.reports.texts
    assert vm.store.watched == [1]


def test_a_vm_that_stood_still_before_it_had_read_all_lists_again(vm):
    vm.listed(5, "east")
    vm.store.listing = None
    vm.apply(LEADS)
    vm.store.listing = stores.Listing((), (), 7)
    vm.sync.restart_watches()
    vm.turn()
    assert vm.sync.feed_server.mirrors[KIND].revision == 7


def test_watches_of_a_vm_that_leads_show_a_silent_connection_in_time(vm):
    apply_s = 3.0  # ConfigApplyMs and DrainMs where VMs lead.
    evacuation_s = 5.0
    longest_s = {
        documents.CONFIGURATION_KIND: apply_s,
        documents.TARGETS_KIND: apply_s,
        documents.EVACUATIONS_KIND: evacuation_s,
    }
    vm.apply(LEADS)
    for watched_kind in store_kinds.StoreKinds(vm.reports).request_kinds():
        wait_s = vm.sync.watch_wait_s(watched_kind)
        assert wait_s + stores.WATCH_MARGIN_S < longest_s[watched_kind.kind]


def test_a_store_that_falls_silent_is_noticed_where_vms_share_nothing(vm):
    assert vm.sync.plan == sync_plans.SyncPlan()
    checked = [
        one for one in vm.loop.submitted if isinstance(one, events.StoreChecked)
    ]
    assert checked
    vm.store.error = errors.PlatformUnavailableError("silent")
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert store_sync.CHECK_KIND in vm.sync.lost_since_s


def test_no_checks_are_made_by_a_vm_that_relies_on_another(vm):
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    calls = []
    vm.store.check = calls.append
    vm.turn(1.5 * store_sync.CHECK_INTERVAL_S)
    assert not calls
