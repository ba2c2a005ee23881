"""What an emulated day consists of, read from TOML."""

import pathlib

import attrs

from mulberrydeck.settings import loading


@attrs.frozen
class TargetGroup:
    """Equal targets of one service in one zone.

    Attributes:
        service: Name of the service.
        zone: Their availability zone.
        count: How many there are.
        slots: Requests that each works on at the same time.
        queue: Requests that each lets wait.
        remembered: Objects that each knows after it served them.
    """

    service: str
    zone: str
    count: int
    slots: int = 4
    queue: int = 12
    remembered: int = 40


@attrs.frozen
class RequestClass:
    """Requests of one kind.

    Attributes:
        name: Name of the kind.
        service: Service that runs them.
        rate_per_s: Requests a second over all zones.
        work_s: Mean work on an unknown object, in seconds.
        warm_factor: Work on a remembered object relative to an unknown one.
        objects: Objects of each region.
        goal_s: Time in which an answer is on time, in seconds.
        deadline_s: How long callers wait, in seconds.
        timeout_s: Time-out of the route, in seconds.
        repeatable: Whether they may run more than once.
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


@attrs.frozen
class AccountPlan:
    """A client account.

    Attributes:
        name: Name of the account.
        weight: Share of the requests, relative to the others.
        rate_per_s: Its limit over all VMs; 0 if unlimited.
        burst: Requests at once over all VMs.
    """

    name: str
    weight: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class Surge:
    """Times the usual load for a while.

    Attributes:
        at_s: Its start, in seconds.
        for_s: Its duration, in seconds.
        factor: Times the usual load.
        account: Only this account's requests; empty for all.
    """

    at_s: float
    for_s: float
    factor: float
    account: str = ""


@attrs.frozen
class Slowdown:
    """Makes some targets of each service slow for a while.

    Attributes:
        at_s: Its beginning, in seconds.
        for_s: Its duration, in seconds.
        part: Part of the targets of each service and zone.
        factor: Times the usual work.
    """

    at_s: float
    for_s: float
    part: float
    factor: float


@attrs.frozen
class Scenario:
    """A day of load.

    Attributes:
        duration_s: Length of the day, in seconds.
        region_by_zone: Region of each zone.
        vms_by_zone: Number of VMs in each zone.
        targets: All targets.
        classes: All kinds of requests.
        accounts: All client accounts.
        surges: Deviations from the usual load.
        slowdowns: Times in which targets are slow.
        wave: Relative swing of each region's load.
        wave_period_s: Period of the waves, in seconds.
        near_s: One way between zones of a region, in seconds.
        far_s: One way between regions, in seconds.
        caller_s: One way between callers and VMs, in seconds.
    """

    duration_s: float
    region_by_zone: dict[str, str]
    vms_by_zone: dict[str, int]
    targets: tuple[TargetGroup, ...]
    classes: tuple[RequestClass, ...]
    accounts: tuple[AccountPlan, ...] = (AccountPlan("acme"),)
    surges: tuple[Surge, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    wave: float = 0.5
    wave_period_s: float = 36.0
    near_s: float = 0.0005
    far_s: float = 0.012
    caller_s: float = 0.008


def load(path: pathlib.Path) -> Scenario:
    """Returns the scenario of a TOML file.

    Raises:
        errors.SettingsError: The file is missing or malformed.
    """
    return loading.load_as(path, Scenario, "docs/emulator.md")
