"""Choice of the VM that gets a request, along the spill order."""

from collections.abc import Callable

import attrs

from mulberrydeck.model import compiled
from mulberrydeck.peers import messages
from mulberrydeck.routing import peer_index
from mulberrydeck.routing import ramp
from mulberrydeck.routing import slots
from mulberrydeck.routing import state as routing_state

LEAST_SHARE = 0.01


@attrs.frozen
class Local:
    """This VM sends the request to one of its targets."""


@attrs.frozen
class Remote:
    """Another VM gets the request.

    Attributes:
        vm: Name of the VM.
    """

    vm: str


@attrs.frozen
class Candidate:
    """A VM that may get the request.

    Attributes:
        vm: Name of the VM; empty for this one.
        zone: Its availability zone.
        free: Free slots, less what was sent since the report.
        total: Usable slots.
        link_full: Whether the link to it is nearly full.
    """

    vm: str
    zone: str
    free: int
    total: int
    link_full: bool


@attrs.define
class Search:
    """One search along the spill order.

    Attributes:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        excluded: Names of VMs that must not get the request.
        full_links: Links on which this VM lacks quota.
        own: Free and usable slots of this VM.
        by_zone: Candidates of the zones looked at so far.
    """

    state: routing_state.RoutingState
    now_s: float
    service: str
    excluded: frozenset[str]
    full_links: frozenset[str]
    own: tuple[int, int]
    by_zone: dict[str, list[Candidate]] = attrs.field(factory=dict)


def choose(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    excluded: frozenset[str] = frozenset(),
    full_links: frozenset[str] = frozenset(),
) -> Local | Remote | None:
    """Returns which VM gets a request, or None if no VM can.

    The steps of the spill order are tried in turn, first for free slots over
    links with room, then for free slots, then for a place in a queue. The last
    resort, while no VM reports usable slots, is an own target whose reports
    have stopped or whose drain has just begun.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        excluded: Names of VMs that must not get it, such as those tried.
        full_links: Links, as `from/to` regions, on which this VM lacks quota.
    """
    search = _start(state, now_s, service, excluded, full_links)
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
    """Returns whether a VM has usable slots, though it may be full."""
    state = search.state
    steps = state.compiled.spill_order(search.service, state.zone)
    return any(_shares(search, step) for step in steps)


def preview(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    full_links: frozenset[str] = frozenset(),
) -> Candidate | None:
    """Returns what `choose` would pick, without counting it as traffic.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        full_links: Links, as `from/to` regions, on which this VM lacks quota.
    """
    search = _start(state, now_s, service, frozenset(), full_links)
    return _select(search)


def _start(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    excluded: frozenset[str],
    full_links: frozenset[str],
) -> Search:
    own = (0, 0)
    if state.vm_name not in excluded:
        own = slots.free_and_usable(state, now_s, service)
    return Search(state, now_s, service, excluded, full_links, own)


def _decision(chosen: Candidate | None) -> Local | Remote | None:
    if chosen is None:
        return None
    if not chosen.vm:
        return Local()
    return Remote(chosen.vm)


def _select(search: Search) -> Candidate | None:
    steps = search.state.compiled.spill_order(search.service, search.state.zone)
    return (
        _first_step(search, steps, _is_open)
        or _first_step(search, steps, _is_free)
        or _first_step(search, steps, _can_queue)
    )


def record_relay(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    vm: str,
    request_id: str,
) -> None:
    """Notes that a request was sent to another VM.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        vm: Name of the VM.
        request_id: The request.
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
    """Notes that a relayed request ended; returns whether it was known.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        request_id: The request.
        refused: Whether the VM had no slot for it.
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
    found = search.by_zone.get(zone)
    if found is not None:
        return found
    state = search.state
    oldest_s = search.now_s - state.settings.peer_timeout_s
    link_full = _is_link_full(search, zone, oldest_s)
    found = [
        _peer_candidate(state, load, report, link_full)
        for load, report in peer_index.heard_in(
            state.peers, (search.service, zone), oldest_s
        )
        if report.vm not in search.excluded
    ]
    free, usable = search.own
    if zone == state.zone and usable:
        found.append(Candidate("", zone, free, usable, False))
    search.by_zone[zone] = found
    return found


def _is_link_full(search: Search, zone: str, oldest_s: float) -> bool:
    """Returns whether the link to a zone's region is full in a direction."""
    state = search.state
    here = state.compiled.region_of(state.zone)
    there = state.compiled.region_of(zone)
    if here == there:
        return False
    return any(
        link in search.full_links
        or peer_index.is_link_full(state.peers, link, oldest_s)
        for link in (f"{here}/{there}", f"{there}/{here}")
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
        sent = sum(
            since_s >= report.reported_s for since_s in in_flight.values()
        )
        free = max(0, free - sent)
    if state.refused_by_vm.get(key, -1.0) >= report.reported_s:
        free = 0
    return Candidate(report.vm, report.zone, free, load.total_slots, link_full)


def _is_open(candidate: Candidate) -> bool:
    return candidate.free > 0 and not candidate.link_full


def _is_free(candidate: Candidate) -> bool:
    return candidate.free > 0


def _can_queue(candidate: Candidate) -> bool:
    return candidate.total > 0


def _first_step(
    search: Search,
    steps: tuple[compiled.Step, ...],
    accepts: Callable[[Candidate], bool],
) -> Candidate | None:
    """Returns a candidate of the first step that has an accepted one.

    A zone whose share is still growing is passed over with the remaining
    probability, unless it is the only one.
    """
    state = search.state
    passed_over: list[Candidate] = []
    ramps = routing_state.service_state(state, search.service).zone_ramps
    for step in steps:
        shares = _shares(search, step)
        while shares:
            zone = _draw_zone(state, shares)
            del shares[zone]
            fit = [item for item in _candidates(search, zone) if accepts(item)]
            if not fit:
                continue
            if state.rng.random() < ramp.share(ramps, zone, search.now_s):
                return _draw_vm(state, fit)
            passed_over = passed_over or fit
    if not passed_over:
        return None
    return _draw_vm(state, passed_over)


def _shares(search: Search, step: compiled.Step) -> dict[str, float]:
    """Returns weight times free slots of the zones that have usable ones."""
    state = search.state
    shares: dict[str, float] = {}
    for zone, weight in step.zones:
        capacity = state.peers.capacity.get((search.service, zone))
        free = capacity.free if capacity else 0
        total = capacity.total if capacity else 0
        if zone == state.zone:
            free += search.own[0]
            total += search.own[1]
        if total:
            shares[zone] = weight * max(LEAST_SHARE, free)
    return shares


def _draw_zone(
    state: routing_state.RoutingState, shares: dict[str, float]
) -> str:
    if len(shares) == 1:
        return next(iter(shares))
    return state.rng.choices(list(shares), list(shares.values()))[0]


def _draw_vm(
    state: routing_state.RoutingState, fit: list[Candidate]
) -> Candidate:
    """Prefers this VM, else takes the freer of two random ones."""
    for candidate in fit:
        if not candidate.vm:
            return candidate
    if len(fit) == 1:
        return fit[0]
    first, second = state.rng.sample(fit, 2)
    return max(first, second, key=lambda item: (item.free, item.total))
