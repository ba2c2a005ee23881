"""Routes, services, client accounts and limits of one configuration."""

import bisect
import enum
import itertools
import random

import attrs

ANY_REGION: frozenset[str] = frozenset()


class Repeatability(enum.Enum):
    """How often the requests of a route may run."""

    SAFE = "safe"
    AT_MOST_ONCE = "at-most-once"


@attrs.frozen
class WeightedService:
    """One service of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the requests below a path of a host go.

    Attributes:
        name: Name of the route.
        host: Host that callers name, in lower case.
        prefix: Path prefix with a slash at both ends.
        repeatability: How often a request may run.
        services: Services with their weights.
        timeout_s: Longest time until the final answer, in seconds.
        target_latency_s: Time in which an answer is on time, in seconds.
        max_attempts: Most targets that one request may be sent to.
        priority: Rank, 0 is the most urgent.
        public: Whether no key is needed.
        sticky: Whether targets answer faster for objects they know.
        home_regions: Regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 0
    public: bool = False
    sticky: bool = False
    home_regions: frozenset[str] = ANY_REGION

    def pick_service(self, rng: random.Random) -> str:
        """Returns a service, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        bounds = list(itertools.accumulate(s.weight for s in self.services))
        drawn = rng.random() * bounds[-1]
        index = bisect.bisect_right(bounds, drawn)
        return self.services[min(index, len(bounds) - 1)].service


@attrs.frozen
class Service:
    """What is configured of a service.

    Attributes:
        name: Name of the service.
        cold_rate_per_s: Requests per second that a cold target takes; 0 if
            unlimited.
    """

    name: str
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Name of the account.
        priority: Rank that goes before the route's; None to use the route's.
        rate_per_s: Requests per second over all VMs; 0 if unlimited.
        burst: Requests that may come at once over all VMs.
        home_regions: Regions that may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = ANY_REGION


@attrs.frozen
class CallerLimits:
    """What a caller may send.

    Attributes:
        max_body_bytes: Largest request body, in bytes.
        idle_timeout_s: Time that a connection may stay idle, in seconds.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """One version of the configuration, indexed.

    Attributes:
        version: Version that the operator gave it.
        routes_by_host: Routes of each host, longest prefix first.
        services: Services by name.
        accounts: Client accounts by name.
        account_by_key: Client account of each key.
        limits: What a caller may send.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, Account]
    limits: CallerLimits = CallerLimits()

    @property
    def keys_required(self) -> bool:
        """Whether routes that are not public ask for a key."""
        return bool(self.accounts)

    def route_of(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host as the caller named it, with or without a port.
            path: Path without query.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def build_table(
    version: int,
    routes: tuple[Route, ...],
    services: tuple[Service, ...],
    accounts: tuple[tuple[Account, tuple[str, ...]], ...],
    limits: CallerLimits,
) -> RoutingTable:
    """Returns the indexed table.

    Args:
        version: Version of the configuration.
        routes: All routes.
        services: All services.
        accounts: Client accounts with their keys.
        limits: What a caller may send.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RoutingTable(
        version=version,
        routes_by_host={
            host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
            for host, found in by_host.items()
        },
        services={service.name: service for service in services},
        accounts={account.name: account for account, _ in accounts},
        account_by_key={
            key: account for account, keys in accounts for key in keys
        },
        limits=limits,
    )


def allowed_regions(
    route: Route, account: Account | None
) -> frozenset[str] | None:
    """Returns the regions that may serve a request; None for all.

    Where route and account both have homes, both bind.

    Args:
        route: Route of the request.
        account: Client account, or None on public routes.
    """
    homes = [route.home_regions] if route.home_regions else []
    if account is not None and account.home_regions:
        homes.append(account.home_regions)
    if not homes:
        return None
    return frozenset.intersection(*homes)
