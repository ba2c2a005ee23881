"""Measures quota policy in virtual time: `python -m bench.quota_policy`.

Each scenario runs the same arrivals with quota leases and with static shares of
1/N for each of N VMs, and compares both with one central token bucket. A
refusal is wrongful if the central bucket would have admitted the request.
"""

import random
import time

import attrs
import click

from bench import quota_scenarios
from mulberrydeck.quota.tests import fleet

HEADER = (
    "| Scenario | Requests | Refused | Wrongful, leases | Worst account "
    "| Wrongful, static | Messages/s per VM: mean, max "
    "| Time to admit ms: p50, p99, max | Excess over bound "
    "| Admitted / ideal, over-rate account |"
)


@attrs.define
class CentralBucket:
    """One token bucket for the whole fleet, used as the reference."""

    rate_per_s: float
    burst: float
    tokens: float
    updated_s: float

    def admit(self, now_s: float) -> bool:
        """Takes a token at `now_s`, in seconds, if one is available."""
        elapsed_s = now_s - self.updated_s
        refilled = self.tokens + elapsed_s * self.rate_per_s
        self.tokens = min(self.burst, refilled)
        self.updated_s = now_s
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


@attrs.frozen
class Result:
    """Figures of one scenario.

    Attributes:
        name: Name of the scenario.
        requests: Number of requests.
        refused: Number of refused requests.
        wrongful: Wrongful refusals with leases, as a fraction of the requests
            of all accounts within their rate.
        worst: Largest such fraction of a single account.
        static: The same fraction for all such accounts with static shares.
        messages_mean: Messages per second sent by a VM, mean over all VMs.
        messages_max: Messages per second of the VM that sent most.
        wait_ms: Median, 99th percentile and maximum of the time until a
            request was admitted, in milliseconds.
        excess: Largest excess of admitted requests over rate and burst in any
            window, in requests.
        over_rate: Admitted requests of the account above its rate, as a
            fraction of those that the central bucket admits.
    """

    name: str
    requests: int
    refused: int
    wrongful: float
    worst: float
    static: float
    messages_mean: float
    messages_max: float
    wait_ms: tuple[float, float, float]
    excess: float
    over_rate: float | None

    def row(self) -> str:
        """Returns the figures as a Markdown table row."""
        over_rate = "-" if self.over_rate is None else f"{self.over_rate:.1%}"
        waits = ", ".join(f"{wait:.1f}" for wait in self.wait_ms)
        return (
            f"| {self.name} | {self.requests} | {self.refused} "
            f"| {self.wrongful:.2%} | {self.worst:.2%} | {self.static:.2%} "
            f"| {self.messages_mean:.1f}, {self.messages_max:.1f} "
            f"| {waits} | {self.excess:.2f} | {over_rate} |"
        )


def measure(scenario: quota_scenarios.Scenario, seed: int) -> Result:
    """Runs one scenario and returns its figures.

    Args:
        scenario: Scenario to run.
        seed: Seed of arrivals, delays and timer phases.
    """
    simulated = fleet.Fleet(scenario.bounds, draw=random.Random(seed))
    start_s = scenario.start_s()
    arrivals = scenario.arrivals(random.Random(seed + 1), start_s)
    for at_s, vm, resource in arrivals:
        simulated.at(
            at_s, lambda vm=vm, name=resource: simulated.request(vm, name)
        )
    for at_s, zone in scenario.cuts:
        simulated.at(
            start_s + at_s, lambda zone=zone: simulated.partition(zone)
        )
    simulated.run(start_s)
    sent_before = {name: vm.sent for name, vm in simulated.vms.items()}
    simulated.run(start_s + scenario.duration_s + 2.0)
    sent = [
        (vm.sent - sent_before[name]) / scenario.duration_s
        for name, vm in simulated.vms.items()
    ]
    wrongful, static = _compare(scenario, simulated, arrivals)
    within_rate = sum(map(len, wrongful.values()))
    admitted = [each for each in simulated.outcomes if each.admitted]
    waits = sorted(1e3 * (each.decided_s - each.arrived_s) for each in admitted)
    return Result(
        name=scenario.name,
        requests=len(arrivals),
        refused=len(arrivals) - len(admitted),
        wrongful=sum(map(sum, wrongful.values())) / within_rate,
        worst=max(sum(flags) / len(flags) for flags in wrongful.values()),
        static=sum(map(sum, static.values())) / within_rate,
        messages_mean=sum(sent) / len(sent),
        messages_max=max(sent),
        wait_ms=tuple(_percentile(waits, share) for share in (0.5, 0.99, 1)),
        excess=max(
            fleet.largest_excess(
                [o for o in admitted if o.resource == bound.resource],
                bound.rate_per_s,
                bound.burst,
            )
            for bound in scenario.bounds
        ),
        over_rate=_admitted_ratio(scenario, simulated, arrivals),
    )


def _compare(scenario, simulated, arrivals):
    """Returns wrongful refusals by resource, with leases and static shares."""
    start_s = scenario.start_s()
    wrongful, static = {}, {}
    for stream in scenario.streams:
        bound = stream.bound
        if stream.load > 1.0:
            continue
        name = bound.resource
        requests = [each for each in arrivals if each[2] == name]
        central = CentralBucket(
            bound.rate_per_s, bound.burst, bound.burst, start_s
        )
        ideal = [central.admit(at_s) for at_s, _, _ in requests]
        outcomes = sorted(
            (each for each in simulated.outcomes if each.resource == name),
            key=lambda each: (each.arrived_s, not each.admitted),
        )
        wrongful[name] = [
            is_admissible and not each.admitted
            for is_admissible, each in zip(ideal, outcomes, strict=True)
        ]
        shares = {
            vm: CentralBucket(
                bound.rate_per_s / len(simulated.vms),
                bound.burst / len(simulated.vms),
                bound.burst / len(simulated.vms),
                start_s,
            )
            for vm in simulated.vms
        }
        static[name] = [
            is_admissible and not shares[vm].admit(at_s)
            for is_admissible, (at_s, vm, _) in zip(
                ideal, requests, strict=True
            )
        ]
    return wrongful, static


def _admitted_ratio(scenario, simulated, arrivals):
    """Returns the figure `over_rate` of `Result`."""
    for stream in scenario.streams:
        if stream.load <= 1.0:
            continue
        bound = stream.bound
        name = bound.resource
        central = CentralBucket(
            bound.rate_per_s, bound.burst, bound.burst, scenario.start_s()
        )
        ideal = sum(
            central.admit(at_s)
            for at_s, _, resource in arrivals
            if resource == name
        )
        admitted = sum(
            each.admitted and each.resource == name
            for each in simulated.outcomes
        )
        return admitted / ideal
    return None


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@click.command()
@click.option("--seed", default=1, show_default=True, help="Random seed.")
@click.option(
    "--only",
    default="",
    help="Run only scenarios whose name contains this text.",
)
def main(seed: int, only: str) -> None:
    """Prints the figures of all scenarios as a Markdown table."""
    click.echo(f"`python -m bench.quota_policy --seed {seed}`\n")
    click.echo(HEADER)
    click.echo("|" + "---|" * HEADER.count(" | ") + "---|")
    started_s = time.perf_counter()
    for scenario in quota_scenarios.ALL:
        if only in scenario.name:
            click.echo(measure(scenario, seed).row())
    elapsed_s = time.perf_counter() - started_s
    click.echo(f"\nElapsed: {elapsed_s:.0f} s", err=True)


if __name__ == "__main__":
    main()
