"""Reducer of a steering VM: applies events to its state and returns effects.

It performs no I/O and reads no clock. The state is changed in place.
"""

from mulberrydeck.peers import messages
from mulberrydeck.quota import configuring
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.quota import reducer as quota
from mulberrydeck.routing import hashing
from mulberrydeck.steering import effects
from mulberrydeck.steering import events
from mulberrydeck.steering import forwarding
from mulberrydeck.steering import headroom
from mulberrydeck.steering import heartbeats
from mulberrydeck.steering import lookup
from mulberrydeck.steering import members
from mulberrydeck.steering import requests
from mulberrydeck.steering import retries
from mulberrydeck.steering import slot_requests
from mulberrydeck.steering import source_selection
from mulberrydeck.steering import stale_pacing
from mulberrydeck.steering import state as states
from mulberrydeck.steering import stopping
from mulberrydeck.steering import targets

Effects = list[object]


def reduce(state: states.State, event: object) -> Effects:
    """Applies an event and returns the effects to carry out.

    Args:
        state: State of this VM, changed in place.
        event: One of the types in `events`.
    """
    state.now_s = event.at_s
    produced = _dispatch(state, event)
    external_effects: Effects = []
    while produced:
        effect = produced.pop(0)
        if isinstance(effect, quota_effects.Raise):
            produced = [*_apply_quota_event(state, effect.event), *produced]
        else:
            external_effects.append(effect)
    return external_effects


def _apply_quota_event(state: states.State, event: object) -> Effects:
    match event:
        case quota_effects.QuotaDecided():
            return requests.quota_decided(
                state, event.request_id, event.admitted, event.retry_after_s
            )
    return []


def _dispatch(state: states.State, event: object) -> Effects:
    match event:
        case events.RequestArrived():
            return requests.arrived(state, event)
        case events.AttemptEnded():
            return requests.attempt_ended(state, event)
        case events.RequestClosed():
            return requests.closed(state, event)
        case events.Ticked():
            return _ticked(state)
        case events.PeerReceived():
            return _peer_received(state, event)
    return _process_event(state, event)


def _process_event(state: states.State, event: object) -> Effects:
    match event:
        case events.UseMeasured():
            return headroom.apply(state, event)
        case events.VmAdded():
            state.fleet.added = not state.settings.first_start
            return []
        case events.StopRequested():
            return _stop_requested(state)
        case events.StopFinished():
            return list(quota.return_all_loans(state.quota, state.now_s))
        case events.SettingsReloaded():
            return _settings_reloaded(state, event)
    return _store_event(state, event)


def _store_event(state: states.State, event: object) -> Effects:
    match event:
        case events.TableLoaded():
            return _table_loaded(state, event)
        case events.TargetsListed():
            targets.replace_all(
                state.target_directory, state.now_s, event.entries
            )
            fields = {"targets": len(event.entries), "revision": event.revision}
            return [effects.Log("targets", "The targets were listed.", fields)]
        case events.TargetChanged():
            targets.apply(state.target_directory, state.now_s, event.entry)
            return [_entry_log(event)]
        case events.TargetRemoved():
            targets.remove(state.target_directory, state.now_s, event.name)
            fields = {"target": event.name, "revision": event.revision}
            return [effects.Log("targets", "An entry was removed.", fields)]
        case events.ZonesEvacuated():
            return _zones_evacuated(state, event)
        case events.VmsListed():
            return _vms_listed(state, event)
    return _store_status_event(state, event)


def _store_status_event(state: states.State, event: object) -> Effects:
    match event:
        case events.StoreLost():
            if not state.lost_kinds:
                heartbeats.send_soon(state.heartbeat_schedule)
            state.lost_kinds.setdefault(event.kind, event.at_s)
            fields = {"kind": event.kind, "reason": event.reason}
            return [
                effects.Log("store", "A kind of object cannot be read.", fields)
            ]
        case events.StoreChecked():
            state.store_source.store_checked_s = event.checked_s
            return []
        case events.SourceChecked():
            source_selection.source_checked(
                state.store_source, event.name, event.checked_s
            )
            return []
        case events.UpdatesRequested():
            state.store_source.requested_s = event.at_s
            # A leader gets such a request several times per second from each of
            # many VMs.
            return [] if state.store_source.plan.leads else _update_plan(state)
        case events.SourceFailed():
            source_selection.source_failed(
                state.store_source, state.now_s, event.name, event.declined
            )
            fields = {"vm": event.name, "declined": event.declined}
            text = "A VM no longer supplies updates of the store."
            return [effects.Log("store", text, fields), *_update_plan(state)]
        case events.StoreRegained():
            return _store_regained(state, event)
        case events.StoreRestored():
            targets.store_restored(state.target_directory, state.now_s)
            text = "The store came back from an older copy."
            return [effects.Log("store", text, {"era": event.era})]
    raise TypeError(
        f"{type(event).__name__} is not an event of the steering reducer; "
        "handle it in `reduce`."
    )


def _table_loaded(state: states.State, event: events.TableLoaded) -> Effects:
    fields = {"version": event.table.version, "revision": event.revision}
    current = state.table
    if current is not None and event.table.version <= current.version:
        if event.table.version == current.version:
            return []
        text = "An older configuration was ignored."
        return [effects.Log("configuration", text, fields)]
    state.table = event.table
    _configure_quota(state)
    text = "A configuration is in force."
    return [effects.Log("configuration", text, fields)]


def _configure_quota(state: states.State) -> None:
    if state.table is None:
        return
    units: dict[str, int] = {}
    state.quota.owners = {}
    for account in members.accounts_with_limit(state.table):
        resource = members.limit_resource(account.name)
        owners = members.limit_owners(state.fleet, account)
        units[resource] = members.own_units(state.fleet, account, owners)
        state.quota.owners[resource] = frozenset(owners)
    bounds = members.bounds(state.table)
    quota.configure(state.quota, state.now_s, bounds, units, state.now_s)


def _entry_log(event: events.TargetChanged) -> effects.Log:
    entry = event.entry
    fields = {
        "target": entry.name,
        "service": entry.service,
        "zone": entry.zone,
        "draining": entry.draining,
        "cold_s": entry.cold_s,
        "revision": event.revision,
    }
    return effects.Log("targets", "An entry changed.", fields)


def _zones_evacuated(
    state: states.State, event: events.ZonesEvacuated
) -> Effects:
    directory = state.target_directory
    zones = set(event.zones)
    state.held_evacuations = None
    if state.now_s < directory.restored_until_s:
        # The store may have lost an evacuation, which is written again.
        state.held_evacuations = event
        zones |= directory.evacuated
    if zones == directory.evacuated:
        return []
    targets.set_evacuated(directory, state.now_s, zones)
    fields = {"zones": sorted(zones), "revision": event.revision}
    return [effects.Log("targets", "The evacuated zones changed.", fields)]


def _vms_listed(state: states.State, event: events.VmsListed) -> Effects:
    previous_names = state.fleet.names
    produced = members.apply_vm_list(state.fleet, event.records)
    if state.fleet.names != previous_names:
        state.pacer.vm_digests = tuple(
            hashing.digest(name) for name in state.fleet.names
        )
        retries.resize_budgets(state)
        if not set(previous_names) <= set(state.fleet.names):
            configuring.owner_removed(state.quota, state.now_s)
        _configure_quota(state)
        fields = {"vms": len(state.fleet.names), "revision": event.revision}
        log = effects.Log("fleet", "The registered VMs changed.", fields)
        produced.append(log)
        if state.settings.first_start:
            # Before the next tick would ask all other VMs for loans.
            produced += _take_own_units(state)
    return produced


def _take_own_units(state: states.State) -> Effects:
    """Makes own units usable once no other VM uses them."""
    if not members.take_own_units(state.fleet, state.now_s):
        return []
    if members.awaited(state.fleet):
        _configure_quota(state)
    quota.activate_pending_units(state.quota, state.now_s)
    fields = {
        "settled": len(state.fleet.settled_vms),
        "vms": len(state.fleet.names),
        "after_s": round(state.now_s - state.fleet.started_s, 3),
    }
    text = "The own parts of limits are in use."
    return [effects.Log("quota", text, fields)]


def _store_regained(
    state: states.State, event: events.StoreRegained
) -> Effects:
    state.lost_kinds.pop(event.kind, None)
    if not state.lost_kinds:
        heartbeats.send_soon(state.heartbeat_schedule)
    targets.store_regained(state.target_directory, state.now_s)
    fields = {"kind": event.kind, "lost_s": round(event.lost_s, 3)}
    return [effects.Log("store", "A kind of object can be read again.", fields)]


def _update_plan(state: states.State) -> Effects:
    """Changes the source of this VM's updates of the store, if that is due."""
    lost = bool(state.lost_kinds)
    plan = source_selection.choose_plan(
        state.store_source, state.fleet, state.now_s, lost
    )
    if plan == state.store_source.plan:
        return []
    state.store_source.plan = plan
    checked_age_s = state.now_s - state.store_source.source_checked_s
    fields = {
        "source": plan.source,
        "direct": plan.direct,
        "leads": plan.leads,
        "checked_age_s": min(
            forwarding.MAX_LOGGED_AGE_S, round(checked_age_s, 3)
        ),
    }
    log = effects.Log(
        "store", "The source of updates of the store changed.", fields
    )
    return [log, effects.FollowStore(plan)]


def _ticked(state: states.State) -> Effects:
    is_heartbeat_due = heartbeats.is_due(state.heartbeat_schedule, state.now_s)
    if is_heartbeat_due:
        produced = _send_heartbeat(state)
    else:
        produced = heartbeats.take_over(
            state.heartbeat_schedule,
            state.fleet,
            state.now_s,
            _own_heartbeat(state),
        )
    produced += _update_plan(state)
    produced += _update_stale_group(state)
    produced += _take_own_units(state)
    if produced:
        state.pacer.drop_expired(state.now_s)
    # Sorting a large fleet ten times per second takes as much processor time as
    # its requests.
    if is_heartbeat_due or state.fleet.is_mesh:
        lenders = members.lenders(state.fleet, state.now_s)
        quota.set_lenders(state.quota, "", lenders)
    if is_heartbeat_due:
        targets.drop_old_notices(state.target_directory, state.now_s)
    produced += quota.tick(state.quota, state.now_s)
    produced += slot_requests.ticked(state)
    produced += _apply_held(state)
    for name in targets.drop_missing(state.target_directory, state.now_s):
        fields = {"target": name}
        text = "A target whose entry did not return was dropped."
        produced.append(effects.Log("targets", text, fields))
    return produced


def _apply_held(state: states.State) -> Effects:
    """Applies what was held back after the store came back from a copy."""
    directory = state.target_directory
    if state.now_s < directory.restored_until_s:
        return []
    targets.apply_held(directory, state.now_s)
    held = state.held_evacuations
    return [] if held is None else _zones_evacuated(state, held)


def _update_stale_group(state: states.State) -> Effects:
    """Updates the group of VMs with stale data; logs when pacing changes."""
    stale = state.pacer.stale
    age_s = state.staleness_s()
    if not stale.set_group(
        stale_pacing.current_group(state.fleet, state.now_s, age_s)
    ):
        return []
    fields = {
        "news_age_s": min(forwarding.MAX_LOGGED_AGE_S, round(age_s, 3)),
        "uninformed": stale.group.uninformed,
        "informed": stale.group.informed,
    }
    text = "Requests to targets that may be cold are limited."
    if not stale.group.is_limited:
        text = "Requests to targets that may be cold are no longer limited."
    return [effects.Log("store", text, fields)]


def _send_heartbeat(state: states.State) -> Effects:
    return heartbeats.send(
        state.heartbeat_schedule,
        state.fleet,
        state.now_s,
        _own_heartbeat(state),
        quota.lenders(state.quota),
    )


def _own_heartbeat(state: states.State) -> messages.SteeringHeartbeat:
    return messages.SteeringHeartbeat(
        state.fleet.incarnation,
        ready=lookup.is_ready(state),
        leaving=state.stopping,
        joining=bool(members.awaited(state.fleet)),
        reaches_store=state.table is not None
        and state.target_directory.listed
        and not state.lost_kinds,
        overlent=quota.is_overlent(state.quota),
        headroom=state.headroom,
    )


def _heartbeat_received(
    state: states.State, sender: str, heartbeat: messages.SteeringHeartbeat
) -> Effects:
    peer = state.fleet.peers.get(sender)
    if peer is None:
        return _unknown_vm(state, sender, heartbeat)
    produced: Effects = []
    if heartbeats.needs_response(peer, heartbeat):
        lenders = quota.lenders(state.quota)
        produced.append(
            heartbeats.respond(sender, _own_heartbeat(state), lenders)
        )
    awaited = members.awaited(state.fleet)
    produced += members.record_heartbeat(
        state.fleet, state.now_s, sender, heartbeat
    )
    if state.fleet.units_usable and awaited != members.awaited(state.fleet):
        _configure_quota(state)
    return produced


def _unknown_vm(
    state: states.State, sender: str, heartbeat: messages.SteeringHeartbeat
) -> Effects:
    """Handles a heartbeat of a VM that is not listed.

    The list that this VM follows may be seconds old, and a VM that was added
    waits until this one has given up the units that it takes over.
    """
    if not heartbeat.joining:
        return []
    if not members.request_list(state.fleet, state.now_s):
        return []
    log = effects.Log("fleet", "A VM was added.", {"vm": sender})
    return [log, effects.ListVms()]


def _peer_received(state: states.State, event: events.PeerReceived) -> Effects:
    match event.message:
        case messages.SteeringHeartbeat():
            return _heartbeat_received(state, event.sender, event.message)
        case messages.SteeringDigest():
            return members.record_digest(
                state.fleet, state.now_s, event.message
            )
        case (
            messages.LoanRequest()
            | messages.LoanResponse()
            | messages.QuotaReturn()
        ):
            return list(
                quota.receive(
                    state.quota, state.now_s, event.sender, event.message
                )
            )
    return slot_requests.message_received(state, event.sender, event.message)


def _stop_requested(state: states.State) -> Effects:
    state.stopping = True
    plan = stopping.plan(state.now_s, state.settings.stop_timeout_s)
    state.finish_by_s = plan.finish_by_s
    # Other VMs must omit this one from lookups at once.
    heartbeats.send_to_all_soon(state.heartbeat_schedule)
    fields = {"in_flight": len(state.requests)}
    log = effects.Log("steer", "A planned stop began.", fields)
    return [log, *slot_requests.scheduler_stopped(state)]


def _settings_reloaded(
    state: states.State, event: events.SettingsReloaded
) -> Effects:
    state.settings = event.settings
    state.fleet.settings = event.settings
    state.quota.settings = event.settings
    state.pacer.overage = event.settings.cold_overage
    state.pacer.extra = event.settings.cold_extra
    retries.resize_budgets(state)
    return [effects.Log("steer", "The settings are in force.", {})]
