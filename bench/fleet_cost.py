"""Processor time of one steering VM's reducer by size of the fleet.

    python -m bench.fleet_cost

One reducer knows the other VMs by their heartbeats, in virtual time. Codecs,
sockets and the other side of each message are not included.
"""

from collections.abc import Callable
import time

import attrs
import click

from mulberrydeck.peers import messages
from mulberrydeck.steering import events
from mulberrydeck.steering import reducer
from mulberrydeck.steering import registry
from mulberrydeck.steering import settings as settings_module
from mulberrydeck.steering import state as states
from mulberrydeck.steering import tables

ZONES = {f"{region}-{n}": region for region in "abc" for n in (1, 2, 3)}
FLEET_SIZES = (10, 83, 195, 2500)
TARGETS_PER_VM = 5
MAX_TARGETS = 990
ACCOUNTS = 140
REPETITIONS = 200
TICK_S = 0.1
OWN = "a-1-vm0"
US_PER_S = 1e6


@attrs.frozen
class Cost:
    """Mean processor time of each event, in microseconds."""

    tick: float
    heartbeat: float
    digest: float
    request: float


def make_state(vm_count: int) -> states.State:
    """Returns the state of a VM that has heartbeats from all others."""
    addresses = {
        f"{purpose}_address": f"127.0.0.1:{number}"
        for number, purpose in enumerate(
            ("caller", "ready", "look_up", "peer", "metrics", "platform"), 1
        )
    }
    settings = settings_module.SteeringSettings(
        name=OWN,
        zone="a-1",
        region="a",
        region_by_zone=ZONES,
        first_start=True,
        **addresses,
    )
    state = states.create(settings, "process", 0.0, seed=1)
    names = list(ZONES)
    records = tuple(
        registry.VmRecord(
            f"{names[n % len(names)]}-vm{n // len(names)}",
            names[n % len(names)],
            ZONES[names[n % len(names)]],
            f"127.0.0.1:{n}",
            f"127.0.0.1:{n}",
            "process",
        )
        for n in range(vm_count)
    )
    accounts = tuple(
        (tables.Account(f"account-{n}", None, 20.0, 40.0), (f"key-{n}",))
        for n in range(ACCOUNTS)
    )
    route = tables.Route(
        name="read",
        host="host",
        prefix="/",
        repeatability=tables.Repeatability.SAFE,
        services=(tables.WeightedService("status", 1.0),),
        timeout_s=2.0,
        target_latency_s=0.25,
        max_attempts=2,
    )
    table = tables.build_table(
        1,
        (route,),
        (tables.Service("status"),),
        accounts,
        tables.CallerLimits(),
    )
    entries = tuple(
        registry.TargetEntry(
            name=f"t{n}",
            service="status",
            address=f"127.0.0.2:{n}",
            zone=names[n % len(names)],
            slots=6,
            started_ms=1,
        )
        for n in range(min(MAX_TARGETS, vm_count * TARGETS_PER_VM) // 3)
    )
    reducer.reduce(state, events.VmsListed(0.0, records, 1))
    reducer.reduce(state, events.TableLoaded(0.0, table, 2))
    reducer.reduce(state, events.TargetsListed(0.0, entries, 3))
    return state


def measure(action: Callable[[int], None], count: int = REPETITIONS) -> float:
    """Returns the mean processor time of an action, in microseconds."""
    started_s = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - started_s) / count * US_PER_S


def measure_fleet(vm_count: int) -> Cost:
    """Measures the events of a VM in a fleet of a size."""
    state = make_state(vm_count)
    heartbeat = messages.SteeringHeartbeat(
        "process", ready=True, leaving=False, reaches_store=True
    )
    digests = [
        messages.SteeringDigest(
            tuple(
                messages.RelayedHeartbeat(name, 0.1, heartbeat)
                for name, peer in state.fleet.peers.items()
                if peer.record.zone == zone
            )
        )
        for zone in ZONES
    ]

    def receive(message: object, sender: str) -> None:
        event = events.PeerReceived(state.now_s, sender, message)
        reducer.reduce(state, event)

    def tick(number: int) -> None:
        state.now_s += TICK_S
        if number % 10 == 0:
            for digest in digests:
                receive(digest, "")
        reducer.reduce(state, events.Ticked(state.now_s))

    def request(number: int) -> None:
        state.now_s += 0.3
        name = f"r{number}"
        arrived = events.RequestArrived(
            state.now_s,
            name,
            "host",
            "/1",
            f"key-{number % ACCOUNTS}",
            f"o{number}",
            2.0,
        )
        reducer.reduce(state, arrived)
        ended = events.AttemptEnded(
            state.now_s, name, events.Outcome.ANSWERED, status=200
        )
        reducer.reduce(state, ended)
        reducer.reduce(state, events.RequestClosed(state.now_s, name))

    mates = [
        name
        for name, peer in state.fleet.peers.items()
        if peer.record.zone == "a-1"
    ]
    return Cost(
        tick=measure(tick),
        heartbeat=measure(lambda n: receive(heartbeat, mates[n % len(mates)])),
        digest=measure(lambda n: receive(digests[n % len(digests)], "")),
        request=measure(request),
    )


@click.command()
def main() -> None:
    """Prints a table of microseconds per event."""
    click.echo("VMs      tick  heartbeat    digest   request")
    for vm_count in FLEET_SIZES:
        cost = measure_fleet(vm_count)
        click.echo(
            f"{vm_count:5}{cost.tick:9.0f}{cost.heartbeat:11.0f}"
            f"{cost.digest:10.0f}{cost.request:10.0f}"
        )


if __name__ == "__main__":
    main()
