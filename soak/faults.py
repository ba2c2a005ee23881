"""Faults of a soak and their selection from a seed."""

import random

import attrs

from standins.users_platform import odd_entries

VMS = {
    "coast-a-1": "coast-a",
    "coast-a-2": "coast-a",
    "coast-b-1": "coast-b",
    "lake-a-1": "lake-a",
}
# Many VMs of one zone depend on its leader, which is hit by some of the faults.
CROWDED_VMS = {f"coast-a-{number}": "coast-a" for number in range(1, 9)} | {
    "coast-b-1": "coast-b",
    "lake-a-1": "lake-a",
}
TARGETS = {"t1": "coast-a", "t2": "coast-b", "t3": "lake-a", "t4": "coast-a"}
RESPONSE_FAULTS = (
    "reset",
    "fail",
    "truncate",
    "garbage",
    "unsigned",
    "unframed reset",
    "extra late",
    "reject",
)
# Reported by operators of similar systems.
REPORTED_RESPONSE_FAULTS = (
    "cut head",
    "reject twice",
    "reject bare twice",
    "extra late",
    "ran 408",
    "ran 429",
    "ran 429 pause",
    "ran 500",
    "ran 503",
    "ran 503 pause",
    "ran 503 blank",
    "ran 503 broken",
    "ran 503 long",
    "ran 503 long broken",
    "ran 200 marked",
    "ran 500 marked",
    "reject broken",
    "reject early",
    "reject twice interim",
    "reject twice interim bare",
    "reject twice spaced",
)
# Range of the number of faults in a series. They are the same fault, started
# again after a short gap.
SERIES_LENGTH = (1, 3)
GAP_RANGE_S = (0.1, 1.2)
DURATION_RANGE_S = (0.2, 4.0)
COLD_S = 3.0  # `ColdStartS` of the users' platform.
COLD_GAP_RANGE_S = (0.5, 6.0)
# Time from the loss of the store by VMs until a target turns cold.
STORE_LOSS_LEAD_S = 3.0
# Gap between the starts of two groups of stops.
STOP_GAP_RANGE_S = (7.0, 10.0)
# Range in which the VMs of a group are told to stop.
STOP_SPREAD_S = 0.3


@attrs.frozen
class Kill:
    """A VM's process is killed, and restarted at the end of the fault."""

    vm: str


@attrs.frozen
class Stop:
    """A VM's process is stopped by SIGTERM, and restarted later.

    Attributes:
        vm: Name of the VM.
        how: Empty; `reloading` if a SIGHUP precedes the signal; `paused` if the
            process is suspended and resumed while it stops.
    """

    vm: str
    how: str = ""


@attrs.frozen
class Pause:
    """A VM's process is suspended by SIGSTOP."""

    vm: str


@attrs.frozen
class Reload:
    """A VM's settings file is rewritten.

    Attributes:
        vm: Name of the VM.
        signalled: Whether it is told to reload by SIGHUP.
    """

    vm: str
    signalled: bool


@attrs.frozen
class Link:
    """Connections from a VM, or from all VMs, are disturbed.

    Attributes:
        vm: Name of the VM; empty for all.
        place: Their destination: the name of a target, or `store`.
        how: `cut`, `delay`, `silent` (open connections carry no more data) or
            `one way` (data from the destination is held).
    """

    vm: str
    place: str
    how: str


@attrs.frozen
class Store:
    """The store fails.

    Attributes:
        how: `refusing` or `silent` for the duration of the fault; `forgets` its
            history or `loses` the response to the next write.
    """

    how: str


@attrs.frozen
class FaultyResponses:
    """A target's next responses are faulty."""

    target: str
    faults: tuple[str, ...]


@attrs.frozen
class SlowWork:
    """A target processes requests very slowly."""

    target: str


@attrs.frozen
class Drain:
    """A target reports that it is draining."""

    target: str


@attrs.frozen
class Remove:
    """The entry of a target is removed from the store."""

    target: str


@attrs.frozen
class Evacuate:
    """A zone is evacuated: its targets must receive no requests."""

    zone: str


@attrs.frozen
class Configure:
    """An operator writes a new version of the configuration.

    Attributes:
        rate_per_s: Rate limit of the account, in requests per second.
    """

    rate_per_s: int


@attrs.frozen
class Cool:
    """A running target turns cold, and is warm again after `COLD_S`."""

    target: str


@attrs.frozen
class OddEntry:
    """Another writer leaves an entry among those of the targets.

    Attributes:
        name: Name of the entry, a key of `odd_entries.ENTRIES`.
    """

    name: str


Fault = (
    Kill
    | Stop
    | Pause
    | Reload
    | Link
    | Store
    | FaultyResponses
    | SlowWork
    | Drain
    | Remove
    | Evacuate
    | Configure
    | Cool
    | OddEntry
)


@attrs.frozen
class PlannedFault:
    """A fault with its start and duration in the soak, in seconds."""

    start_s: float
    duration_s: float
    fault: Fault


def plan(
    seed: int, duration_s: float, vms: dict[str, str]
) -> tuple[PlannedFault, ...]:
    """Returns overlapping series of faults, in order of their start.

    Args:
        seed: Seed of the random generator.
        duration_s: Time within which faults start, in seconds.
        vms: Zones of the VMs by name.
    """
    rng = random.Random(seed)
    planned_faults = []
    start_s = 0.0
    while start_s < duration_s:
        fault = _draw_fault(rng, vms)
        fault_start_s = start_s
        for _ in range(rng.randint(*SERIES_LENGTH)):
            planned_faults.append(
                PlannedFault(
                    fault_start_s, rng.uniform(*DURATION_RANGE_S), fault
                )
            )
            fault_start_s += rng.uniform(*GAP_RANGE_S)
        start_s += rng.uniform(*GAP_RANGE_S)
    return tuple(sorted(planned_faults, key=lambda planned: planned.start_s))


def plan_cold_targets(
    seed: int, duration_s: float, vms: dict[str, str]
) -> tuple[PlannedFault, ...]:
    """Returns faults that turn targets cold.

    Most coincide with the loss of the store by half of the VMs.

    Args:
        seed: Seed of the random generator.
        duration_s: Time within which targets turn cold, in seconds.
        vms: Zones of the VMs by name.
    """
    rng = random.Random(f"cold/{seed}")
    planned_faults = []
    start_s = STORE_LOSS_LEAD_S
    while start_s < duration_s:
        target = rng.choice(sorted(TARGETS))
        planned_faults.append(PlannedFault(start_s, COLD_S, Cool(target)))
        how = rng.choice(("", "cut", "silent", "one way"))
        if how:
            for vm in rng.sample(sorted(vms), len(vms) // 2):
                link_fault = Link(vm, "store", how)
                loss_s = STORE_LOSS_LEAD_S + COLD_S
                planned_faults.append(
                    PlannedFault(
                        start_s - STORE_LOSS_LEAD_S, loss_s, link_fault
                    )
                )
        start_s += COLD_S + rng.uniform(*COLD_GAP_RANGE_S)
    return tuple(planned_faults)


def plan_faulty_targets(
    seed: int, duration_s: float
) -> tuple[PlannedFault, ...]:
    """Returns faulty responses and odd entries of targets.

    Args:
        seed: Seed of the random generator.
        duration_s: Time within which faults start, in seconds.
    """
    rng = random.Random(f"faulty/{seed}")
    planned_faults = []
    start_s = 0.0
    while start_s < duration_s:
        if rng.random() < 0.5:
            fault = OddEntry(rng.choice(sorted(odd_entries.ENTRIES)))
        else:
            response_faults = rng.choices(REPORTED_RESPONSE_FAULTS, k=4)
            target = rng.choice(sorted(TARGETS))
            fault = FaultyResponses(target, tuple(response_faults))
        duration = rng.uniform(*DURATION_RANGE_S)
        planned_faults.append(PlannedFault(start_s, duration, fault))
        start_s += rng.uniform(*GAP_RANGE_S)
    return tuple(planned_faults)


def plan_stops(
    seed: int, duration_s: float, vms: dict[str, str]
) -> tuple[PlannedFault, ...]:
    """Returns stops of one VM, or of several at once.

    Args:
        seed: Seed of the random generator.
        duration_s: Time within which stops start, in seconds.
        vms: Zones of the VMs by name.
    """
    rng = random.Random(f"stops/{seed}")
    planned_faults = []
    start_s = rng.uniform(*DURATION_RANGE_S)
    while start_s < duration_s:
        count = rng.choice((1, 2, len(vms) - 1))
        for vm in rng.sample(sorted(vms), count):
            how = rng.choice(("", "", "reloading", "paused"))
            planned_faults.append(
                PlannedFault(
                    start_s + rng.uniform(0, STOP_SPREAD_S),
                    rng.uniform(*GAP_RANGE_S),
                    Stop(vm, how),
                )
            )
        start_s += rng.uniform(*STOP_GAP_RANGE_S)
    return tuple(planned_faults)


def _draw_fault(rng: random.Random, vms: dict[str, str]) -> Fault:
    vm = rng.choice(sorted(vms))
    target = rng.choice(sorted(TARGETS))
    makers = (
        lambda: Kill(vm),
        lambda: Stop(vm),
        lambda: Pause(vm),
        lambda: Reload(vm, rng.random() < 0.5),
        lambda: Link(
            rng.choice(("", vm)),
            rng.choice(("store", target)),
            rng.choice(("cut", "delay", "silent", "one way")),
        ),
        lambda: Store(rng.choice(("refusing", "silent", "forgets", "loses"))),
        lambda: FaultyResponses(
            target, tuple(rng.choices(RESPONSE_FAULTS, k=4))
        ),
        lambda: SlowWork(target),
        lambda: Drain(target),
        lambda: Remove(target),
        lambda: Evacuate(TARGETS[target]),
        lambda: Configure(rng.choice((5, 20, 40))),
    )
    return rng.choice(makers)()
