"""Lookup responses, status and explanations, derived from the state."""

from mulberrydeck.core import gateway
from mulberrydeck.core import requests
from mulberrydeck.core import state as core_state
from mulberrydeck.quota import reducer as quota
from mulberrydeck.routing import choice
from mulberrydeck.routing import lookup
from mulberrydeck.routing import reducer as routing


def entry_directory(state: core_state.State) -> lookup.Directory:
    """Returns the entry VMs that callers may use now, this one included."""
    settings = state.settings
    own = lookup.EntryMember(
        settings.name,
        settings.zone,
        settings.advertised_caller_address or settings.caller_address,
        state.leaving,
    )
    peers = [
        lookup.EntryMember(
            peer.name, peer.zone, peer.heartbeat.caller_address, peer.leaving
        )
        for peer in state.members.live_peers(state.now_s)
    ]
    return lookup.directory((own, *peers))


def respond_to_lookup(
    state: core_state.State,
    directory: lookup.Directory,
    query: gateway.LookupQuery,
) -> gateway.LookupResponse:
    """Returns the entry VMs that a caller should use.

    Without a configuration, these are the VMs of this zone.

    Args:
        state: State of this VM.
        directory: Entry VMs, from `entry_directory`.
        query: The caller's lookup request.
    """
    lifetime_s = state.settings.lookup_lifetime_s
    if state.configuration is None:
        entries = directory.by_zone.get(state.settings.zone, ())
        vms = tuple(entry.vm for entry in entries)
        return gateway.LookupResponse(vms, lifetime_s, 0)
    return lookup.respond(state.configuration, directory, query, lifetime_s)


def status(state: core_state.State) -> gateway.Status:
    """Returns the status of this VM."""
    versions = state.documents.by_name
    holder = state.settings.name if state.zone.epoch else state.zone.holder
    return gateway.Status(
        name=state.settings.name,
        zone=state.settings.zone,
        leaving=state.leaving,
        config_version=versions["config"].version,
        keys_version=versions["keys"].version,
        platform_age_s=state.now_s - state.platform_responded_s,
        zone_holder=holder,
        peers=_peers(state),
        quotas=_quotas(state),
        targets=routing.target_statuses(state.routing, state.now_s),
    )


def _peers(state: core_state.State) -> tuple[gateway.PeerStatus, ...]:
    return tuple(
        gateway.PeerStatus(
            peer.name,
            peer.zone,
            state.members.is_alive(peer.name, state.now_s),
            peer.leaving,
            peer.document_version("config"),
        )
        for peer in state.members.peers.values()
    )


def _quotas(state: core_state.State) -> tuple[gateway.QuotaStatus, ...]:
    quota.advance_all(state.quota, state.now_s)
    return tuple(
        gateway.QuotaStatus(
            balance.resource,
            balance.own_units,
            balance.lent_units,
            balance.borrowed_units,
            balance.tokens,
        )
        for balance in quota.balances(state.quota)
    )


def explain(
    state: core_state.State, query: gateway.ExplainQuery
) -> gateway.Explanation:
    """Explains which rules apply to a request and which VM would serve it."""
    active = state.configuration
    if active is None:
        steps = ("No configuration is in force on this VM; apply one.",)
        return gateway.Explanation(False, steps, "", "")
    rule = active.access_rule(query.account, query.service)
    if rule is None:
        step = (
            f"No access rule lets {query.account!r} reach {query.service!r}; "
            "add one whose selectors match both."
        )
        return gateway.Explanation(False, (step,), "", "")
    steps = [f"Access rule {rule.name!r} allows it."]
    limit = active.limit_of(query.account)
    if limit is None:
        steps.append("No limit rule matches; the rate is not limited.")
    else:
        steps.append(
            f"Limit rule {limit.name!r}: {limit.rate_per_s} requests/s, "
            f"burst {limit.burst}."
        )
    zone = query.place or state.settings.zone
    for number, step in enumerate(active.spill_order(query.service, zone), 1):
        names = ", ".join(f"{name} ({weight})" for name, weight in step.zones)
        steps.append(f"Spill step {number}: {names}.")
    vm = _chosen_vm(state, query.service)
    if not vm:
        steps.append("No VM reports a free slot now; look at the targets.")
    return gateway.Explanation(bool(vm), tuple(steps), vm, "")


def _chosen_vm(state: core_state.State, service: str) -> str:
    chosen = choice.preview(
        state.routing, state.now_s, service, requests.exhausted_links(state)
    )
    if chosen is None:
        return ""
    return chosen.vm or state.settings.name
