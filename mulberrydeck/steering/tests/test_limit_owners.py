"""Owners of account limits while VMs come and go."""

import random

from mulberrydeck.routing import hashing
from mulberrydeck.steering import limit_owners
from mulberrydeck.steering import tables

REGIONS = ("a", "b", "c")
ACCOUNTS = [
    tables.Account(f"account-{number}", rate_per_s=10.0, burst=float(burst))
    for number, burst in enumerate((1, 20, 60, 1000))
]


def fleet(count):
    return {f"vm-{n}": REGIONS[n % len(REGIONS)] for n in range(count)}


def test_owners_are_those_of_a_fleet_that_was_never_different():
    rng = random.Random(1)
    everyone = fleet(60)
    kept = limit_owners.LimitOwners()
    for _ in range(40):
        names = rng.sample(sorted(everyone), rng.randint(1, 60))
        current = {name: everyone[name] for name in names}
        if rng.random() < 0.2:
            moved = rng.choice(names)
            current[moved] = rng.choice(REGIONS)
        kept.update(current)
        fresh = limit_owners.LimitOwners()
        fresh.update(current)
        for account in ACCOUNTS:
            assert kept.of(account) == fresh.of(account)


def test_a_release_of_a_vm_ranks_few_vms_anew(monkeypatch):
    kept = limit_owners.LimitOwners()
    everyone = fleet(195)
    kept.update(everyone)
    accounts = [
        tables.Account(f"account-{n}", rate_per_s=5.0, burst=20.0)
        for n in range(140)
    ]
    for account in accounts:
        kept.of(account)
    ranks = []
    combine = hashing.combine
    monkeypatch.setattr(
        hashing, "combine", lambda a, b: ranks.append(a) or combine(a, b)
    )
    everyone_else = {n: r for n, r in everyone.items() if n != "vm-7"}
    kept.update(everyone_else)
    kept.update(everyone)
    # Ranking all VMs twice takes 54,600.
    assert len(ranks) < 5000
