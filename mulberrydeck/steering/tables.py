"""Routing table: routes, services, accounts and limits of a configuration."""

import bisect
import enum
import itertools
import random

import attrs

ANY_REGION: frozenset[str] = frozenset()


class Repeatability(enum.Enum):
    """How often a request of a route may be executed."""

    SAFE = "safe"
    AT_MOST_ONCE = "at-most-once"


@attrs.frozen
class WeightedService:
    """A service of a route, with its weight.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the route's other services.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rule for the requests below a path prefix of a host.

    Attributes:
        name: Name of the route.
        host: Value of the `Host` field, without port and in lower case.
        prefix: Path prefix with a slash at both ends.
        repeatability: How often a request may be executed.
        services: Services with their weights.
        timeout_s: Longest time until the final response, in seconds.
        target_latency_s: Latency up to which a response is on time, in seconds.
        max_attempts: Maximum number of targets that a request is sent to.
        priority: Priority; 0 is the highest.
        public: Whether requests need no key.
        sticky: Whether targets respond faster for objects that they know.
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
        """Returns a random service, by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        bounds = list(itertools.accumulate(s.weight for s in self.services))
        drawn = rng.random() * bounds[-1]
        index = bisect.bisect_right(bounds, drawn)
        return self.services[min(index, len(bounds) - 1)].service


@attrs.frozen
class Service:
    """Configuration of a service.

    Attributes:
        name: Name of the service.
        cold_rate_per_s: Requests per second that a cold target accepts; 0 if
            unlimited.
    """

    name: str
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Name of the account.
        priority: Overrides the priority of the route, unless None.
        rate_per_s: Requests per second over all VMs; 0 if unlimited.
        burst: Requests that may arrive at once over all VMs.
        home_regions: Regions that may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = ANY_REGION


@attrs.frozen
class CallerLimits:
    """Limits on what a caller may send.

    Attributes:
        max_body_bytes: Largest request body, in bytes.
        idle_timeout_s: Longest idle time of a connection, in seconds.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """A version of the configuration, indexed for lookups.

    Attributes:
        version: Version number that the operator assigned.
        routes_by_host: Routes of each host, longest prefix first.
        services: Services by name.
        accounts: Client accounts by name.
        account_by_key: Client account of each key.
        limits: Limits on what a caller may send.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, Account]
    limits: CallerLimits = CallerLimits()

    @property
    def keys_required(self) -> bool:
        """Whether routes that are not public require a key."""
        return bool(self.accounts)

    def route_of(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Value of the `Host` field, with or without a port.
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
    """Returns a routing table, indexed for lookups.

    Args:
        version: Version of the configuration.
        routes: All routes.
        services: All services.
        accounts: Client accounts with their keys.
        limits: Limits on what a caller may send.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RoutingTable(
        version=version,
        routes_by_host={
            host: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
            for host, host_routes in by_host.items()
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

    If both route and account have home regions, both restrict the result.

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
