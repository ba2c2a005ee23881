"""Own share of fleet-wide bounds, derived from configuration and zone lease.

Each bound is divided over the zones. A change of the zones moves shares: a
smaller share is in force at once, a larger one only after every other VM has
reported the configuration that made theirs smaller. The zone lease records the
last finished division, so that a new holder continues from it.
"""

from mulberrydeck.core import state as core_state
from mulberrydeck.core import zones
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.quota import division
from mulberrydeck.quota import reducer as quota
from mulberrydeck.quota import state as quota_state

UNITS_PER_BOUND = 1000
LINK_BURST_S = 0.25
LINK_RESERVE_RATIO = 0.1

Division = tuple[str, ...]


def apply(state: core_state.State) -> None:
    """Hands bounds and own units to the quota part."""
    active = state.configuration
    if active is None:
        return
    bounds = _bounds(state, active)
    own = {}
    if state.zone.epoch:
        own = {bound.resource: _own_units(state, bound) for bound in bounds}
    quota.configure(
        state.quota, state.now_s, bounds, own, state.zone.usable_from_s
    )


def _bounds(
    state: core_state.State, active: compiled.CompiledConfiguration
) -> tuple[quota_state.Bound, ...]:
    bounds = []
    for account in active.source.accounts:
        rule = active.limit_of(account.name)
        if rule is not None:
            resource = f"account/{account.name}"
            burst = _admitted_burst(state, rule)
            bound = quota_state.Bound(
                resource, UNITS_PER_BOUND, rule.rate_per_s, burst
            )
            bounds.append(bound)
    region = active.region_of(state.settings.zone)
    for link in active.source.links:
        if link.source == region:
            resource = f"link/{link.source}/{link.destination}"
            paced_per_s = link.cap_bytes_per_s * (1 - LINK_RESERVE_RATIO)
            burst = paced_per_s * LINK_BURST_S
            bound = quota_state.Bound(
                resource, UNITS_PER_BOUND, paced_per_s, burst
            )
            bounds.append(bound)
    return tuple(bounds)


def _admitted_burst(
    state: core_state.State, rule: configuration.LimitRule
) -> float:
    """Returns the burst at admission that keeps the burst at targets.

    Requests reach targets up to the lifetime of an admission later, so they
    may bunch by what the rate gives in that time.
    """
    lifetime_s = state.settings.admission_lifetime_s
    bunched = rule.rate_per_s * lifetime_s
    return max(1.0, rule.burst - bunched)


def _own_units(state: core_state.State, bound: quota_state.Bound) -> int:
    wanted = _units(state, bound, _current_division(state))
    finished = _units(state, bound, state.zone.lease.division)
    return min(wanted, finished)


def _units(
    state: core_state.State, bound: quota_state.Bound, places: Division
) -> int:
    kind, _, scope = bound.resource.partition("/")
    if kind == "link":
        source = scope.partition("/")[0]
        places = tuple(
            place for place in places if place.startswith(source + "/")
        )
    names = tuple(place.rpartition("/")[2] for place in places)
    if state.settings.zone not in names:
        return 0
    return division.own_units(bound.units, names, state.settings.zone)


def _current_division(state: core_state.State) -> Division:
    active = state.configuration
    return tuple(
        f"{active.region_of(zone)}/{zone}" for zone in active.zone_names
    )


def finish_division(state: core_state.State) -> list[object]:
    """Uses larger shares once every VM reports the new configuration."""
    if state.configuration is None or not state.zone.epoch:
        return []
    wanted = _current_division(state)
    if wanted == state.zone.lease.division or not _all_informed(state):
        return []
    return zones.record_division(state.zone, wanted, state.now_s)


def _all_informed(state: core_state.State) -> bool:
    if state.members.listed_at_s == float("-inf"):
        return False
    version = state.configuration.version
    return all(
        peer.document_version("config") >= version
        for peer in state.members.peers.values()
    )
