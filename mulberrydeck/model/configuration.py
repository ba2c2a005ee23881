"""The configuration that operators write and every VM applies."""

import attrs

from mulberrydeck.model import places
from mulberrydeck.model import selectors


@attrs.frozen
class Route:
    """Requests to a service that share a path prefix, methods and rules.

    Attributes:
        name: Name, unique within the service.
        path_prefix: Prefix of the paths of its requests; it must match whole
            segments, so `/fees` does not match `/feesx`.
        methods: HTTP methods; empty means all.
        open_to_all: Whether no key is needed.
        repeatable: Whether a request may run more than once (idempotent).
        deadline_s: Time allowed for the whole request, in seconds.
    """

    name: str
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    open_to_all: bool = False
    repeatable: bool = True
    deadline_s: float = 10.0


@attrs.frozen
class Service:
    """A service that callers reach through the system.

    Attributes:
        name: Unique name.
        labels: Operator-defined labels.
        routes: Routes; the longest matching prefix wins.
    """

    name: str
    labels: dict[str, str] = attrs.field(factory=dict)
    routes: tuple[Route, ...] = ()


@attrs.frozen
class Target:
    """An instance of a service, outside the system.

    Attributes:
        name: Unique name.
        service: Name of its service.
        zone: Name of its availability zone.
        host: IP address.
        port: TCP port.
        slots: Number of requests that it handles at the same time.
        draining: Whether it is leaving and receives no new requests.
        labels: Operator-defined labels.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    draining: bool = False
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class ClientAccount:
    """A tenant on whose behalf callers send requests.

    Attributes:
        name: Unique name.
        labels: Operator-defined labels.
    """

    name: str
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class AccessRule:
    """States which client accounts may reach which services.

    Attributes:
        name: Unique name.
        accounts: Selects client accounts.
        services: Selects services.
    """

    name: str
    accounts: selectors.Selector
    services: selectors.Selector


@attrs.frozen
class Preference:
    """Zones of a spill order; one or several preferences form a step.

    Attributes:
        zones: Selects zones by their labels. The labels `zone` and `region`
            are implied, and `local` is `zone`, `region` or `remote` relative
            to the VM that decides.
        weight: Relative share among the zones of the same step.
        same_step: Whether it belongs to the step of the preference before it.
    """

    zones: selectors.Selector
    weight: int = 1
    same_step: bool = False


@attrs.frozen
class SteeringRule:
    """States where the traffic of some services goes.

    Attributes:
        name: Unique name.
        services: Selects services; the first matching rule wins.
        spill_order: Preferences; the steps that they form are tried in order
            until one has free capacity.
    """

    name: str
    services: selectors.Selector
    spill_order: tuple[Preference, ...]


@attrs.frozen
class LimitRule:
    """States how much each matching client account may send.

    Attributes:
        name: Unique name.
        accounts: Selects client accounts; the first matching rule wins.
        rate_per_s: Requests per second, over the whole fleet.
        burst: Requests that may arrive at once, over the whole fleet.
    """

    name: str
    accounts: selectors.Selector
    rate_per_s: float
    burst: int


@attrs.frozen
class Configuration:
    """Everything that operators declare.

    Attributes:
        regions: Regions.
        zones: Availability zones.
        links: Directed links between regions.
        services: Services with their routes.
        targets: Targets of all services.
        accounts: Client accounts.
        access: Access rules.
        steering: Steering rules, first match wins.
        limits: Limit rules, first match wins.
    """

    regions: tuple[places.Region, ...] = ()
    zones: tuple[places.Zone, ...] = ()
    links: tuple[places.Link, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    access: tuple[AccessRule, ...] = ()
    steering: tuple[SteeringRule, ...] = ()
    limits: tuple[LimitRule, ...] = ()
