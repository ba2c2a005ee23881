"""Choice of the VM that serves a request, along the spill order."""

from collections.abc import Callable

import attrs

from mulberrydeck.model import compiled
from mulberrydeck.peers import messages
from mulberrydeck.routing import peer_index
from mulberrydeck.routing import ramp
from mulberrydeck.routing import slots
from mulberrydeck.routing import state as routing_state

# Lower bound of the free slots in a zone's weight: a zone can be drawn even if
# all zones of its step are full.
MIN_FREE_SLOTS_FOR_WEIGHT = 0.01


@attrs.frozen
class Local:
    """This VM sends the request to one of its targets."""


@attrs.frozen
class Remote:
    """This VM relays the request to another VM.

    Attributes:
        vm: Name of the VM.
    """

    vm: str


@attrs.frozen
class Candidate:
    """A VM that may serve the request.

    Attributes:
        vm: Name of the VM; empty for this one.
        zone: Its availability zone.
        free_slots: Free slots, less the requests relayed since its report.
        usable_slots: Usable slots.
        link_full: Whether the link to its region is nearly full.
    """

    vm: str
    zone: str
    free_slots: int
    usable_slots: int
    link_full: bool


@attrs.define
class Search:
    """Context of one search along the spill order.

    Attributes:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        excluded: Names of VMs that must not get the request.
        full_links: Links, as `from/to` regions, on which this VM lacks quota.
        own_slots: Free and usable slots of this VM.
        candidates_by_zone: Candidates of the zones examined so far.
    """

    state: routing_state.RoutingState
    now_s: float
    service: str
    excluded: frozenset[str]
    full_links: frozenset[str]
    own_slots: tuple[int, int]
    candidates_by_zone: dict[str, list[Candidate]] = attrs.field(factory=dict)


def choose(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    excluded: frozenset[str] = frozenset(),
    full_links: frozenset[str] = frozenset(),
) -> Local | Remote | None:
    """Returns the VM that serves a request, or None if no VM can.

    The steps of the spill order are tried in turn, first for free slots over
    links with spare capacity, then for free slots over any link, then for a
    place in a queue. The last resort, while no VM reports usable slots, is a
    target of this VM that is unreachable or whose drain has just begun.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        excluded: Names of VMs that must not get the request, such as those
            already tried.
        full_links: Links, as `from/to` regions, on which this VM lacks quota.
    """
    search = _new_search(state, now_s, service, excluded, full_links)
    chosen = _select(search)
    service_state = routing_state.service_state(state, service)
    service_state.has_alternative = chosen is not None or _has_capacity(search)
    if chosen is not None:
        ramp.record(service_state.zone_ramps, chosen.zone, now_s)
        return _decision(chosen)
    if state.vm_name in excluded or service_state.has_alternative:
        return None
    usable = slots.has_last_resort(state, now_s, service)
    return Local() if usable else None


def _has_capacity(search: Search) -> bool:
    """Returns whether any VM has usable slots, free or not."""
    state = search.state
    steps = state.compiled.spill_order(search.service, state.zone)
    return any(_zone_weights(search, step) for step in steps)


def preview(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    full_links: frozenset[str] = frozenset(),
) -> Candidate | None:
    """Returns the candidate `choose` would select, without recording traffic.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        full_links: Links, as `from/to` regions, on which this VM lacks quota.
    """
    search = _new_search(state, now_s, service, frozenset(), full_links)
    return _select(search)


def _new_search(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    excluded: frozenset[str],
    full_links: frozenset[str],
) -> Search:
    own_slots = (0, 0)
    if state.vm_name not in excluded:
        own_slots = slots.free_and_usable(state, now_s, service)
    return Search(state, now_s, service, excluded, full_links, own_slots)


def _decision(chosen: Candidate | None) -> Local | Remote | None:
    if chosen is None:
        return None
    if not chosen.vm:
        return Local()
    return Remote(chosen.vm)


def _select(search: Search) -> Candidate | None:
    steps = search.state.compiled.spill_order(search.service, search.state.zone)
    return (
        _first_accepted(search, steps, _has_free_slot_and_link)
        or _first_accepted(search, steps, _has_free_slot)
        or _first_accepted(search, steps, _can_queue)
    )


def record_relay(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    vm: str,
    request_id: str,
) -> None:
    """Records that a request was relayed to another VM.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        vm: Name of the VM.
        request_id: Identifier of the request.
    """
    state.relays[request_id] = routing_state.Relay(service, vm, now_s)
    in_flight = state.relays_by_vm.setdefault((service, vm), {})
    in_flight[request_id] = now_s


def end_relay(
    state: routing_state.RoutingState,
    now_s: float,
    request_id: str,
    refused: bool,
) -> bool:
    """Records the end of a relayed request.

    Args:
        state: State of the routing subsystem.
        now_s: Monotonic time, in seconds.
        request_id: Identifier of the request.
        refused: Whether the other VM did not run it.

    Returns:
        Whether the request was recorded as relayed.
    """
    relay = state.relays.pop(request_id, None)
    if relay is None:
        return False
    key = (relay.service, relay.vm)
    in_flight = state.relays_by_vm[key]
    del in_flight[request_id]
    if not in_flight:
        del state.relays_by_vm[key]
    if refused:
        state.refused_by_vm[key] = now_s
    return True


def _candidates(search: Search, zone: str) -> list[Candidate]:
    candidates = search.candidates_by_zone.get(zone)
    if candidates is not None:
        return candidates
    state = search.state
    oldest_s = search.now_s - state.settings.peer_timeout_s
    link_full = _is_link_full(search, zone, oldest_s)
    candidates = [
        _peer_candidate(state, load, report, link_full)
        for load, report in peer_index.live_loads(
            state.peers, (search.service, zone), oldest_s
        )
        if report.vm not in search.excluded
    ]
    free, usable = search.own_slots
    if zone == state.zone and usable:
        candidates.append(Candidate("", zone, free, usable, False))
    search.candidates_by_zone[zone] = candidates
    return candidates


def _is_link_full(search: Search, zone: str, oldest_s: float) -> bool:
    """Returns whether a link to or from a zone's region is full."""
    state = search.state
    own_region = state.compiled.region_of(state.zone)
    zone_region = state.compiled.region_of(zone)
    if own_region == zone_region:
        return False
    return any(
        link in search.full_links
        or peer_index.is_link_full(state.peers, link, oldest_s)
        for link in (
            f"{own_region}/{zone_region}",
            f"{zone_region}/{own_region}",
        )
    )


def _peer_candidate(
    state: routing_state.RoutingState,
    load: messages.ServiceLoad,
    report: peer_index.PeerReport,
    link_full: bool,
) -> Candidate:
    key = (load.service, report.vm)
    in_flight = state.relays_by_vm.get(key)
    free = load.free_slots
    if in_flight:
        sent_since_report = sum(
            sent_s >= report.reported_s for sent_s in in_flight.values()
        )
        free = max(0, free - sent_since_report)
    if state.refused_by_vm.get(key, -1.0) >= report.reported_s:
        free = 0
    return Candidate(report.vm, report.zone, free, load.total_slots, link_full)


def _has_free_slot_and_link(candidate: Candidate) -> bool:
    return candidate.free_slots > 0 and not candidate.link_full


def _has_free_slot(candidate: Candidate) -> bool:
    return candidate.free_slots > 0


def _can_queue(candidate: Candidate) -> bool:
    return candidate.usable_slots > 0


def _first_accepted(
    search: Search,
    steps: tuple[compiled.Step, ...],
    accepts: Callable[[Candidate], bool],
) -> Candidate | None:
    """Returns a candidate of the first step that has an accepted one.

    A zone that is still ramping up is skipped with a probability of 1 minus its
    share. If every zone with accepted candidates is skipped, the first of them
    is used.
    """
    state = search.state
    skipped: list[Candidate] = []
    ramps = routing_state.service_state(state, search.service).zone_ramps
    for step in steps:
        weights = _zone_weights(search, step)
        while weights:
            zone = _draw_zone(state, weights)
            del weights[zone]
            accepted = [
                item for item in _candidates(search, zone) if accepts(item)
            ]
            if not accepted:
                continue
            if state.rng.random() < ramp.share(ramps, zone, search.now_s):
                return _draw_vm(state, accepted)
            skipped = skipped or accepted
    if not skipped:
        return None
    return _draw_vm(state, skipped)


def _zone_weights(search: Search, step: compiled.Step) -> dict[str, float]:
    """Returns weight times free slots for each zone that has usable slots."""
    state = search.state
    weights: dict[str, float] = {}
    for zone, weight in step.zones:
        capacity = state.peers.capacity.get((search.service, zone))
        free = capacity.free_slots if capacity else 0
        total = capacity.usable_slots if capacity else 0
        if zone == state.zone:
            free += search.own_slots[0]
            total += search.own_slots[1]
        if total:
            weights[zone] = weight * max(MIN_FREE_SLOTS_FOR_WEIGHT, free)
    return weights


def _draw_zone(
    state: routing_state.RoutingState, weights: dict[str, float]
) -> str:
    if len(weights) == 1:
        return next(iter(weights))
    return state.rng.choices(list(weights), list(weights.values()))[0]


def _draw_vm(
    state: routing_state.RoutingState, accepted: list[Candidate]
) -> Candidate:
    """Returns this VM if accepted, else the freer of two random candidates."""
    for candidate in accepted:
        if not candidate.vm:
            return candidate
    if len(accepted) == 1:
        return accepted[0]
    first, second = state.rng.sample(accepted, 2)
    return max(
        first, second, key=lambda item: (item.free_slots, item.usable_slots)
    )
