"""Labels that selectors match in addition to those that operators declare."""

from mulberrydeck.model import configuration
from mulberrydeck.model import places


def of_account(account: configuration.ClientAccount) -> dict[str, str]:
    """Returns an account's labels with the implied label `name`."""
    return account.labels | {"name": account.name}


def of_service(service: configuration.Service) -> dict[str, str]:
    """Returns a service's labels with the implied label `name`."""
    return service.labels | {"name": service.name}


def of_zone(
    zone: places.Zone, region: places.Region, from_zone: places.Zone
) -> dict[str, str]:
    """Returns a zone's labels as seen from the zone of the deciding VM.

    The region's labels are inherited; `zone`, `region` and `local` are implied.

    Args:
        zone: The zone.
        region: Its region.
        from_zone: The zone whose VM decides; it may be the zone itself.
    """
    implied = {
        "zone": zone.name,
        "region": zone.region,
        "local": _locality(zone, from_zone),
    }
    return region.labels | zone.labels | implied


def _locality(zone: places.Zone, from_zone: places.Zone) -> str:
    if zone.name == from_zone.name:
        return "zone"
    if zone.region == from_zone.region:
        return "region"
    return "remote"
