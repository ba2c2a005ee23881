"""This zone's share of fleet-wide bounds, from configuration and zone lease.

Each bound is divided over the zones. When the zones change, a smaller share
applies at once, but a larger one only after all other VMs have reported the
configuration that made their shares smaller. The zone lease records the last
completed division, so that a new holder continues from it.
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
# Fraction of a link's cap reserved for peer messages and packet headers, which
# are not paced.
LINK_RESERVE_FRACTION = 0.1

Division = tuple[str, ...]


def apply(state: core_state.State) -> None:
    """Passes the bounds and the own units to the quota subsystem."""
    active = state.configuration
    if active is None:
        return
    bounds = _bounds(state, active)
    own_units = {}
    if state.zone.epoch:
        own_units = {
            bound.resource: _own_units(state, bound) for bound in bounds
        }
    quota.configure(
        state.quota, state.now_s, bounds, own_units, state.zone.usable_from_s
    )


def _bounds(
    state: core_state.State, active: compiled.CompiledConfiguration
) -> tuple[quota_state.Bound, ...]:
    bounds = []
    for account in active.source.accounts:
        rule = active.limit_of(account.name)
        if rule is not None:
            resource = f"account/{account.name}"
            burst = _admission_burst(state, rule)
            bound = quota_state.Bound(
                resource, UNITS_PER_BOUND, rule.rate_per_s, burst
            )
            bounds.append(bound)
    region = active.region_of(state.settings.zone)
    for link in active.source.links:
        if link.source == region:
            resource = f"link/{link.source}/{link.destination}"
            paced_per_s = link.cap_bytes_per_s * (1 - LINK_RESERVE_FRACTION)
            burst = paced_per_s * LINK_BURST_S
            bound = quota_state.Bound(
                resource, UNITS_PER_BOUND, paced_per_s, burst
            )
            bounds.append(bound)
    return tuple(bounds)


def _admission_burst(
    state: core_state.State, rule: configuration.LimitRule
) -> float:
    """Returns the burst to admit so that targets see at most the rule's burst.

    Requests may be sent up to one admission lifetime after they were admitted,
    so those admitted at the rate during that time may arrive with the burst.
    """
    lifetime_s = state.settings.admission_lifetime_s
    admitted_in_lifetime = rule.rate_per_s * lifetime_s
    return max(1.0, rule.burst - admitted_in_lifetime)


def _own_units(state: core_state.State, bound: quota_state.Bound) -> int:
    desired = _units(state, bound, _current_division(state))
    recorded = _units(state, bound, state.zone.lease.division)
    return min(desired, recorded)


def _units(
    state: core_state.State, bound: quota_state.Bound, zone_paths: Division
) -> int:
    kind, _, scope = bound.resource.partition("/")
    if kind == "link":
        source = scope.partition("/")[0]
        zone_paths = tuple(
            path for path in zone_paths if path.startswith(source + "/")
        )
    names = tuple(path.rpartition("/")[2] for path in zone_paths)
    if state.settings.zone not in names:
        return 0
    return division.own_units(bound.units, names, state.settings.zone)


def _current_division(state: core_state.State) -> Division:
    active = state.configuration
    return tuple(
        f"{active.region_of(zone)}/{zone}" for zone in active.zone_names
    )


def finish_division(state: core_state.State) -> list[object]:
    """Records the new division once all VMs report its configuration.

    Larger shares apply from then on.
    """
    if state.configuration is None or not state.zone.epoch:
        return []
    desired = _current_division(state)
    if (
        desired == state.zone.lease.division
        or not _all_peers_report_configuration(state)
    ):
        return []
    return zones.record_division(state.zone, desired, state.now_s)


def _all_peers_report_configuration(state: core_state.State) -> bool:
    if state.members.list_read_s == float("-inf"):
        return False
    version = state.configuration.version
    return all(
        peer.document_version("config") >= version
        for peer in state.members.peers.values()
    )
