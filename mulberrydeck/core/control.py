"""Handlers of control events: peers, platform, targets, timer and stop."""

import attrs

from mulberrydeck import errors
from mulberrydeck.core import documents
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import members
from mulberrydeck.core import shares
from mulberrydeck.core import state as core_state
from mulberrydeck.core import zones
from mulberrydeck.keys import keyring
from mulberrydeck.model import compiled
from mulberrydeck.model import loading
from mulberrydeck.peers import messages
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.routing import peer_index
from mulberrydeck.routing import reducer as routing
from mulberrydeck.routing import state as routing_state

Effects = list[object]


def handle_start(state: core_state.State, event: events.Started) -> Effects:
    """Connects to the seeds in the settings."""
    state.platform_responded_s = event.at_s
    return list(members.add_seeds(state.members, state.settings.seeds))


def handle_vm_list(state: core_state.State, event: events.VmsListed) -> Effects:
    """Applies the platform's list of VMs to the membership."""
    state.platform_responded_s = event.at_s
    produced = members.apply_vm_list(state.members, event)
    _remove_stale_loads(state)
    return produced + _react_to_membership(state)


def _remove_stale_loads(state: core_state.State) -> None:
    """Removes the loads of VMs that were removed or changed their address."""
    for name in tuple(state.routing.peers.by_vm):
        peer = state.members.peers.get(name)
        if peer is None or peer.heartbeat is None:
            peer_index.remove(state.routing.peers, name)


def _react_to_membership(state: core_state.State) -> Effects:
    _set_lenders(state)
    return zones.claim_if_free(
        state.zone, state.members, state.now_s, state.leaving
    )


def _set_lenders(state: core_state.State) -> None:
    """Passes the zone holders that may lend to the quota subsystem.

    The nearest come first.
    """
    zone_holder = ""
    same_region = []
    other_regions = []
    for peer in state.members.live_peers(state.now_s):
        if not peer.heartbeat.holder_epoch:
            continue
        if peer.zone == state.settings.zone:
            zone_holder = peer.name
        elif _is_in_own_region(state, peer.zone):
            same_region.append(peer.name)
        else:
            other_regions.append(peer.name)
    quota.set_lenders(state.quota, zone_holder, (*same_region, *other_regions))


def _is_in_own_region(state: core_state.State, zone: str) -> bool:
    """Returns whether a zone belongs to this VM's region."""
    active = state.configuration
    if active is None:
        return False
    return active.region_of(zone) == active.region_of(state.settings.zone)


def handle_document(
    state: core_state.State, event: events.DocumentRead
) -> Effects:
    """Applies a document that was read from the platform."""
    state.platform_responded_s = event.at_s
    return _apply_document(
        state, event.name, event.version, event.content, event.at_s
    )


def handle_confirmation(
    state: core_state.State, event: events.DocumentConfirmed
) -> Effects:
    """Records that the platform holds no newer version of a document."""
    state.platform_responded_s = event.at_s
    documents.record_confirmation(
        state.documents, event.name, event.version, event.at_s
    )
    return []


def _apply_document(
    state: core_state.State,
    name: str,
    version: int,
    content: bytes,
    confirmed_at_s: float,
) -> Effects:
    current = state.documents.by_name.get(name)
    if current is None or version <= current.version:
        documents.apply_if_newer(
            state.documents, name, version, content, confirmed_at_s
        )
        return []
    try:
        decoded = _decode_document(state, name, version, content)
    except errors.MulberrydeckError as error:
        text = f"Rejected {name} version {version}: {error}"
        return [effects.Log("documents", text)]
    documents.apply_if_newer(
        state.documents, name, version, content, confirmed_at_s
    )
    match decoded:
        case compiled.CompiledConfiguration():
            _apply_configuration(state, decoded)
        case keyring.KeyIndex():
            state.key_index = decoded
    applied = effects.Log("documents", f"Applied {name} version {version}.")
    return [applied, *_send_heartbeats(state)]


def _decode_document(
    state: core_state.State, name: str, version: int, content: bytes
) -> compiled.CompiledConfiguration | keyring.KeyIndex:
    if name == "config":
        return compiled.compile_configuration(
            loading.decode(content), version, state.configuration
        )
    return keyring.KeyIndex(keyring.decode(content))


def _apply_configuration(
    state: core_state.State, active: compiled.CompiledConfiguration
) -> None:
    state.configuration = active
    routing.configure(state.routing, state.now_s, active)
    shares.apply(state)


def handle_zone_lease(
    state: core_state.State, event: events.ZoneLeaseRead
) -> Effects:
    """Applies the zone lease as read from the platform."""
    state.platform_responded_s = event.at_s
    epoch_before = state.zone.epoch
    if zones.apply_lease(state.zone, event):
        shares.apply(state)
    produced = _react_to_membership(state)
    epoch = state.zone.epoch
    if epoch == epoch_before:
        return produced
    text = (
        f"Acquired the zone lease, epoch {epoch}."
        if epoch
        else "No longer holds the zone lease."
    )
    return [*produced, effects.Log("zone", text), *_send_heartbeats(state)]


def handle_peer_message(
    state: core_state.State, event: events.PeerReceived
) -> Effects:
    """Handles a message from a peer."""
    now_s = event.at_s
    sender = event.sender
    match event.message:
        case messages.Heartbeat() as heartbeat:
            return _handle_heartbeat(state, sender, heartbeat)
        case messages.DocumentRequest() as request:
            return documents.respond(state.documents, now_s, sender, request)
        case messages.DocumentResponse() as response:
            return _apply_document(
                state,
                response.name,
                response.version,
                response.content,
                now_s - response.age_s,
            )
        case (
            messages.TargetGrant()
            | messages.TargetRelease()
            | messages.TargetClaim() as message
        ):
            return routing.receive(state.routing, now_s, sender, message)
        case message:
            return list(quota.receive(state.quota, now_s, sender, message))


def _handle_heartbeat(
    state: core_state.State, sender: str, heartbeat: messages.Heartbeat
) -> Effects:
    earlier_epoch = _reported_holder_epoch(state, sender)
    produced = members.record_heartbeat(
        state.members, state.now_s, sender, heartbeat
    )
    _record_loads(state, sender, heartbeat)
    produced += documents.request_newer(
        state.documents, state.now_s, sender, heartbeat.documents
    )
    same_zone = heartbeat.zone == state.settings.zone
    if same_zone and heartbeat.holder_epoch:
        produced += _handle_holder_epoch(state, sender, heartbeat.holder_epoch)
    if heartbeat.holder_epoch != earlier_epoch:
        _set_lenders(state)
    return produced


def _reported_holder_epoch(state: core_state.State, name: str) -> int:
    peer = state.members.peers.get(name)
    if peer is None or peer.heartbeat is None:
        return 0
    return peer.heartbeat.holder_epoch


def _record_loads(
    state: core_state.State, sender: str, heartbeat: messages.Heartbeat
) -> None:
    peer = state.members.peers.get(sender)
    if peer is None or peer.heartbeat is not heartbeat:
        return
    report = peer_index.PeerReport(
        vm=sender,
        zone=heartbeat.zone,
        loads=() if heartbeat.leaving else heartbeat.loads,
        reported_s=state.now_s,
        full_links=heartbeat.full_links,
    )
    peer_index.record(state.routing.peers, report)


def _handle_holder_epoch(
    state: core_state.State, sender: str, epoch: int
) -> Effects:
    produced: Effects = []
    if zones.step_down_if_fenced(state.zone, epoch):
        shares.apply(state)
        produced.append(
            effects.Log(
                "zone",
                "Stepped down; a peer holds the zone lease in a later epoch.",
            )
        )
    produced += routing.observe_epoch(state.routing, state.now_s, sender, epoch)
    return produced


def handle_tick(state: core_state.State, event: events.Tick) -> Effects:
    """Does the periodic work that is due."""
    produced: Effects = []
    produced += quota.tick(state.quota, event.at_s)
    produced += routing.tick(state.routing, event.at_s)
    produced += _assign_targets(state)
    if event.at_s >= state.members.next_heartbeat_s:
        produced += _do_interval_work(state)
    return produced


def _do_interval_work(state: core_state.State) -> Effects:
    """Does the work that is due once per heartbeat interval."""
    now_s = state.now_s
    interval_s = state.settings.heartbeat_interval_s
    state.members.next_heartbeat_s = now_s + interval_s
    produced = members.reconnect_unacknowledged(state.members, now_s)
    produced += shares.finish_division(state)
    produced += _react_to_membership(state)
    return produced + _send_heartbeats(state)


def _assign_targets(state: core_state.State) -> Effects:
    """Grants the zone's targets to its VMs, on the zone holder only.

    The routing subsystem decides when grants are due.
    """
    if not state.zone.epoch:
        return []
    return routing.assign(
        state.routing, state.now_s, state.zone.epoch, _zone_members(state)
    )


def _zone_members(
    state: core_state.State,
) -> tuple[routing_state.ZoneMember, ...]:
    zone_members = []
    if not state.leaving:
        own_member = routing_state.ZoneMember(state.settings.name, state.now_s)
        zone_members.append(own_member)
    for peer in state.members.live_peers(state.now_s):
        if peer.zone == state.settings.zone and not peer.leaving:
            sent_s = peer.heartbeat.sent_s
            zone_members.append(routing_state.ZoneMember(peer.name, sent_s))
    return tuple(zone_members)


def _send_heartbeats(state: core_state.State) -> Effects:
    """Sends heartbeats to all peers."""
    state.members.sequence += 1
    common = _make_heartbeat(state)
    produced = []
    for peer in state.members.peers.values():
        echo_s = peer.heartbeat.sent_s if peer.heartbeat else -1.0
        heartbeat = attrs.evolve(common, echo_s=echo_s)
        produced.append(quota_effects.SendMessage(peer.name, heartbeat))
    return produced


def _make_heartbeat(state: core_state.State) -> messages.Heartbeat:
    settings = state.settings
    return messages.Heartbeat(
        incarnation=state.incarnation,
        sequence=state.members.sequence,
        sent_s=state.now_s,
        echo_s=-1.0,
        zone=settings.zone,
        leaving=state.leaving,
        peer_address=settings.advertised_peer_address or settings.peer_address,
        caller_address=settings.advertised_caller_address
        or settings.caller_address,
        relay_address=settings.advertised_relay_address
        or settings.relay_address,
        documents=state.documents.versions(state.now_s),
        holder_epoch=state.zone.epoch,
        loads=routing.service_loads(state.routing, state.now_s),
        full_links=quota.exhausted_links(state.quota),
    )


def handle_link_quota_need(
    state: core_state.State, event: events.LinkQuotaNeeded
) -> Effects:
    """Requests loans at once, since a transfer waits for them."""
    return list(quota.tick(state.quota, event.at_s))


def handle_poll_result(
    state: core_state.State, event: events.TargetPolled
) -> Effects:
    """Passes the result of a poll to the routing subsystem."""
    return routing.handle_poll_result(state.routing, event.at_s, event)


def handle_stop_request(
    state: core_state.State, event: events.StopRequested
) -> Effects:
    """Starts a planned stop, in which other VMs take over first.

    Targets are released only if another VM of the zone can take them over.
    """
    del event
    if state.leaving:
        return []
    state.leaving = True
    produced = _send_heartbeats(state)
    if _has_zone_peer(state):
        produced += routing.stop(state.routing, state.now_s)
    return produced


def _has_zone_peer(state: core_state.State) -> bool:
    """Returns whether another VM can take over this VM's targets."""
    return any(
        peer.zone == state.settings.zone and not peer.leaving
        for peer in state.members.live_peers(state.now_s)
    )


def handle_stop_finished(
    state: core_state.State, event: events.StopFinished
) -> Effects:
    """Returns loans and releases the zone lease after the last request."""
    del event
    produced = list(quota.return_all_loans(state.quota, state.now_s))
    produced += zones.release(state.zone)
    return [*produced, effects.Exit()]
