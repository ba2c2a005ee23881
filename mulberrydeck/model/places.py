"""Places: regions, availability zones and the links between regions."""

import attrs


@attrs.frozen
class Region:
    """A region of the deployment.

    Attributes:
        name: Unique name.
        labels: Operator-defined labels.
    """

    name: str
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        name: Unique name.
        region: Name of the region that it belongs to.
        labels: Operator-defined labels.
        client_blocks: CIDR blocks of callers that are closest to this zone.
    """

    name: str
    region: str
    labels: dict[str, str] = attrs.field(factory=dict)
    client_blocks: tuple[str, ...] = ()


@attrs.frozen
class Link:
    """A directed link between two regions.

    Attributes:
        source: Name of the sending region.
        destination: Name of the receiving region.
        cap_bytes_per_s: Capacity for all traffic, in bytes per second.
    """

    source: str
    destination: str
    cap_bytes_per_s: int
