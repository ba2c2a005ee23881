"""Tests of the zone lease."""

import pytest

from mulberrydeck.core import events
from mulberrydeck.core import members
from mulberrydeck.core import zones
from mulberrydeck.peers import messages
from mulberrydeck.platformapi import records

TAKEOVER_S = 3.0
HANDOVER_S = 6.0


def make_zone():
    return zones.ZoneState("z", "a", "i1", TAKEOVER_S, HANDOVER_S)


def make_members():
    return members.MembersState("a", peer_timeout_s=4.0)


def vm_list(now_s, *names):
    vms = tuple(records.VmEntry(name, "z", f"{name}:1") for name in names)
    return events.VmsListed(now_s, vms)


def lease_of(name, incarnation, epoch, version=1):
    lease = events.ZoneLease(name, incarnation, epoch)
    return events.ZoneLeaseRead(1.0, version, lease)


def make_heartbeat(sequence, sent_s=0.0):
    return messages.Heartbeat(
        "i9", sequence, sent_s, -1.0, "z", False, "b:1", "", "", (), 0, ()
    )


def test_absent_lease_is_claimed():
    zone = make_zone()
    zones.apply_lease(zone, events.ZoneLeaseRead(1.0, 0, None))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 1
    zones.apply_lease(zone, events.ZoneLeaseRead(1.5, 4, claim[0].lease))
    assert zone.epoch == 1


def test_lease_is_not_claimed_before_it_was_read():
    assert not zones.claim_if_free(make_zone(), make_members(), 1.0, False)


def test_quota_of_a_new_holder_is_usable_after_earlier_loans_have_expired():
    zone = make_zone()
    zones.apply_lease(zone, lease_of("a", "i1", 2))
    assert zone.usable_from_s == 1.0 + HANDOVER_S


def test_lease_of_an_earlier_process_on_this_vm_is_claimed():
    zone = make_zone()
    zones.apply_lease(zone, lease_of("a", "i0", 3))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 4


def test_listed_holder_keeps_its_lease_when_unreachable():
    zone = make_zone()
    peers = make_members()
    zones.apply_lease(zone, lease_of("b", "i0", 1))
    members.apply_vm_list(peers, vm_list(0.0, "a", "b"))
    members.apply_vm_list(peers, vm_list(500.0, "a", "b"))
    assert not zones.claim_if_free(zone, peers, 500.0, leaving=False)


def test_live_holder_keeps_its_lease_when_unlisted():
    zone = make_zone()
    peers = make_members()
    zones.apply_lease(zone, lease_of("b", "i0", 1))
    members.apply_vm_list(peers, vm_list(0.0, "a", "b"))
    members.apply_vm_list(peers, vm_list(1.0, "a"))
    members.record_heartbeat(peers, 5.0, "b", make_heartbeat(1))
    assert not zones.claim_if_free(zone, peers, 6.0, leaving=False)


@pytest.mark.parametrize(("now_s", "claims"), [(3.9, 0), (4.1, 1)])
def test_unlisted_and_unreachable_holder_is_replaced_after_the_delay(
    now_s, claims
):
    zone = make_zone()
    peers = make_members()
    zones.apply_lease(zone, lease_of("b", "i0", 1))
    members.apply_vm_list(peers, vm_list(0.0, "a", "b"))
    members.apply_vm_list(peers, vm_list(1.0, "a"))
    claimed = zones.claim_if_free(zone, peers, now_s, leaving=False)
    assert len(claimed) == claims


def test_released_lease_is_claimed_with_the_next_epoch():
    zone = make_zone()
    zones.apply_lease(zone, lease_of("", "", 7))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 8


def test_outdated_read_of_the_lease_is_ignored():
    zone = make_zone()
    zones.apply_lease(zone, lease_of("a", "i1", 5, version=9))
    assert not zones.apply_lease(zone, lease_of("b", "i0", 4, version=8))
    assert zone.epoch == 5


def test_holder_steps_down_when_a_peer_holds_a_higher_epoch():
    zone = make_zone()
    zones.apply_lease(zone, lease_of("a", "i1", 5))
    assert not zones.step_down_if_fenced(zone, 5)
    assert zones.step_down_if_fenced(zone, 6)
    assert zone.epoch == 0
