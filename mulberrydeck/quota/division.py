"""Division of the units of a fleet-wide bound between zones."""

UNITS_PER_RESOURCE = 1000


def own_units(total_units: int, zone_names: tuple[str, ...], zone: str) -> int:
    """Returns the units that one zone owns.

    The shares of any two zones differ by at most one unit, and all shares
    sum exactly to the total.

    Args:
        total_units: Units of the whole bound.
        zone_names: All zones, in any order.
        zone: The zone; one that is not in `zone_names` owns nothing.

    Example:
        >>> [own_units(10, ("a", "b", "c"), zone) for zone in "abc"]
        [4, 3, 3]
    """
    ordered = sorted(set(zone_names))
    if zone not in ordered:
        return 0
    share, remainder = divmod(total_units, len(ordered))
    return share + (1 if ordered.index(zone) < remainder else 0)
