"""Ramp-up of a zone's share of traffic, so that its caches can warm up."""

import attrs

COLD_AFTER_S = 30.0
STEP_INTERVAL_S = 1.0
INITIAL_SHARE = 0.1
GROWTH_FACTOR = 2.0


@attrs.define
class ZoneRamp:
    """Ramp-up of the traffic that this VM sends to a zone.

    Attributes:
        started_s: When traffic to the zone began, in seconds.
        last_request_s: When the zone last got a request, in seconds.
        warm: Whether the zone is not ramped up, since it was in use from the
            start.
    """

    started_s: float
    last_request_s: float
    warm: bool = False


def share(ramps: dict[str, ZoneRamp], zone: str, now_s: float) -> float:
    """Returns the fraction of its regular traffic that a zone may get, 0 to 1.

    Args:
        ramps: Ramp-ups of one service, by zone.
        zone: Name of the zone.
        now_s: Monotonic time, in seconds.
    """
    if not ramps:
        return 1.0
    zone_ramp = ramps.get(zone)
    if zone_ramp is None or now_s - zone_ramp.last_request_s > COLD_AFTER_S:
        return INITIAL_SHARE
    if zone_ramp.warm:
        return 1.0
    steps = int((now_s - zone_ramp.started_s) / STEP_INTERVAL_S)
    return min(1.0, INITIAL_SHARE * GROWTH_FACTOR ** min(steps, 64))


def record(ramps: dict[str, ZoneRamp], zone: str, now_s: float) -> None:
    """Records a request to a zone.

    Zones that are used from the start are not ramped up, since no other zone
    has warm caches either.

    Args:
        ramps: Ramp-ups of one service, by zone, changed in place.
        zone: Name of the zone.
        now_s: Monotonic time, in seconds.
    """
    zone_ramp = ramps.get(zone)
    if (
        zone_ramp is not None
        and now_s - zone_ramp.last_request_s <= COLD_AFTER_S
    ):
        zone_ramp.last_request_s = now_s
        return
    first_started_s = min(
        (item.started_s for item in ramps.values()), default=now_s
    )
    at_start = zone_ramp is None and now_s - first_started_s <= STEP_INTERVAL_S
    ramps[zone] = ZoneRamp(now_s, now_s, warm=at_start)
