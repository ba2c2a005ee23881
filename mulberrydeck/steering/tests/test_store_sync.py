"""How a VM applies lists, changes and updates of other VMs, in any order."""

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
from mulberrydeck.steering import mirrors
from mulberrydeck.steering import store_kinds
from mulberrydeck.steering import store_sync
from mulberrydeck.steering import sync_plans

KIND = documents.EVACUATIONS_KIND
DIRECT = sync_plans.SyncPlan()
LEADS = sync_plans.SyncPlan(shared=True, leads=True)


class FakeStore:
    """Store whose responses a test sets; watches get no changes."""

    def __init__(self):
        self.listing = stores.Listing((), (), 1)
        self.error = None
        self.watch_revisions = []
        self.remaining_failures = 0
        self.list_calls = 0

    def list(self, kind):
        self.list_calls += 1
        if self.listing is None:
            gevent.sleep(60.0)
        return result.Success(self.listing)

    def watch(self, kind, since, wait_s, stale=False):
        self.watch_revisions.append(since)
        if self.remaining_failures:
            self.remaining_failures -= 1
            error = errors.PlatformUnavailableError("cut")
            return result.Failure(error)
        gevent.sleep(wait_s)
        return result.Success(stores.Changes((), (), since))

    def check(self, timeout_s):
        if self.error is not None:
            return result.Failure(self.error)
        return result.Success(None)


class FakeLoop:
    """Event loop that collects the submitted events."""

    def __init__(self):
        self.time_s = 100.0
        self.submitted = []
        self.submit = self.submitted.append

    def now_s(self):
        return self.time_s


class FakeReports:
    """Collects the texts of log lines."""

    def __init__(self):
        self.texts = []

    def write(self, part, text, **fields):
        self.texts.append(text)


class SyncedVm:
    """A VM's synchronization with the store, for one kind of object."""

    def __init__(self, plan=DIRECT):
        self.store = FakeStore()
        self.loop = FakeLoop()
        self.reports = FakeReports()
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
            watched_kind
            for watched_kind in store_kinds.StoreKinds(
                self.reports
            ).request_kinds()
            if watched_kind.kind == KIND
        )
        if plan.decided:
            self.apply(plan)
        self.sync.add(self.watched_kind)
        self.run_greenlets()

    def _spawn(self, function):
        greenlet = gevent.spawn(function)
        self.greenlets.append(greenlet)
        return greenlet

    def run_greenlets(self, seconds=0.0):
        gevent.sleep(seconds)

    def apply(self, plan):
        self.sync.apply(effects.FollowStore(plan))
        self.run_greenlets()

    def apply_list(self, revision, *names):
        listing = stores.Listing(objects(revision, names), (), revision)
        origin = self.sync.store_origin()
        self.sync.apply_list(self.watched_kind, listing, origin)

    def apply_changes(self, revision, name, deleted=False):
        (stored,) = objects(revision, [name])
        update = stores.Changes((stores.Change(stored, deleted),), (), revision)
        self.sync.apply_changes(
            self.watched_kind, update, self.sync.store_origin()
        )

    def evacuated_zones(self):
        zones = [
            event.zones
            for event in self.loop.submitted
            if isinstance(event, events.ZonesEvacuated)
        ]
        return set(zones[-1]) if zones else set()


def objects(revision, names):
    return tuple(
        documents.decode_stored_object(
            json.dumps({"Metadata": {"Name": name, "Revision": revision}})
        )
        for name in names
    )


@pytest.fixture(name="vm")
def fixture_vm():
    vm = SyncedVm()
    yield vm
    gevent.killall(vm.greenlets)


@pytest.fixture(name="starting_vm")
def fixture_starting_vm():
    """A VM that does not know the other VMs yet."""
    vm = SyncedVm(sync_plans.UNDECIDED)
    yield vm
    gevent.killall(vm.greenlets)


def test_starting_vm_that_leads_lists_once(starting_vm):
    starting_vm.apply_changes(5, "east")
    starting_vm.apply(LEADS)
    starting_vm.run_greenlets(0.01)
    assert starting_vm.store.list_calls == 1
    assert starting_vm.sync.feed_server.mirrors[KIND].revision == 1


def test_starting_vm_that_follows_keeps_no_copies(starting_vm):
    starting_vm.run_greenlets(0.01)
    starting_vm.apply(
        sync_plans.SyncPlan("coast-a-1", direct=True, shared=True)
    )
    assert not starting_vm.sync.feed_server.mirrors
    starting_vm.apply(LEADS)
    starting_vm.run_greenlets(0.01)
    assert starting_vm.store.list_calls == 2
    assert starting_vm.sync.feed_server.mirrors[KIND].revision == 1


def test_starting_vm_rests_after_changes_like_vms_of_a_large_fleet(starting_vm):
    (targets,) = (
        kind
        for kind in store_kinds.StoreKinds(None).request_kinds()
        if kind.kind == documents.TARGETS_KIND
    )
    pause_s = starting_vm.sync.pause_s(targets)
    assert pause_s == store_sync.DIRECT_PAUSE_S
    starting_vm.apply(DIRECT)
    assert starting_vm.sync.pause_s(targets) == targets.pause_s


def test_outdated_list_does_not_revert_newer_changes(vm):
    vm.apply_list(5, "east")
    vm.apply_changes(9, "east", deleted=True)
    vm.apply_list(7, "east")
    assert vm.evacuated_zones() == set()
    vm.apply_list(11, "west")
    assert vm.evacuated_zones() == {"west"}


def test_outdated_changes_do_not_revert_newer_ones(vm):
    vm.apply_list(5)
    vm.apply_changes(7, "east")
    vm.apply_changes(9, "east", deleted=True)
    vm.apply_changes(7, "east")
    assert vm.evacuated_zones() == set()


def test_objects_missing_from_a_full_part_are_removed(vm):
    vm.apply_list(5, "east", "west")
    part = feed_messages.FeedPart(
        KIND,
        mirrors.ALL_OBJECTS,
        9,
        tuple(
            feed_messages.EncodedObject(
                documents.encode_stored_object(stored), False
            )
            for stored in objects(8, ["north"])
        ),
        kept=("west",),
    )
    vm.sync.apply_part(part, feeds.Origin("coast-a-1", vm.loop.now_s()))
    assert vm.evacuated_zones() == {"west", "north"}
    assert vm.sync.revisions[KIND] == 9


def test_vm_with_stale_source_watches_from_its_known_revision(vm):
    vm.apply_list(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.watch_revisions.clear()
    list_calls = vm.store.list_calls
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    assert vm.store.watch_revisions == [5]
    assert vm.store.list_calls == list_calls


def test_new_leader_lists_all_objects(vm):
    vm.apply_list(5, "east")
    vm.store.listing = stores.Listing(objects(4, ["west"]), (), 7)
    vm.apply(LEADS)
    assert vm.sync.feed_server.mirrors[KIND].revision == 7
    assert vm.evacuated_zones() == {"west"}


def test_changes_after_the_vm_stopped_leading_are_kept(vm):
    vm.apply(LEADS)
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.apply_changes(9, "east")
    (stored,) = objects(9, ["east"])
    update = stores.Changes((stores.Change(stored, False),), (), 9)
    vm.sync.feed_server.apply_changes(KIND, update)
    assert vm.evacuated_zones() == {"east"}


def test_failed_and_successful_checks_report_the_store(vm):
    vm.store.error = errors.PlatformUnavailableError("cut")
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    (lost,) = (
        event
        for event in vm.loop.submitted
        if isinstance(event, events.StoreLost)
    )
    assert lost.kind == store_sync.CHECK_KIND
    vm.store.error = None
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert any(
        isinstance(event, events.StoreRegained) for event in vm.loop.submitted
    )


def test_watches_are_replaced_after_an_outage(vm):
    vm.apply_list(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.error = errors.PlatformUnavailableError("silent")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.store.watch_revisions.clear()
    vm.store.error = None
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert vm.store.watch_revisions == [5]


def test_only_checks_are_sent_to_an_unreachable_store(vm):
    vm.apply_list(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.store.error = errors.PlatformUnavailableError("cut")
    vm.store.remaining_failures = 1000
    vm.store.watch_revisions.clear()
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.run_greenlets(1.0)
    assert len(vm.store.watch_revisions) <= 2
    vm.store.error = None
    vm.store.remaining_failures = 0
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert not vm.sync.lost_since_s


def test_vm_that_does_not_lead_pauses_longer_after_changes(vm):
    (targets,) = (
        watched_kind
        for watched_kind in store_kinds.StoreKinds(vm.reports).request_kinds()
        if watched_kind.kind == documents.TARGETS_KIND
    )
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    assert vm.sync.pause_s(targets) == store_sync.DIRECT_PAUSE_S
    assert vm.sync.pause_s(vm.watched_kind) == 0.0
    vm.apply(LEADS)
    assert vm.sync.pause_s(targets) == targets.pause_s


def test_lost_kind_is_regained_by_the_next_watch(vm):
    vm.sync.call_failed(KIND, errors.PlatformUnavailableError("cut"))
    vm.apply(LEADS)
    regained_kinds = [
        event.kind
        for event in vm.loop.submitted
        if isinstance(event, events.StoreRegained)
    ]
    assert regained_kinds == [KIND]


def test_return_of_the_store_is_detected_without_changes(vm):
    vm.store.remaining_failures = 1
    vm.apply_list(5, "east")
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=True, shared=True))
    vm.run_greenlets(2 * backoff.RETRY_DELAY_S)
    lost, regained = (
        [
            event.kind
            for event in vm.loop.submitted
            if isinstance(event, event_type)
        ]
        for event_type in (events.StoreLost, events.StoreRegained)
    )
    assert lost == regained == [KIND]


def test_vm_that_lost_the_store_declines_at_once(vm):
    vm.sync.call_failed(KIND, errors.PlatformUnavailableError("cut"))
    vm.sync.handle_request("coast-a-2", feed_messages.FeedRequest((), 1.0))
    ((to, response),) = vm.sent
    assert (to, response.checked_age_s) == ("coast-a-2", None)


def test_watches_are_restarted_after_a_stall(vm):
    vm.apply(LEADS)
    vm.store.watch_revisions.clear()
    vm.loop.time_s += store_sync.STALL_S + 2.0
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert "Watching anew." in vm.reports.texts
    assert vm.store.watch_revisions == [1]


def test_restart_before_the_first_list_lists_again(vm):
    vm.apply_list(5, "east")
    vm.store.listing = None
    vm.apply(LEADS)
    vm.store.listing = stores.Listing((), (), 7)
    vm.sync.restart_watches()
    vm.run_greenlets()
    assert vm.sync.feed_server.mirrors[KIND].revision == 7


def test_leaders_watches_detect_a_silent_connection_in_time(vm):
    # ConfigApplyMs and DrainMs in fleets where VMs lead.
    propagation_s = 3.0
    evacuation_propagation_s = 5.0
    max_propagation_s = {
        documents.CONFIGURATION_KIND: propagation_s,
        documents.TARGETS_KIND: propagation_s,
        documents.EVACUATIONS_KIND: evacuation_propagation_s,
    }
    vm.apply(LEADS)
    for watched_kind in store_kinds.StoreKinds(vm.reports).request_kinds():
        wait_s = vm.sync.watch_wait_s(watched_kind)
        assert (
            wait_s + stores.WATCH_MARGIN_S
            < max_propagation_s[watched_kind.kind]
        )


def test_silent_store_is_detected_in_a_small_fleet(vm):
    assert vm.sync.plan == sync_plans.SyncPlan()
    checked = [
        event
        for event in vm.loop.submitted
        if isinstance(event, events.StoreChecked)
    ]
    assert checked
    vm.store.error = errors.PlatformUnavailableError("silent")
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert store_sync.CHECK_KIND in vm.sync.lost_since_s


def test_vm_that_relies_on_another_sends_no_checks(vm):
    vm.apply(sync_plans.SyncPlan("coast-a-1", direct=False, shared=True))
    calls = []
    vm.store.check = calls.append
    vm.run_greenlets(1.5 * store_sync.CHECK_INTERVAL_S)
    assert not calls
