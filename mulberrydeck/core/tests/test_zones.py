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


def listed(now_s, *names):
    vms = tuple(records.VmEntry(name, "z", f"{name}:1") for name in names)
    return events.VmsListed(now_s, vms)


def held_by(name, incarnation, epoch, version=1):
    lease = events.ZoneLease(name, incarnation, epoch)
    return events.ZoneLeaseRead(1.0, version, lease)


def beat(sequence, sent_s=0.0):
    return messages.Heartbeat(
        "i9", sequence, sent_s, -1.0, "z", False, "b:1", "", "", (), 0, ()
    )


def test_absent_lease_is_claimed():
    zone = make_zone()
    zones.lease_read(zone, events.ZoneLeaseRead(1.0, 0, None))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 1
    zones.lease_read(zone, events.ZoneLeaseRead(1.5, 4, claim[0].lease))
    assert zone.epoch == 1


def test_nothing_is_claimed_before_the_object_was_read():
    assert not zones.claim_if_free(make_zone(), make_members(), 1.0, False)


def test_new_holder_waits_until_earlier_loans_have_expired():
    zone = make_zone()
    zones.lease_read(zone, held_by("a", "i1", 2))
    assert zone.usable_from_s == 1.0 + HANDOVER_S


def test_own_lease_of_an_earlier_process_is_claimed_again():
    zone = make_zone()
    zones.lease_read(zone, held_by("a", "i0", 3))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 4


def test_holder_that_is_listed_keeps_its_lease_when_silent():
    zone = make_zone()
    peers = make_members()
    zones.lease_read(zone, held_by("b", "i0", 1))
    members.vms_listed(peers, listed(0.0, "a", "b"))
    members.vms_listed(peers, listed(500.0, "a", "b"))
    assert not zones.claim_if_free(zone, peers, 500.0, leaving=False)


def test_holder_that_is_heard_keeps_its_lease_when_unlisted():
    zone = make_zone()
    peers = make_members()
    zones.lease_read(zone, held_by("b", "i0", 1))
    members.vms_listed(peers, listed(0.0, "a", "b"))
    members.vms_listed(peers, listed(1.0, "a"))
    members.receive_heartbeat(peers, 5.0, "b", beat(1))
    assert not zones.claim_if_free(zone, peers, 6.0, leaving=False)


@pytest.mark.parametrize(("now_s", "claims"), [(3.9, 0), (4.1, 1)])
def test_missing_and_silent_holder_is_replaced_after_the_delay(now_s, claims):
    zone = make_zone()
    peers = make_members()
    zones.lease_read(zone, held_by("b", "i0", 1))
    members.vms_listed(peers, listed(0.0, "a", "b"))
    members.vms_listed(peers, listed(1.0, "a"))
    claimed = zones.claim_if_free(zone, peers, now_s, leaving=False)
    assert len(claimed) == claims


def test_released_lease_is_claimed_with_the_next_epoch():
    zone = make_zone()
    zones.lease_read(zone, held_by("", "", 7))
    claim = zones.claim_if_free(zone, make_members(), 1.0, leaving=False)
    assert claim[0].lease.epoch == 8


def test_stale_reading_is_ignored():
    zone = make_zone()
    zones.lease_read(zone, held_by("a", "i1", 5, version=9))
    assert not zones.lease_read(zone, held_by("b", "i0", 4, version=8))
    assert zone.epoch == 5


def test_higher_epoch_of_a_peer_fences_this_holder():
    zone = make_zone()
    zones.lease_read(zone, held_by("a", "i1", 5))
    assert not zones.fenced_by(zone, 5)
    assert zones.fenced_by(zone, 6)
    assert zone.epoch == 0
