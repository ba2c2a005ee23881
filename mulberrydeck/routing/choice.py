"""Choice of the VM that gets a request, along the spill order."""

import attrs

from mulberrydeck.routing import ramp
from mulberrydeck.routing import slots
from mulberrydeck.routing import state as routing_state

RELAY_MEMORY_S = 2.0


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
class PeerLoad:
    """What a live peer reported.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        loads: Capacity per service.
        reported_s: When the report came, in seconds.
        link_full: Whether the link to it is nearly full, so that new work
            goes elsewhere if it can.
    """

    vm: str
    zone: str
    loads: tuple
    reported_s: float = 0.0
    link_full: bool = False


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


def choose(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    peers: tuple[PeerLoad, ...],
    excluded: frozenset[str] | tuple[str, ...],
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
        peers: Live peers with what they reported.
        excluded: Names of VMs that must not get it, such as those tried.
    """
    chosen = _select(state, now_s, service, peers, excluded)
    kept = routing_state.service_state(state, service)
    kept.has_others = chosen is not None or _has_capacity(peers, service)
    if chosen is not None:
        ramp.record(kept.zone_ramps, chosen.zone, now_s)
        return _decision(chosen)
    if state.vm_name in excluded or kept.has_others:
        return None
    usable = slots.has_last_resort(state, now_s, service)
    return Local() if usable else None


def _has_capacity(peers: tuple[PeerLoad, ...], service: str) -> bool:
    """Returns whether a peer has usable slots, though it may be full."""
    return any(
        load.service == service and load.total_slots
        for peer in peers
        for load in peer.loads
    )


def preview(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    peers: tuple[PeerLoad, ...],
) -> Local | Remote | None:
    """Returns what `choose` would pick, without counting it as traffic.

    Args:
        state: State of the routing part.
        now_s: Monotonic time, in seconds.
        service: Name of the service.
        peers: Live peers with what they reported.
    """
    return _decision(_select(state, now_s, service, peers, frozenset()))


def _decision(chosen: Candidate | None) -> Local | Remote | None:
    if chosen is None:
        return None
    if not chosen.vm:
        return Local()
    return Remote(chosen.vm)


def _select(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    peers: tuple[PeerLoad, ...],
    excluded: frozenset[str] | tuple[str, ...],
) -> Candidate | None:
    by_zone = _candidates(state, now_s, service, peers, excluded)
    _note_own_zone(state, service, by_zone.get(state.zone, ()))
    steps = state.compiled.spill_order(service, state.zone)
    return (
        _first_step(state, now_s, service, steps, by_zone, _is_open)
        or _first_step(state, now_s, service, steps, by_zone, _is_free)
        or _first_step(state, now_s, service, steps, by_zone, _can_queue)
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


def _candidates(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    peers: tuple[PeerLoad, ...],
    excluded: frozenset[str] | tuple[str, ...],
) -> dict[str, list[Candidate]]:
    by_zone: dict[str, list[Candidate]] = {}
    for peer in peers:
        if peer.vm in excluded:
            continue
        for load in peer.loads:
            if load.service == service and load.total_slots:
                candidate = _peer_candidate(state, peer, load)
                by_zone.setdefault(peer.zone, []).append(candidate)
    if state.vm_name not in excluded:
        free, usable = slots.free_and_usable(state, now_s, service)
        if usable:
            own = Candidate("", state.zone, free, usable, False)
            by_zone.setdefault(state.zone, []).append(own)
    return by_zone


def _peer_candidate(
    state: routing_state.RoutingState, peer: PeerLoad, load: object
) -> Candidate:
    key = (load.service, peer.vm)
    in_flight = state.relays_by_vm.get(key, {})
    sent = sum(since_s >= peer.reported_s for since_s in in_flight.values())
    free = max(0, load.free_slots - sent)
    if state.refused_by_vm.get(key, -1.0) >= peer.reported_s:
        free = 0
    return Candidate(peer.vm, peer.zone, free, load.total_slots, peer.link_full)


def _note_own_zone(
    state: routing_state.RoutingState,
    service: str,
    candidates: list[Candidate] | tuple,
) -> None:
    others = [candidate for candidate in candidates if candidate.vm]
    usable = sum(candidate.total for candidate in others)
    free = sum(candidate.free for candidate in others)
    routing_state.service_state(state, service).peer_slots = (usable, free)


def _is_open(candidate: Candidate) -> bool:
    return candidate.free > 0 and not candidate.link_full


def _is_free(candidate: Candidate) -> bool:
    return candidate.free > 0


def _can_queue(candidate: Candidate) -> bool:
    return candidate.total > 0


def _first_step(
    state: routing_state.RoutingState,
    now_s: float,
    service: str,
    steps: tuple,
    by_zone: dict[str, list[Candidate]],
    accepts: object,
) -> Candidate | None:
    """Returns a candidate of the first step that has an accepted one.

    A zone whose share is still growing is passed over with the remaining
    probability, unless it is the only one.
    """
    passed_over = None
    ramps = routing_state.service_state(state, service).zone_ramps
    for step in steps:
        options = []
        for zone, weight in step.zones:
            fit = [item for item in by_zone.get(zone, ()) if accepts(item)]
            if fit:
                options.append((zone, weight, fit))
        while options:
            zone, fit = _draw_zone(state, options)
            if state.rng.random() < ramp.share(ramps, zone, now_s):
                return _draw_vm(state, fit)
            passed_over = passed_over or fit
            options = [option for option in options if option[0] != zone]
    if passed_over is None:
        return None
    return _draw_vm(state, passed_over)


def _draw_zone(
    state: routing_state.RoutingState, options: list
) -> tuple[str, list[Candidate]]:
    """Draws a zone by its weight and its capacity."""
    if len(options) == 1:
        return options[0][0], options[0][2]
    shares = [
        weight * sum(max(1, item.free) for item in fit)
        for _, weight, fit in options
    ]
    zone, _, fit = state.rng.choices(options, shares)[0]
    return zone, fit


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
