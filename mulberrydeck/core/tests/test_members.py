"""Tests of membership."""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import members
from mulberrydeck.peers import messages
from mulberrydeck.platformapi import records


def make_state():
    return members.MembersState("a", peer_timeout_s=4.0)


def beat(sequence, incarnation="i", echo_s=-1.0):
    return messages.Heartbeat(
        incarnation, sequence, 0.0, echo_s, "z", False, "b:1", "", "", (), 0, ()
    )


def listed(now_s, *names):
    vms = tuple(records.VmEntry(name, "z", f"{name}:1") for name in names)
    return events.VmsListed(now_s, vms)


def test_unlisted_sender_becomes_a_peer():
    state = make_state()
    produced = members.receive_heartbeat(state, 1.0, "b", beat(1))
    assert produced == [effects.ConnectPeer("b", "b:1")]
    assert state.is_alive("b", 2.0)


def test_late_heartbeat_of_the_same_process_is_dropped():
    state = make_state()
    members.receive_heartbeat(state, 1.0, "b", beat(5))
    members.receive_heartbeat(state, 9.0, "b", beat(4))
    assert not state.is_alive("b", 9.0)


def test_new_process_starts_its_own_sequence():
    state = make_state()
    members.receive_heartbeat(state, 1.0, "b", beat(5))
    members.receive_heartbeat(state, 9.0, "b", beat(1, incarnation="j"))
    assert state.is_alive("b", 9.0)


def test_missing_peer_is_forgotten_only_when_silent():
    state = make_state()
    members.vms_listed(state, listed(0.0, "a", "b"))
    members.receive_heartbeat(state, 9.0, "b", beat(1))
    members.vms_listed(state, listed(1.0, "a"))
    assert not members.vms_listed(state, listed(10.0, "a"))
    gone = members.vms_listed(state, listed(20.0, "a"))
    assert gone == [effects.DisconnectPeer("b")]


def test_connection_that_carries_nothing_is_opened_anew():
    state = make_state()
    members.vms_listed(state, listed(0.0, "a", "b"))
    members.receive_heartbeat(state, 9.0, "b", beat(1, echo_s=1.0))
    produced = members.redial_silent(state, 9.0)
    assert effects.ConnectPeer("b", "b:1") in produced
    assert members.redial_silent(state, 9.5) == []


def test_connection_whose_heartbeats_arrive_is_kept():
    state = make_state()
    members.vms_listed(state, listed(0.0, "a", "b"))
    members.receive_heartbeat(state, 9.0, "b", beat(1, echo_s=8.9))
    assert members.redial_silent(state, 9.0) == []


def test_listed_address_goes_before_the_heartbeat_s():
    state = make_state()
    members.vms_listed(state, listed(0.0, "a", "b"))
    other = attrs.evolve(beat(1), peer_address="elsewhere:1")
    assert members.receive_heartbeat(state, 1.0, "b", other) == []
    assert members.vms_listed(state, listed(2.0, "a", "b")) == []
    assert state.is_alive("b", 2.0)
