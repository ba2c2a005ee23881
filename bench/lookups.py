"""Measures look-ups and requests of one VM with its whole core in use.

`python -m bench.lookups` starts a bare gevent WSGI server, a target and VMs
with few and with 510,000 client blocks, and asks them in turns in one run.
Other VMs exist as one heartbeat each.
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
LOOKUP = f"/v1/lookup?service={single_vm.SERVICE}&from=10.3.7.9"
SERVICE = f"/v1/services/{single_vm.SERVICE}/x"
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
        address: Where it listens, `host:port`.
        key: Key of a client account, or empty.
    """

    process: subprocess.Popen
    address: str
    key: str = ""


@attrs.frozen
class Figures:
    """Medians over the rounds of one run.

    Attributes:
        rates: Answers per second, by name.
        ratios: Ratio to the bare server in the same round, by name.
        resident_mb: Resident memory, by size.
    """

    rates: dict[str, float]
    ratios: dict[str, float]
    resident_mb: dict[str, float]


def serve(size: str, target: str) -> None:
    """Serves callers with a core of a size.

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
        # Each peer is heard once, so it must not fall silent.
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


def rate(asked: Server, path: str) -> float:
    """Returns answers per second over all connections."""
    head = f"GET {path} HTTP/1.1\r\nHost: vm\r\nUser-Agent: bench\r\n"
    if asked.key:
        head += f"Mulberrydeck-Key: {asked.key}\r\n"
    request = f"{head}\r\n".encode()
    host, _, port = asked.address.rpartition(":")
    ends_s = time.monotonic() + ROUND_S
    counts = [0] * CONNECTIONS

    def ask(index: int) -> None:
        sock = gevent.socket.create_connection((host, int(port)))
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        while time.monotonic() < ends_s:
            sock.sendall(request)
            read_answer(sock)
            counts[index] += 1
        sock.close()

    started_s = time.monotonic()
    asking = [gevent.spawn(ask, index) for index in range(CONNECTIONS)]
    gevent.joinall(asking, raise_error=True)
    return sum(counts) / (time.monotonic() - started_s)


def read_answer(sock: gevent.socket.socket) -> None:
    """Reads one answer of status 200 with a content length."""
    data = sock.recv(65536)
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200 "):
        raise RuntimeError(head.decode())
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
    left = length - len(body)
    while left > 0:
        left -= len(sock.recv(65536))


def measure() -> Figures:
    """Starts all servers, asks them in turns and ends them."""
    with contextlib.ExitStack() as running:

        def start(module: str, *arguments: str) -> Server:
            started = launch(module, *arguments)
            running.callback(started.process.wait)
            running.callback(started.process.kill)
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
        asked = {"bare": (bare, "/")}
        for size, vm in vms.items():
            asked[f"look-up, {size}"] = (vm, LOOKUP)
        asked["request, small"] = (vms["small"], SERVICE)
        rates = {name: [] for name in asked}
        for _ in range(ROUNDS):
            for name, (server_asked, path) in asked.items():
                rates[name].append(rate(server_asked, path))
        memory = {
            size: fleet_idle.resident_mb(vm.process.pid)
            for size, vm in vms.items()
        }
    ratios = {
        name: median(
            [own / base for own, base in zip(got, rates["bare"], strict=True)]
        )
        for name, got in rates.items()
    }
    middle = {name: median(got) for name, got in rates.items()}
    return Figures(middle, ratios, memory)


def median(values: list[float]) -> float:
    """Returns the middle value."""
    return sorted(values)[len(values) // 2]


def render() -> str:
    """Returns the figures as a Markdown table."""
    figures = measure()
    lines = ["| asked | answers/s | ratio to bare |", "|---|---|---|"]
    for name, value in figures.rates.items():
        lines.append(f"| {name} | {value:.0f} | {figures.ratios[name]:.2f} |")
    lines += ["", "| size | resident |", "|---|---|"]
    for size, value in figures.resident_mb.items():
        lines.append(f"| {size} | {value:.0f} MB |")
    return "\n".join(lines)


@click.command()
@click.option("--serve", "size", default="", help="Serve a core of a size.")
@click.option("--target", default="", help="Address of the target.")
def main(size: str, target: str) -> None:
    """Prints look-ups and requests per second against a bare server."""
    if size:
        serve(size, target)
    else:
        click.echo(render())


if __name__ == "__main__":
    main()
