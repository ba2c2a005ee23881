"""Start-up specification of the fault proxy."""

import attrs


@attrs.frozen
class Place:
    """A possible end of a connection, such as a VM or a target.

    Attributes:
        name: Unique name, such as that of a VM.
        zone: Availability zone.
        region: Region.
        ip: Source IP address of its outgoing connections.
    """

    name: str = ""
    zone: str = ""
    region: str = ""
    ip: str = ""

    def matches(self, selector: str) -> bool:
        """Returns whether a selector selects this place.

        Args:
            selector: `any`, `name:NAME`, `zone:ZONE` or `region:REGION`.
        """
        kind, _, value = selector.partition(":")
        match kind:
            case "any":
                return True
            case "name":
                return self.name == value
            case "zone":
                return self.zone == value
            case "region":
                return self.region == value
        raise ValueError(f"{selector}: use any, name:, zone: or region:")


UNKNOWN_PLACE = Place()


@attrs.frozen
class Link:
    """One listener and its upstream address.

    Attributes:
        listen: Address of the listener, `ip:port`.
        upstream: Address that connections are forwarded to, `ip:port`.
        place: Name of the place that `upstream` belongs to.
        kind: Kind of connections, such as `peer` or `relay`.
    """

    listen: str
    upstream: str
    place: str
    kind: str


@attrs.frozen
class Specification:
    """Places and links of one proxy process.

    Attributes:
        control: Address of the control paths, `ip:port`.
        places: Places that sources and destinations belong to.
        links: Listeners.
    """

    control: str
    places: tuple[Place, ...]
    links: tuple[Link, ...]
