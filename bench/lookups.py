"""Measures lookups and requests of one VM with its complete core.

`python -m bench.lookups` starts a bare gevent WSGI server, a target and VMs
with few and with 510,000 client blocks, and sends them requests in turn within
one run. Other VMs of a fleet are simulated by heartbeats during the warm-up.
"""

import contextlib
import subprocess
import sys
import time

import attrs
import click
import gevent
import gevent.socket

from bench import fleet_idle
from bench import single_vm
from mulberrydeck.core import effects
from mulberrydeck.core import events
from mulberrydeck.frontend import dependencies
from mulberrydeck.frontend import server
from mulberrydeck.quota import effects as quota_effects
from mulberrydeck.shell import core_gateway
from mulberrydeck.shell import runtime as runtimes

CONNECTIONS = 16
ROUNDS = 5
ROUND_S = 1.0
WARM_UP_S = 4.0
TARGET_SLOTS = 64
LOOKUP_PATH = f"/v1/lookup?service={single_vm.SERVICE}&from=10.3.7.9"
SERVICE_PATH = f"/v1/services/{single_vm.SERVICE}/x"
SIZES = {
    "small": single_vm.Size(),
    "blocks": single_vm.Size(blocks=510_000),
    "fleet": single_vm.Size(vms=2500, zones=53, blocks=510_000),
}


@attrs.frozen
class Server:
    """A running server.

    Attributes:
        process: Its process.
        address: Address on which it listens, `host:port`.
        key: Key of a client account, or empty.
    """

    process: subprocess.Popen
    address: str
    key: str = ""


@attrs.frozen
class Figures:
    """Medians over the rounds of one run.

    Attributes:
        rates: Responses per second, by name.
        ratios: Ratio to the bare server in the same round, by name.
        resident_mb: Resident memory in megabytes, by size.
    """

    rates: dict[str, float]
    ratios: dict[str, float]
    resident_mb: dict[str, float]


def serve(size: str, target: str) -> None:
    """Runs a VM of a size, which serves callers.

    Args:
        size: One of `SIZES`.
        target: Address of the target, `host:port`.
    """
    port = int(target.rpartition(":")[2])
    vm = single_vm.SingleVm(
        SIZES[size],
        port,
        TARGET_SLOTS,
        time.monotonic() - single_vm.WARM_UP_STEPS * single_vm.STEP_S,
        # Peers send no heartbeats after the warm-up and must not time out.
        peer_timeout_s=1e9,
    )
    vm.serve()
    runtime = runtimes.Runtime(vm.state)
    for effect in (quota_effects.SendMessage, effects.ConnectPeer):
        runtime.handlers[effect] = lambda _: None
    runtime.handlers[effects.DisconnectPeer] = lambda _: None
    runtime.handlers[effects.PollTarget] = lambda poll: runtime.submit(
        events.TargetPolled(runtime.now_s(), poll.target, single_vm.IDLE)
    )
    vm.state.members.next_heartbeat_s = float("inf")
    gateway = core_gateway.CoreGateway(runtime, None)
    callers = server.CallerServer(
        dependencies.build(vm.state.settings, gateway)
    )
    callers.start()
    gevent.spawn(runtime.run_ticks)
    sys.stdout.write(f"{callers.address} {vm.secret}\n")
    sys.stdout.flush()
    gevent.wait()


def launch(module: str, *arguments: str) -> Server:
    """Starts a server and returns it once it listens."""
    command = [sys.executable, "-m", module, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    address, _, key = process.stdout.readline().strip().partition(" ")
    return Server(process, address, key)


def rate(measured: Server, path: str) -> float:
    """Returns responses per second over all connections."""
    head = f"GET {path} HTTP/1.1\r\nHost: vm\r\nUser-Agent: bench\r\n"
    if measured.key:
        head += f"Mulberrydeck-Key: {measured.key}\r\n"
    request = f"{head}\r\n".encode()
    host, _, port = measured.address.rpartition(":")
    end_s = time.monotonic() + ROUND_S
    counts = [0] * CONNECTIONS

    def send_requests(index: int) -> None:
        sock = gevent.socket.create_connection((host, int(port)))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        while time.monotonic() < end_s:
            sock.sendall(request)
            read_response(sock)
            counts[index] += 1
        sock.close()

    started_s = time.monotonic()
    workers = [
        gevent.spawn(send_requests, index) for index in range(CONNECTIONS)
    ]
    gevent.joinall(workers, raise_error=True)
    return sum(counts) / (time.monotonic() - started_s)


def read_response(sock: gevent.socket.socket) -> None:
    """Reads one response of status 200 with a content length."""
    data = sock.recv(65536)
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200 "):
        raise RuntimeError(head.decode())
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
    remaining_bytes = length - len(body)
    while remaining_bytes > 0:
        remaining_bytes -= len(sock.recv(65536))


def measure() -> Figures:
    """Starts all servers, measures them in turn and stops them."""
    with contextlib.ExitStack() as cleanup:

        def start(module: str, *arguments: str) -> Server:
            started = launch(module, *arguments)
            cleanup.callback(started.process.wait)
            cleanup.callback(started.process.kill)
            return started

        target = start("bench.http_path", "--role", "target")
        bare = start("bench.http_path", "--role", "bare")
        vms = {
            size: start(
                "bench.lookups", "--serve", size, "--target", target.address
            )
            for size in SIZES
        }
        gevent.sleep(WARM_UP_S)
        cases = {"bare": (bare, "/")}
        for size, vm in vms.items():
            cases[f"lookup, {size}"] = (vm, LOOKUP_PATH)
        cases["request, small"] = (vms["small"], SERVICE_PATH)
        rates = {name: [] for name in cases}
        for _ in range(ROUNDS):
            for name, (measured, path) in cases.items():
                rates[name].append(rate(measured, path))
        resident_mb = {
            size: fleet_idle.resident_mb(vm.process.pid)
            for size, vm in vms.items()
        }
    ratios = {
        name: median(
            [
                value / base
                for value, base in zip(values, rates["bare"], strict=True)
            ]
        )
        for name, values in rates.items()
    }
    medians = {name: median(values) for name, values in rates.items()}
    return Figures(medians, ratios, resident_mb)


def median(values: list[float]) -> float:
    """Returns the middle value."""
    return sorted(values)[len(values) // 2]


def render() -> str:
    """Returns the figures as a Markdown table."""
    figures = measure()
    lines = ["| case | responses/s | ratio to bare |", "|---|---|---|"]
    for name, value in figures.rates.items():
        lines.append(f"| {name} | {value:.0f} | {figures.ratios[name]:.2f} |")
    lines += ["", "| size | resident |", "|---|---|"]
    for size, value in figures.resident_mb.items():
        lines.append(f"| {size} | {value:.0f} MB |")
    return "\n".join(lines)


@click.command()
@click.option("--serve", "size", default="", help="Run a VM of this size.")
@click.option("--target", default="", help="Address of the target.")
def main(size: str, target: str) -> None:
    """Prints lookups and requests per second against a bare server."""
    if size:
        serve(size, target)
    else:
        click.echo(render())


if __name__ == "__main__":
    main()
