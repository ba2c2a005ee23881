"""Measures the processor time of the reducer's events as a fleet grows.

Run `python -m bench.reducer_cost`. All events are fed to one process; other
VMs are simulated by their messages alone. One size grows at a time.
"""

from collections.abc import Callable
import time

import attrs

from bench import single_vm
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.core import reports
from mulberrydeck.forward import outcomes
from mulberrydeck.observability import metrics as metric_sets

ROUNDS = 5
MIN_ROUND_S = 0.06
FORWARDS = (effects.ForwardToTarget, effects.ForwardToVm)


@attrs.frozen
class Costs:
    """Processor time of one event of each kind, in microseconds.

    Attributes:
        request: Arrival, end of attempt and close of one request.
        tick: One tick of 0.1 s, heartbeats not due.
        second: One tick with heartbeats due.
        heartbeat: One heartbeat of a peer.
        report: One report of a target.
        metrics: Status and its metrics, computed once a second.
    """

    request: float
    tick: float
    second: float
    heartbeat: float
    report: float
    metrics: float


def measure(size: single_vm.Size) -> Costs:
    """Returns the costs at a size."""
    vm = single_vm.SingleVm(size)
    vm.serve()
    owned = next(iter(vm.state.routing.grants.expires_s))
    numbers = iter(range(10**9))

    def request() -> None:
        request_id = f"r{next(numbers)}"
        arrived = events.RequestArrived(
            vm.now_s, request_id, "s0", "GET", "/x", vm.secret
        )
        forward = next(
            effect
            for effect in vm.feed(arrived)
            if isinstance(effect, FORWARDS)
        )
        vm.feed(
            events.AttemptEnded(
                vm.now_s,
                request_id,
                forward.attempt,
                outcomes.AttemptOutcome.ANSWERED,
                200,
            )
        )
        vm.feed(events.RequestClosed(vm.now_s, request_id))

    def tick() -> None:
        vm.state.members.next_heartbeat_s = vm.now_s + 1.0
        vm.feed(events.Tick(vm.now_s))

    def tick_with_heartbeats() -> None:
        vm.state.members.next_heartbeat_s = vm.now_s
        vm.feed(events.Tick(vm.now_s))

    def heartbeat() -> None:
        vm.feed(vm.heartbeat(1 + next(numbers) % (size.vms - 1)))

    metrics = metric_sets.Metrics()

    def update_metrics() -> None:
        metrics.set_status(reports.status(vm.state))

    return Costs(
        request=cost_us(request),
        tick=cost_us(tick),
        second=cost_us(tick_with_heartbeats),
        heartbeat=cost_us(heartbeat),
        report=cost_us(lambda: vm.report(owned)),
        metrics=cost_us(update_metrics),
    )


def cost_us(action: Callable[[], None]) -> float:
    """Returns the processor time of an action, the least of all rounds."""
    action()
    best_s = float("inf")
    for _ in range(ROUNDS):
        count = 0
        started_s = time.process_time()
        used_s = 0.0
        while used_s < MIN_ROUND_S:
            action()
            count += 1
            used_s = time.process_time() - started_s
        best_s = min(best_s, used_s / count)
    return best_s * 1e6


def sizes() -> list[tuple[str, single_vm.Size]]:
    """Returns the sizes to measure: today's, then one grown at a time."""
    today = single_vm.Size()
    measured = [("today: 8 accounts, 36 targets, 10 VMs", today)]
    for accounts in (100, 1000, 5000):
        grown = attrs.evolve(today, accounts=accounts)
        measured.append((f"{accounts} accounts", grown))
    for targets in (360, 3600, 10000):
        grown = attrs.evolve(today, targets=targets)
        measured.append((f"{targets} targets", grown))
    for vms in (100, 500, 2500):
        grown = attrs.evolve(today, vms=vms)
        measured.append((f"{vms} VMs", grown))
    return measured


def render() -> str:
    """Returns the costs as a Markdown table."""
    names = [field.name for field in attrs.fields(Costs)]
    lines = [
        "| size | " + " | ".join(f"{name}, us" for name in names) + " |",
        "|---|" + "---|" * len(names),
    ]
    for label, size in sizes():
        costs = attrs.astuple(measure(size))
        cells = " | ".join(f"{cost:.1f}" for cost in costs)
        lines.append(f"| {label} | {cells} |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(render())
