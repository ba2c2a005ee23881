"""Runs the Kilele deployment on loopback and checks its promises.

The deployment consists of real processes: 10 entry VMs, 36 targets and the
platform, with the fault proxy adding the latencies between zones. Callers of 8
client accounts send traffic, one of them several times its rate, while a target
is drained and a key is withdrawn. Exits with 1 if a promise was broken.
"""

import collections.abc
import http
import pathlib
import sys
import tempfile
import time

import attrs
import click
import gevent
import tomlkit

from bench import demo_report
from mulberrydeck.model import compiled
from mulberrydeck.model import configuration
from mulberrydeck.model import loading
from standins import addresses
from standins import deployments
from standins import fleet
from standins import traffic
from standins import waiting

SEED = 20_260_101
DRAIN_AFTER_S = 4.0
WITHDRAW_AFTER_S = 8.0
TRAFFIC_S = 16.0
DRAINED_TARGET = "permits-coast-a-1"
WITHDRAWN_ACCOUNT = "rongai-porters"
OVER_RATE_ACCOUNT = "barafu-treks"


def new_stream(
    account: str, service: str, path: str, rate_per_s: float, **details: object
) -> traffic.Stream:
    """Returns a stream without a key; the key is issued later.

    Args:
        account: Client account.
        service: Service.
        path: Path within the service.
        rate_per_s: Average rate of arrivals, in requests per second.
        **details: Other fields of the stream.
    """
    name = f"{account}{path.replace('/', '-')}"
    return traffic.Stream(
        name, account, "", service, path, rate_per_s, **details
    )


SINGLE_RUN = {"method": "POST", "single_run": True, "body_bytes": 300}
UPLOAD = {"method": "PUT", "body_bytes": 400_000}
STREAMS = (
    new_stream("summit-trails", "permits", "/status/17", 40),
    new_stream("summit-trails", "permits", "/fees", 5, **SINGLE_RUN),
    new_stream("kibo-guides", "permits", "/status/18", 30),
    new_stream("kibo-guides", "permits", "/permits/issue", 5, **SINGLE_RUN),
    new_stream("kibo-guides", "documents", "/uploads/3", 2, **UPLOAD),
    new_stream(OVER_RATE_ACCOUNT, "permits", "/status/19", 150),
    new_stream("mawenzi-walks", "permits", "/status/20", 10),
    new_stream(
        "lemosho-lodges", "documents", "/scans/5", 4, response_bytes=200_000
    ),
    new_stream(WITHDRAWN_ACCOUNT, "permits", "/status/21", 10),
    new_stream("machame-desk", "permits", "/status/22", 12),
    new_stream(
        "park-rangers", "rosters", "/gates/2", 20, response_bytes=20_000
    ),
)


def prepare(running: fleet.Fleet) -> dict[str, str]:
    """Applies configuration and keys; returns the key of each account."""
    running.apply()
    accounts = running.layout.deployment.document["accounts"]
    names = [account["name"] for account in accounts]
    keys = {name: running.issue_key(name) for name in names}
    running.wait_serving()
    waiting.until(
        lambda: all(is_served(running, stream, keys) for stream in STREAMS),
        "a request of each account is served",
    )
    return keys


def is_served(
    running: fleet.Fleet, stream: traffic.Stream, keys: dict[str, str]
) -> bool:
    """Returns whether a request of a stream's account is served now."""
    client = running.client(running.listed[0], keys[stream.account])
    response = client.request("GET", f"/v1/services/{stream.service}/ready")
    client.close()
    return response.status == http.HTTPStatus.OK


def callers_of(running: fleet.Fleet) -> list[traffic.Callers]:
    """Returns a group of callers for each client block."""
    layout = running.layout
    entry_addresses = [
        layout.advertised("caller", layout.vm_addresses(name).caller)
        for name in running.listed
    ]
    return [
        traffic.Callers(entry_addresses, layout.caller_ip(zone, block), SEED)
        for zone in layout.zone_numbers
        for block in range(addresses.CALLER_BLOCKS)
    ]


def run_traffic(
    running: fleet.Fleet, keys: dict[str, str]
) -> demo_report.Observations:
    """Sends all traffic; meanwhile drains a target and withdraws a key."""
    load = traffic.Load(callers_of(running), SEED)
    for stream in STREAMS:
        key = keys[stream.account]
        load.start(attrs.evolve(stream, key=key), TRAFFIC_S)
    start_s = time.monotonic()
    gevent.sleep(DRAIN_AFTER_S)
    running.run_checked("drain", DRAINED_TARGET)
    drained_s = time.monotonic()
    gevent.sleep(max(0.0, start_s + WITHDRAW_AFTER_S - drained_s))
    running.run_checked("key", "withdraw", key_id(keys[WITHDRAWN_ACCOUNT]))
    withdrawn_s = time.monotonic()
    records = load.finish()
    return demo_report.Observations(
        records=records,
        runs=running.stand_ins.runs(),
        keys=keys,
        limits=limits_of(running, keys),
        drained=demo_report.OperatorAction(DRAINED_TARGET, drained_s),
        withdrawn=demo_report.OperatorAction(WITHDRAWN_ACCOUNT, withdrawn_s),
    )


def limits_of(
    running: fleet.Fleet, accounts: collections.abc.Iterable[str]
) -> dict[str, configuration.LimitRule]:
    """Returns the limit of each client account."""
    text = tomlkit.dumps(running.layout.deployment.document)
    source = loading.loads(text, running.layout.deployment.name)
    indexed = compiled.compile_configuration(source, 1)
    return {account: indexed.limit_of(account) for account in accounts}


def key_id(secret: str) -> str:
    """Returns the public identifier inside a key."""
    return secret.split("_")[1]


def demonstrate(
    directory: pathlib.Path, program: tuple[str, ...]
) -> demo_report.Observations:
    """Runs the whole demonstration.

    Args:
        directory: Directory of settings files and logs.
        program: Command that runs mulberrydeck.
    """
    options = fleet.Options(program=program)
    with fleet.Fleet(deployments.kilele(), directory, options) as running:
        click.echo("Starting 10 VMs, 36 targets, platform and fault proxy.")
        running.start()
        keys = prepare(running)
        running.stand_ins.set_latencies()
        click.echo(f"Sending traffic for {TRAFFIC_S:.0f} s.")
        return run_traffic(running, keys)


@click.command()
@click.option("--program", help="Executable to use in place of the sources.")
def main(program: str | None) -> None:
    """Run the Kilele deployment on loopback and check its promises."""
    start_s = time.monotonic()
    command = (program,) if program else fleet.Options().program
    with tempfile.TemporaryDirectory(prefix="mulberrydeck-demo-") as directory:
        try:
            observed = demonstrate(pathlib.Path(directory), command)
        except (fleet.CommandError, waiting.ConditionError) as error:
            raise click.ClickException(str(error)) from error
    click.echo(demo_report.traffic_table(observed))
    click.echo(demo_report.wrongful_refusals(observed))
    promises = demo_report.check_promises(observed)
    click.echo(demo_report.promise_table(promises))
    click.echo(f"Took {time.monotonic() - start_s:.0f} s.")
    sys.exit(0 if all(promise.is_kept for promise in promises) else 1)


if __name__ == "__main__":
    main()
