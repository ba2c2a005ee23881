"""What the fault proxy is told when it starts."""

import attrs


@attrs.frozen
class Place:
    """One end of connections.

    Attributes:
        name: Unique name, such as that of a VM.
        zone: Availability zone.
        region: Region.
        ip: IP address that its outgoing connections come from.
    """

    name: str = ""
    zone: str = ""
    region: str = ""
    ip: str = ""

    def matches(self, selector: str) -> bool:
        """Returns whether a selector means this place.

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
    """One listener and where it leads.

    Attributes:
        listen: Address of the listener, `ip:port`.
        upstream: Address that connections are passed on to, `ip:port`.
        place: Name of the place where `upstream` is.
        kind: What the link carries, such as `peer` or `relay`.
    """

    listen: str
    upstream: str
    place: str
    kind: str


@attrs.frozen
class Specification:
    """All links of one proxy process.

    Attributes:
        control: Address of the control paths, `ip:port`.
        places: Places that sources and destinations belong to.
        links: Listeners.
    """

    control: str
    places: tuple[Place, ...]
    links: tuple[Link, ...]
