"""Bounded growth of a zone's share, so that cold caches can warm."""

import attrs

COLD_AFTER_S = 30.0
STEP_INTERVAL_S = 1.0
FIRST_SHARE = 0.1
GROWTH = 2.0


@attrs.define
class ZoneRamp:
    """How much of its due share a zone may get from this VM.

    Attributes:
        since_s: When the zone's traffic began, in seconds.
        last_s: When the zone last got a request, in seconds.
        warm: Whether the zone was in use from the start.
    """

    since_s: float
    last_s: float
    warm: bool = False


def share(ramps: dict[str, ZoneRamp], zone: str, now_s: float) -> float:
    """Returns the share of its due traffic that a zone may get, 0 to 1.

    Args:
        ramps: Growth by zone, of one service.
        zone: Name of the zone.
        now_s: Monotonic time, in seconds.
    """
    if not ramps:
        return 1.0
    known = ramps.get(zone)
    if known is None or now_s - known.last_s > COLD_AFTER_S:
        return FIRST_SHARE
    if known.warm:
        return 1.0
    steps = int((now_s - known.since_s) / STEP_INTERVAL_S)
    return min(1.0, FIRST_SHARE * GROWTH ** min(steps, 64))


def record(ramps: dict[str, ZoneRamp], zone: str, now_s: float) -> None:
    """Notes that a zone gets a request.

    The zones that serve at the start are not ramped, as nothing else has warm
    caches either.

    Args:
        ramps: Growth by zone, changed in place.
        zone: Name of the zone.
        now_s: Monotonic time, in seconds.
    """
    known = ramps.get(zone)
    if known is not None and now_s - known.last_s <= COLD_AFTER_S:
        known.last_s = now_s
        return
    first_s = min((item.since_s for item in ramps.values()), default=now_s)
    at_start = known is None and now_s - first_s <= STEP_INTERVAL_S
    ramps[zone] = ZoneRamp(now_s, now_s, warm=at_start)
