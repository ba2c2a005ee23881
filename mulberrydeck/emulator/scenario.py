"""Scenarios of the emulator, which are read from TOML files."""

import pathlib

import attrs

from mulberrydeck.settings import loading


@attrs.frozen
class TargetGroup:
    """Identical targets of one service in one zone.

    Attributes:
        service: Name of the service.
        zone: Their availability zone.
        count: Number of targets.
        slots: Requests that each target processes concurrently.
        queue: Requests that may wait at each target.
        remembered: Capacity of each target's cache, in objects; the least
            recently used object is evicted.
        reports_speed: Whether their responses report the current duration of
            work as well.
    """

    service: str
    zone: str
    count: int
    slots: int = 4
    queue: int = 12
    remembered: int = 40
    reports_speed: bool = False


@attrs.frozen
class RequestClass:
    """Requests of one kind.

    Attributes:
        name: Name of the kind.
        service: Service that runs them.
        rate_per_s: Requests per second over all regions.
        work_s: Mean processing time of a request whose object is not in the
            target's cache, in seconds.
        warm_factor: Processing time for an object in the cache, relative to
            `work_s`.
        objects: Number of objects in each region.
        goal_s: Latency up to which a response is on time, in seconds.
        deadline_s: Time after which callers give up, in seconds.
        timeout_s: Timeout of the route, in seconds.
        repeatable: Whether a request may run more than once.
        priority: Priority of the route; 0 is the highest.
        value: Value of a response on time.
        late_value: Value of a successful response after `goal_s`.
    """

    name: str
    service: str
    rate_per_s: float
    work_s: float
    warm_factor: float = 0.3
    objects: int = 40
    goal_s: float = 0.3
    deadline_s: float = 2.0
    timeout_s: float = 2.0
    repeatable: bool = True
    priority: int = 0
    value: float = 1.0
    late_value: float = 0.2


@attrs.frozen
class AccountPlan:
    """A client account, or several equal ones.

    Attributes:
        name: Name of the account; several get numbers after it.
        weight: Relative share of the requests of each.
        rate_per_s: Rate limit over all VMs, in requests per second; 0 if
            unlimited.
        burst: Burst limit over all VMs, in requests.
        count: Number of accounts.
    """

    name: str
    weight: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0
    count: int = 1


@attrs.frozen
class Surge:
    """A temporary multiplication of the usual load.

    Attributes:
        at_s: Its start, in seconds after the start of arrivals.
        for_s: Its duration, in seconds.
        factor: Load as a multiple of the usual load.
        account: Account whose load is multiplied; empty for all.
        kind: Kind of requests whose load is multiplied; empty for all.
    """

    at_s: float
    for_s: float
    factor: float
    account: str = ""
    kind: str = ""


@attrs.frozen
class Slowdown:
    """A temporary slowdown of some targets.

    Attributes:
        at_s: Its start, in seconds after the start of arrivals.
        for_s: Its duration, in seconds.
        part: Fraction of the targets of each service and zone.
        factor: Processing time as a multiple of the usual one.
    """

    at_s: float
    for_s: float
    part: float
    factor: float


@attrs.frozen
class Tail:
    """Requests that take far longer than the others of their kind.

    Attributes:
        share: Fraction of the requests.
        factor: Processing time as a multiple of that of the others.
    """

    share: float = 0.0
    factor: float = 1.0


@attrs.frozen
class Scenario:
    """A fleet and the load on it during one run, the emulated day.

    Attributes:
        duration_s: Time over which requests arrive, in seconds.
        region_by_zone: Region of each zone.
        vms_by_zone: Number of VMs in each zone.
        targets: All targets.
        classes: All kinds of requests.
        accounts: All client accounts.
        surges: Temporary multiplications of the load.
        slowdowns: Temporary slowdowns of targets.
        tail: Requests that take far longer than others.
        noise_share: Fraction of the targets that other users of their machines
            slow down, drawn anew in each period.
        noise_factor: Processing time there as a multiple of the usual one.
        noise_period_s: Length of these periods, in seconds.
        wave: Relative amplitude of the waves of each region's load.
        wave_period_s: Period of the waves, in seconds.
        near_s: One-way delay between zones of a region, in seconds.
        far_s: One-way delay between regions, in seconds.
        caller_s: One-way delay between callers and VMs, in seconds.
    """

    duration_s: float
    region_by_zone: dict[str, str]
    vms_by_zone: dict[str, int]
    targets: tuple[TargetGroup, ...]
    classes: tuple[RequestClass, ...]
    accounts: tuple[AccountPlan, ...] = (AccountPlan("acme"),)
    surges: tuple[Surge, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    tail: Tail = Tail()
    noise_share: float = 0.0
    noise_factor: float = 1.0
    noise_period_s: float = 0.6
    wave: float = 0.5
    wave_period_s: float = 36.0
    near_s: float = 0.0005
    far_s: float = 0.012
    caller_s: float = 0.008

    @property
    def regions(self) -> list[str]:
        """Names of all regions, sorted."""
        return sorted(set(self.region_by_zone.values()))

    @property
    def single_accounts(self) -> list[AccountPlan]:
        """All accounts, each with a name and a count of one."""
        accounts = []
        for plan in self.accounts:
            for number in range(1, plan.count + 1):
                name = f"{plan.name}-{number}" if plan.count > 1 else plan.name
                accounts.append(attrs.evolve(plan, name=name, count=1))
        return accounts


def load(path: pathlib.Path) -> Scenario:
    """Returns the scenario of a TOML file.

    Raises:
        errors.SettingsError: The file is missing or malformed.
    """
    return loading.load_as(path, Scenario, "docs/emulator.md")


def with_load(scenario: Scenario, factor: float) -> Scenario:
    """Returns a scenario with a multiple of the rate of each kind."""
    classes = tuple(
        attrs.evolve(kind, rate_per_s=kind.rate_per_s * factor)
        for kind in scenario.classes
    )
    return attrs.evolve(scenario, classes=classes)


def with_vms(scenario: Scenario, count: int) -> Scenario:
    """Returns a scenario with another number of VMs.

    They are spread over the zones in proportion to the VMs of the scenario.

    Args:
        scenario: The scenario.
        count: Number of VMs, at least the number of zones.
    """
    total = sum(scenario.vms_by_zone.values())
    vms_by_zone = {}
    before = 0
    for zone, vms in scenario.vms_by_zone.items():
        after = before + vms
        vms_by_zone[zone] = round(count * after / total) - round(
            count * before / total
        )
        before = after
    return attrs.evolve(scenario, vms_by_zone=vms_by_zone)
