"""Handling of control events: peers, platform, documents and timer."""

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


def started(state: core_state.State, event: events.Started) -> Effects:
    """Connects to the seeds of the settings."""
    state.platform_answered_s = event.at_s
    return list(members.add_seeds(state.members, state.settings.seeds))


def vms_listed(state: core_state.State, event: events.VmsListed) -> Effects:
    """Takes the platform's list of VMs into account."""
    state.platform_answered_s = event.at_s
    produced = members.vms_listed(state.members, event)
    _forget_loads(state)
    return produced + _after_membership(state)


def _forget_loads(state: core_state.State) -> None:
    """Drops what was reported by VMs that are gone or moved elsewhere."""
    for name in tuple(state.routing.peers.by_vm):
        peer = state.members.peers.get(name)
        if peer is None or peer.heartbeat is None:
            peer_index.remove(state.routing.peers, name)


def _after_membership(state: core_state.State) -> Effects:
    _set_lenders(state)
    return zones.claim_if_free(
        state.zone, state.members, state.now_s, state.leaving
    )


def _set_lenders(state: core_state.State) -> None:
    """Tells the quota part which zone holders can lend, nearest first."""
    own = ""
    near = []
    far = []
    for peer in state.members.live_peers(state.now_s):
        if not peer.heartbeat.holder_epoch:
            continue
        if peer.zone == state.settings.zone:
            own = peer.name
        elif _is_near(state, peer.zone):
            near.append(peer.name)
        else:
            far.append(peer.name)
    quota.set_lenders(state.quota, own, (*near, *far))


def _is_near(state: core_state.State, zone: str) -> bool:
    """Returns whether a zone lies in this VM's region."""
    active = state.configuration
    if active is None:
        return False
    return active.region_of(zone) == active.region_of(state.settings.zone)


def document_read(
    state: core_state.State, event: events.DocumentRead
) -> Effects:
    """Takes a document from the platform."""
    state.platform_answered_s = event.at_s
    return _offer(state, event.name, event.version, event.content, event.at_s)


def platform_confirmed(
    state: core_state.State, event: events.PlatformConfirmed
) -> Effects:
    """Records that the platform holds no newer document."""
    state.platform_answered_s = event.at_s
    documents.confirm(state.documents, event.name, event.version, event.at_s)
    return []


def _offer(
    state: core_state.State,
    name: str,
    version: int,
    content: bytes,
    confirmed_at_s: float,
) -> Effects:
    held = state.documents.by_name.get(name)
    if held is None or version <= held.version:
        documents.offer(state.documents, name, version, content, confirmed_at_s)
        return []
    try:
        prepared = _prepare(state, name, version, content)
    except errors.MulberrydeckError as error:
        text = f"Document {name} {version} is not usable: {error}"
        return [effects.Log("documents", text)]
    documents.offer(state.documents, name, version, content, confirmed_at_s)
    match prepared:
        case compiled.CompiledConfiguration():
            _apply_configuration(state, prepared)
        case keyring.KeyIndex():
            state.key_index = prepared
    applied = effects.Log("documents", f"Applied {name} version {version}.")
    return [applied, *_heartbeats(state)]


def _prepare(
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


def lease_read(state: core_state.State, event: events.ZoneLeaseRead) -> Effects:
    """Takes a reading of the zone's lease."""
    state.platform_answered_s = event.at_s
    epoch_before = state.zone.epoch
    if zones.lease_read(state.zone, event):
        shares.apply(state)
    produced = _after_membership(state)
    epoch = state.zone.epoch
    if epoch == epoch_before:
        return produced
    text = f"Holds the zone lease, epoch {epoch}." if epoch else "Lost it."
    return [*produced, effects.Log("zone", text), *_heartbeats(state)]


def peer_received(
    state: core_state.State, event: events.PeerReceived
) -> Effects:
    """Handles one message of a peer."""
    now_s = event.at_s
    sender = event.sender
    match event.message:
        case messages.Heartbeat() as beat:
            return _heartbeat(state, sender, beat)
        case messages.DocumentRequest() as request:
            return documents.reply(state.documents, now_s, sender, request)
        case messages.DocumentResponse() as reply:
            return _offer(
                state,
                reply.name,
                reply.version,
                reply.content,
                now_s - reply.age_s,
            )
        case (
            messages.TargetGrant()
            | messages.TargetRelease()
            | messages.TargetClaim() as message
        ):
            return routing.receive(state.routing, now_s, sender, message)
        case message:
            return list(quota.receive(state.quota, now_s, sender, message))


def _heartbeat(
    state: core_state.State, sender: str, beat: messages.Heartbeat
) -> Effects:
    held_epoch = _held_epoch(state, sender)
    produced = members.receive_heartbeat(
        state.members, state.now_s, sender, beat
    )
    _record_loads(state, sender, beat)
    produced += documents.compare(
        state.documents, state.now_s, sender, beat.documents
    )
    same_zone = beat.zone == state.settings.zone
    if same_zone and beat.holder_epoch:
        produced += _holder_heard(state, sender, beat.holder_epoch)
    if beat.holder_epoch != held_epoch:
        _set_lenders(state)
    return produced


def _held_epoch(state: core_state.State, name: str) -> int:
    peer = state.members.peers.get(name)
    if peer is None or peer.heartbeat is None:
        return 0
    return peer.heartbeat.holder_epoch


def _record_loads(
    state: core_state.State, sender: str, beat: messages.Heartbeat
) -> None:
    peer = state.members.peers.get(sender)
    if peer is None or peer.heartbeat is not beat:
        return
    report = peer_index.PeerReport(
        vm=sender,
        zone=beat.zone,
        loads=() if beat.leaving else beat.loads,
        reported_s=state.now_s,
        full_links=beat.full_links,
    )
    peer_index.record(state.routing.peers, report)


def _holder_heard(state: core_state.State, sender: str, epoch: int) -> Effects:
    produced: Effects = []
    if zones.fenced_by(state.zone, epoch):
        shares.apply(state)
        produced.append(effects.Log("zone", "A peer holds a later epoch."))
    produced += routing.observe_epoch(state.routing, state.now_s, sender, epoch)
    return produced


def tick(state: core_state.State, event: events.Tick) -> Effects:
    """Does all periodic work that is due."""
    produced: Effects = []
    produced += quota.tick(state.quota, event.at_s)
    produced += routing.tick(state.routing, event.at_s)
    produced += _assign_targets(state)
    if event.at_s >= state.members.next_heartbeat_s:
        produced += _second(state)
    return produced


def _second(state: core_state.State) -> Effects:
    """Does the work of one heartbeat interval."""
    now_s = state.now_s
    interval_s = state.settings.heartbeat_interval_s
    state.members.next_heartbeat_s = now_s + interval_s
    produced = members.redial_silent(state.members, now_s)
    produced += shares.finish_division(state)
    produced += _after_membership(state)
    return produced + _heartbeats(state)


def _assign_targets(state: core_state.State) -> Effects:
    """Grants targets as the zone holder; the routing part waits itself."""
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
        own = routing_state.ZoneMember(state.settings.name, state.now_s)
        zone_members.append(own)
    for peer in state.members.live_peers(state.now_s):
        if peer.zone == state.settings.zone and not peer.leaving:
            sent_s = peer.heartbeat.sent_s
            zone_members.append(routing_state.ZoneMember(peer.name, sent_s))
    return tuple(zone_members)


def _heartbeats(state: core_state.State) -> Effects:
    """Sends a heartbeat to every peer."""
    state.members.sequence += 1
    common = _heartbeat_message(state)
    produced = []
    for peer in state.members.peers.values():
        echo_s = peer.heartbeat.sent_s if peer.heartbeat else -1.0
        beat = attrs.evolve(common, echo_s=echo_s)
        produced.append(quota_effects.SendMessage(peer.name, beat))
    return produced


def _heartbeat_message(state: core_state.State) -> messages.Heartbeat:
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


def link_needed(state: core_state.State, event: events.LinkNeeded) -> Effects:
    """Asks for quota at once, since a request waits for it."""
    return list(quota.tick(state.quota, event.at_s))


def target_polled(
    state: core_state.State, event: events.TargetPolled
) -> Effects:
    """Takes a target's report into account."""
    return routing.handle_poll_result(state.routing, event.at_s, event)


def stop_requested(
    state: core_state.State, event: events.StopRequested
) -> Effects:
    """Starts a planned stop: others take over before this VM ends."""
    del event
    if state.leaving:
        return []
    state.leaving = True
    produced = _heartbeats(state)
    if _has_zone_peer(state):
        produced += routing.stop(state.routing, state.now_s)
    return produced


def _has_zone_peer(state: core_state.State) -> bool:
    """Returns whether another VM can take over this VM's targets."""
    return any(
        peer.zone == state.settings.zone and not peer.leaving
        for peer in state.members.live_peers(state.now_s)
    )


def stop_finished(
    state: core_state.State, event: events.StopFinished
) -> Effects:
    """Gives everything back when the last request has ended."""
    del event
    produced = list(quota.return_all_loans(state.quota, state.now_s))
    produced += zones.release(state.zone)
    return [*produced, effects.Exit()]
