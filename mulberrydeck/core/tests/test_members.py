"""Tests of membership."""

import attrs

from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import members
from mulberrydeck.peers import messages
from mulberrydeck.platformapi import records


def make_state():
    return members.MembersState("a", peer_timeout_s=4.0)


def make_heartbeat(sequence, incarnation="i", echo_s=-1.0):
    return messages.Heartbeat(
        incarnation, sequence, 0.0, echo_s, "z", False, "b:1", "", "", (), 0, ()
    )


def vm_list(now_s, *names):
    vms = tuple(records.VmEntry(name, "z", f"{name}:1") for name in names)
    return events.VmsListed(now_s, vms)


def test_unlisted_sender_becomes_a_peer():
    state = make_state()
    produced = members.record_heartbeat(state, 1.0, "b", make_heartbeat(1))
    assert produced == [effects.ConnectPeer("b", "b:1")]
    assert state.is_alive("b", 2.0)


def test_late_heartbeat_of_the_same_process_is_dropped():
    state = make_state()
    members.record_heartbeat(state, 1.0, "b", make_heartbeat(5))
    members.record_heartbeat(state, 9.0, "b", make_heartbeat(4))
    assert not state.is_alive("b", 9.0)


def test_new_process_starts_its_own_sequence():
    state = make_state()
    members.record_heartbeat(state, 1.0, "b", make_heartbeat(5))
    members.record_heartbeat(
        state, 9.0, "b", make_heartbeat(1, incarnation="j")
    )
    assert state.is_alive("b", 9.0)


def test_unlisted_peer_is_removed_only_when_unreachable():
    state = make_state()
    members.apply_vm_list(state, vm_list(0.0, "a", "b"))
    members.record_heartbeat(state, 9.0, "b", make_heartbeat(1))
    members.apply_vm_list(state, vm_list(1.0, "a"))
    assert not members.apply_vm_list(state, vm_list(10.0, "a"))
    removed = members.apply_vm_list(state, vm_list(20.0, "a"))
    assert removed == [effects.DisconnectPeer("b")]


def test_peer_that_acknowledges_no_heartbeats_is_reconnected():
    state = make_state()
    members.apply_vm_list(state, vm_list(0.0, "a", "b"))
    members.record_heartbeat(state, 9.0, "b", make_heartbeat(1, echo_s=1.0))
    produced = members.reconnect_unacknowledged(state, 9.0)
    assert effects.ConnectPeer("b", "b:1") in produced
    assert members.reconnect_unacknowledged(state, 9.5) == []


def test_connection_with_acknowledged_heartbeats_is_kept():
    state = make_state()
    members.apply_vm_list(state, vm_list(0.0, "a", "b"))
    members.record_heartbeat(state, 9.0, "b", make_heartbeat(1, echo_s=8.9))
    assert members.reconnect_unacknowledged(state, 9.0) == []


def test_listed_address_takes_precedence_over_heartbeats():
    state = make_state()
    members.apply_vm_list(state, vm_list(0.0, "a", "b"))
    other = attrs.evolve(make_heartbeat(1), peer_address="elsewhere:1")
    assert members.record_heartbeat(state, 1.0, "b", other) == []
    assert members.apply_vm_list(state, vm_list(2.0, "a", "b")) == []
    assert state.is_alive("b", 2.0)
