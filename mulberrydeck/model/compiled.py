"""Indexes of a configuration for fast lookups."""

from collections.abc import Iterable
import itertools

import attrs

from mulberrydeck import errors
from mulberrydeck.model import client_blocks
from mulberrydeck.model import configuration
from mulberrydeck.model import implied_labels
from mulberrydeck.model import places
from mulberrydeck.model import route_index

DEFAULT_LOCALITIES = ("zone", "region", "remote")


@attrs.frozen
class Step:
    """Zones of one step of a spill order, which are tried together.

    Attributes:
        zones: Pairs of zone name and relative weight.
    """

    zones: tuple[tuple[str, int], ...]


class CompiledConfiguration:
    """A configuration with its indexes.

    Attributes:
        source: The configuration.
        version: Its version in the platform.
        zone_names: Names of all zones, sorted.
    """

    def __init__(
        self,
        source: configuration.Configuration,
        version: int,
        blocks: client_blocks.BlockIndex | None = None,
    ):
        self.source = source
        self.version = version
        self.zones = {zone.name: zone for zone in source.zones}
        self.regions = {region.name: region for region in source.regions}
        self.services = {service.name: service for service in source.services}
        self.accounts = {account.name: account for account in source.accounts}
        self.targets = {target.name: target for target in source.targets}
        self.links = {
            (link.source, link.destination): link for link in source.links
        }
        self.regions_by_zone = {
            zone.name: self.regions[zone.region] for zone in source.zones
        }
        self.zone_names = tuple(sorted(self.zones))
        self.route_indexes = {
            service.name: route_index.RouteIndex(service.routes)
            for service in source.services
        }
        self.targets_by_zone = _group_by_zone(source.targets)
        self.zones_by_service = self._zones_by_service()
        self.limits = {
            account.name: _first_limit_rule(source.limits, account)
            for account in source.accounts
        }
        self.blocks = blocks or client_blocks.BlockIndex(source.zones)
        self.access_rules: dict[
            tuple[str, str], configuration.AccessRule | None
        ] = {}
        self.spill_orders: dict[tuple[str, str], tuple[Step, ...]] = {}

    def route_of(
        self, service: str, method: str, path: str
    ) -> configuration.Route | None:
        """Returns the route of a request, or None.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, starting with `/`.
        """
        index = self.route_indexes.get(service)
        if index is None:
            return None
        return index.find(method, path)

    def access_rule(
        self, account: str, service: str
    ) -> configuration.AccessRule | None:
        """Returns the first rule by which an account may reach a service.

        Args:
            account: Name of the client account.
            service: Name of the service.
        """
        key = (account, service)
        if key in self.access_rules:
            return self.access_rules[key]
        if account not in self.accounts or service not in self.services:
            return None
        rule = self._first_access_rule(account, service)
        self.access_rules[key] = rule
        return rule

    def limit_of(self, account: str) -> configuration.LimitRule | None:
        """Returns the first limit rule that selects an account, or None."""
        return self.limits.get(account)

    def steering_rule(self, service: str) -> configuration.SteeringRule | None:
        """Returns the first steering rule that selects a service, or None."""
        declared = self.services.get(service)
        if declared is None:
            return None
        labels = implied_labels.of_service(declared)
        for rule in self.source.steering:
            if rule.services.matches(labels):
                return rule
        return None

    def spill_order(self, service: str, from_zone: str) -> tuple[Step, ...]:
        """Returns the zones to try for a service, step by step.

        Only zones with targets of the service are named, each once. Without a
        steering rule, the deciding zone comes first, then the rest of its
        region, then all other zones.

        Args:
            service: Name of the service.
            from_zone: Name of the zone whose VM decides.
        """
        key = (service, from_zone)
        if key in self.spill_orders:
            return self.spill_orders[key]
        if from_zone not in self.zones or service not in self.services:
            return ()
        steps = self._steps(service, self.zones[from_zone])
        self.spill_orders[key] = steps
        return steps

    def zone_labels(
        self, service: str, from_zone: places.Zone
    ) -> dict[str, dict[str, str]]:
        """Returns the labels of each zone with targets of a service.

        Args:
            service: Name of the service.
            from_zone: Zone whose VM decides.
        """
        return {
            name: implied_labels.of_zone(
                self.zones[name], self.regions_by_zone[name], from_zone
            )
            for name in sorted(self.zones_by_service[service])
        }

    def targets_in(self, zone: str) -> tuple[configuration.Target, ...]:
        """Returns all targets of a zone."""
        return self.targets_by_zone.get(zone, ())

    def region_of(self, zone: str) -> str:
        """Returns the region of a zone, or empty if the zone is unknown."""
        declared = self.zones.get(zone)
        return declared.region if declared else ""

    def knows_place(self, place: str) -> bool:
        """Returns whether a place is a zone, a region or in a client block.

        Args:
            place: IP address of a caller, or name of a zone or region.
        """
        return (
            place in self.zones
            or place in self.regions
            or self.blocks.zone_of(place) is not None
        )

    def zones_near(self, place: str) -> tuple[str, ...]:
        """Returns all zones, nearest first.

        Args:
            place: IP address of a caller, or name of a zone or region; all
                zones are equally near to an unknown place.
        """
        zone = place if place in self.zones else self.blocks.zone_of(place)
        region = place
        if zone is not None:
            region = self.zones[zone].region

        def distance(name: str) -> int:
            if name == zone:
                return 0
            return 1 if self.zones[name].region == region else 2

        return tuple(sorted(self.zone_names, key=distance))

    def _first_access_rule(
        self, account: str, service: str
    ) -> configuration.AccessRule | None:
        account_labels = implied_labels.of_account(self.accounts[account])
        service_labels = implied_labels.of_service(self.services[service])
        for rule in self.source.access:
            if rule.accounts.matches(account_labels) and rule.services.matches(
                service_labels
            ):
                return rule
        return None

    def _zones_by_service(self) -> dict[str, set[str]]:
        zones: dict[str, set[str]] = {name: set() for name in self.services}
        for target in self.source.targets:
            zone = self.zones[target.zone]
            zones[target.service].add(zone.name)
        return zones

    def _steps(self, service: str, from_zone: places.Zone) -> tuple[Step, ...]:
        labels_by_zone = self.zone_labels(service, from_zone)
        rule = self.steering_rule(service)
        if rule is None:
            return _default_steps(labels_by_zone)
        return _rule_steps(rule, labels_by_zone)


def compile_configuration(
    source: configuration.Configuration,
    version: int,
    previous: CompiledConfiguration | None = None,
) -> CompiledConfiguration:
    """Returns a configuration with its indexes.

    Args:
        source: A checked configuration.
        version: Its version in the platform.
        previous: The configuration that it replaces; its index of client
            blocks, which is slow to build, is reused if the blocks are equal.

    Raises:
        errors.ConfigurationError: The configuration was not checked; it
            contains an invalid client block or refers to something that it
            does not declare.
    """
    blocks = None
    if previous is not None and _blocks(previous.source) == _blocks(source):
        blocks = previous.blocks
    try:
        return CompiledConfiguration(source, version, blocks)
    except (KeyError, ValueError, OSError) as error:
        raise errors.ConfigurationError(
            f"Version {version} is invalid ({error!r}); apply one that "
            "`mulberrydeck check` accepts."
        ) from error


def zones_by_preference(
    rule: configuration.SteeringRule, labels_by_zone: dict[str, dict[str, str]]
) -> list[list[str]]:
    """Returns the zones that each preference of a spill order adds.

    Args:
        rule: The steering rule.
        labels_by_zone: Labels of the zones with targets, seen from the zone of
            the deciding VM.
    """
    remaining = dict(labels_by_zone)
    chosen_zones = []
    for preference in rule.spill_order:
        chosen = [
            name
            for name, labels in remaining.items()
            if preference.zones.matches(labels)
        ]
        for name in chosen:
            del remaining[name]
        chosen_zones.append(chosen)
    return chosen_zones


def _blocks(
    source: configuration.Configuration,
) -> list[tuple[str, tuple[str, ...]]]:
    return [(zone.name, zone.client_blocks) for zone in source.zones]


def _default_steps(
    labels_by_zone: dict[str, dict[str, str]],
) -> tuple[Step, ...]:
    steps = []
    for locality in DEFAULT_LOCALITIES:
        zones = tuple(
            (name, 1)
            for name, labels in labels_by_zone.items()
            if labels["local"] == locality
        )
        if zones:
            steps.append(Step(zones))
    return tuple(steps)


def _rule_steps(
    rule: configuration.SteeringRule, labels_by_zone: dict[str, dict[str, str]]
) -> tuple[Step, ...]:
    steps: list[list[tuple[str, int]]] = []
    chosen_zones = zones_by_preference(rule, labels_by_zone)
    for preference, chosen in zip(rule.spill_order, chosen_zones, strict=True):
        weighted = [(name, preference.weight) for name in chosen]
        if preference.same_step and steps:
            steps[-1].extend(weighted)
        else:
            steps.append(weighted)
    return tuple(Step(tuple(step)) for step in steps if step)


def _first_limit_rule(
    limits: Iterable[configuration.LimitRule],
    account: configuration.ClientAccount,
) -> configuration.LimitRule | None:
    labels = implied_labels.of_account(account)
    for limit in limits:
        if limit.accounts.matches(labels):
            return limit
    return None


def _group_by_zone(
    targets: Iterable[configuration.Target],
) -> dict[str, tuple[configuration.Target, ...]]:
    ordered = sorted(targets, key=lambda target: (target.zone, target.name))
    grouped = itertools.groupby(ordered, key=lambda target: target.zone)
    return {zone: tuple(members) for zone, members in grouped}
