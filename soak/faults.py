"""Faults of a soak and the seeded choice of their series."""

import random

import attrs

VMS = {
    "coast-a-1": "coast-a",
    "coast-a-2": "coast-a",
    "coast-b-1": "coast-b",
    "lake-a-1": "lake-a",
}
# One VM of a zone leads many others; by turns it is the one that fails.
CROWDED_VMS = {f"coast-a-{number}": "coast-a" for number in range(1, 9)} | {
    "coast-b-1": "coast-b",
    "lake-a-1": "lake-a",
}
TARGETS = {"t1": "coast-a", "t2": "coast-b", "t3": "lake-a", "t4": "coast-a"}
ANSWER_FAULTS = (
    "reset",
    "fail",
    "truncate",
    "garbage",
    "unsigned",
    "unframed reset",
    "extra late",
    "reject",
)
# A series lets faults of one kind follow each other closely.
SERIES = (1, 3)
GAP_S = (0.1, 1.2)
FOR_S = (0.2, 4.0)
COLD_S = 3.0  # ColdStartS of the users' platform.
COLD_GAP_S = (0.5, 6.0)
# Time for which VMs are out of touch with the store before a target turns cold.
LOST_BEFORE_S = 3.0


@attrs.frozen
class Kill:
    """A VM's process is killed, and started again later."""

    vm: str


@attrs.frozen
class Stop:
    """A VM's process is asked to stop, and started again when it has ended."""

    vm: str


@attrs.frozen
class Pause:
    """A VM's process stands still."""

    vm: str


@attrs.frozen
class Reload:
    """A VM's settings are written anew."""

    vm: str
    signalled: bool


@attrs.frozen
class Link:
    """Connections from a VM, or from all, are disturbed.

    Attributes:
        vm: Name of the VM; empty for all.
        place: Where they lead: a target's name or `store`.
        how: `cut`, `delay`, `silent` or `one way`.
    """

    vm: str
    place: str
    how: str


@attrs.frozen
class Store:
    """The store misbehaves.

    Attributes:
        how: `refusing`, `silent`, `forgets` its history or `loses` answers.
    """

    how: str


@attrs.frozen
class Answers:
    """A target's next answers are bad."""

    target: str
    faults: tuple[str, ...]


@attrs.frozen
class Hang:
    """A target works very slowly."""

    target: str


@attrs.frozen
class Drain:
    """A target says that it drains."""

    target: str


@attrs.frozen
class Remove:
    """The entry of a target is missing."""

    target: str


@attrs.frozen
class Evacuate:
    """A zone's targets must get nothing."""

    zone: str


@attrs.frozen
class Configure:
    """An operator writes a new version.

    Attributes:
        rate_per_s: Limit of the account.
    """

    rate_per_s: int


@attrs.frozen
class Cool:
    """A target that runs turns cold, and warm again after a while."""

    target: str


Fault = (
    Kill
    | Stop
    | Pause
    | Reload
    | Link
    | Store
    | Answers
    | Hang
    | Drain
    | Remove
    | Evacuate
    | Configure
    | Cool
)


@attrs.frozen
class Planned:
    """When a fault begins and how long it lasts, in seconds."""

    at_s: float
    for_s: float
    fault: Fault


def plan(
    seed: int, duration_s: float, vms: dict[str, str]
) -> tuple[Planned, ...]:
    """Returns series of faults that overlap, in order of their beginning.

    Args:
        seed: Seed of all choices.
        duration_s: Time in which faults begin.
        vms: Zones of the VMs by name.
    """
    rng = random.Random(seed)
    planned = []
    at_s = 0.0
    while at_s < duration_s:
        fault = _draw(rng, vms)
        start_s = at_s
        for _ in range(rng.randint(*SERIES)):
            planned.append(Planned(start_s, rng.uniform(*FOR_S), fault))
            start_s += rng.uniform(*GAP_S)
        at_s += rng.uniform(*GAP_S)
    return tuple(sorted(planned, key=lambda one: one.at_s))


def cold_spells(
    seed: int, duration_s: float, vms: dict[str, str]
) -> tuple[Planned, ...]:
    """Returns targets that turn cold, mostly unheard by half of the VMs.

    Args:
        seed: Seed of all choices.
        duration_s: Time in which they begin.
        vms: Zones of the VMs by name.
    """
    rng = random.Random(f"cold/{seed}")
    planned = []
    at_s = LOST_BEFORE_S
    while at_s < duration_s:
        target = rng.choice(sorted(TARGETS))
        planned.append(Planned(at_s, COLD_S, Cool(target)))
        how = rng.choice(("", "cut", "silent", "one way"))
        if how:
            for vm in rng.sample(sorted(vms), len(vms) // 2):
                lost = Link(vm, "store", how)
                for_s = LOST_BEFORE_S + COLD_S
                planned.append(Planned(at_s - LOST_BEFORE_S, for_s, lost))
        at_s += COLD_S + rng.uniform(*COLD_GAP_S)
    return tuple(planned)


def _draw(rng: random.Random, vms: dict[str, str]) -> Fault:
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
        lambda: Answers(target, tuple(rng.choices(ANSWER_FAULTS, k=4))),
        lambda: Hang(target),
        lambda: Drain(target),
        lambda: Remove(target),
        lambda: Evacuate(TARGETS[target]),
        lambda: Configure(rng.choice((5, 20, 40))),
    )
    return rng.choice(makers)()
