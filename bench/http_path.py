"""Measures lookups and requests through one VM against a bare server.

Run `python -m bench.http_path`. Compare ratios and differences, which are taken
within one run: the same load generator sends requests to a bare gevent WSGI
server, the VM's lookup, the VM's request path and the target itself, in turn.
"""

import json
import os
import subprocess
import sys
import time

import attrs
import click
import gevent
import gevent.pywsgi
import gevent.server
import gevent.socket

from bench import lookups
from mulberrydeck.core import effects
from mulberrydeck.core import gateway as gateways
from mulberrydeck.frontend import dependencies
from mulberrydeck.frontend import server as servers
from mulberrydeck.settings import declarations

BODY = b"x" * 128
ATTEMPT_ID_FIELD = b"\r\nmulberrydeck-attempt-id: "
CONNECTIONS = 16
ROUNDS = 5
ROUND_S = 1.5
LATENCY_REQUESTS = 1500
TARGET_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d"
) % len(BODY)
REQUEST = (
    "GET {path} HTTP/1.1\r\nHost: vm\r\nUser-Agent: bench\r\nAccept: */*\r\n"
    "Mulberrydeck-Key: mdk_0123456789abcdef\r\n\r\n"
)
PATHS = {
    "bare": "/",
    "lookup": "/v1/lookup?service=s&from=a",
    "path": "/v1/services/s/x",
    "target": "/x",
}


@attrs.define
class FixedGateway:
    """Gateway without a core, which always selects the same target."""

    target: str
    response: gateways.LookupResponse

    def now_s(self) -> float:
        """Returns the monotonic time, in seconds."""
        return time.monotonic()

    def submit(self, event: object) -> None:
        """Drops the event."""

    def decide(self, event: object) -> gateways.Decision:
        """Returns a decision to forward to the target."""
        return effects.ForwardToTarget(
            event.request_id, 1, "t1", self.target, "acme", 30.0, True
        )

    def allow_bytes(self, link: str, count: int) -> int:
        """Allows all bytes."""
        return count

    def lookup(self, query: gateways.LookupQuery) -> gateways.LookupResponse:
        """Returns a fixed response."""
        return self.response


def serve_bare() -> None:
    """Serves a fixed response with gevent's WSGI server."""

    def respond(_environ: dict, start_response: object) -> list[bytes]:
        start_response("200 OK", [("Content-Type", "text/plain")])
        return [BODY]

    server = _NoDelayServer(
        ("127.0.0.1", 0), respond, log=None, environ={"SERVER_NAME": "bare"}
    )
    server.start()
    _announce(f"127.0.0.1:{server.server_port}")


class _NoDelayServer(gevent.pywsgi.WSGIServer):
    def handle(self, sock: gevent.socket.socket, address: tuple) -> None:
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def serve_target(echoes: bool) -> None:
    """Serves a fixed response as a target.

    Args:
        echoes: Whether responses repeat the identifier of the attempt, so that
            the VM reuses their connections.
    """

    def handle(sock: gevent.socket.socket, _address: tuple) -> None:
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        while request := sock.recv(65536):
            _, found, rest = request.partition(ATTEMPT_ID_FIELD)
            attempt_id, _, _ = rest.partition(b"\r\n")
            echo = found + attempt_id if echoes else b""
            sock.sendall(TARGET_HEAD + echo + b"\r\n\r\n" + BODY)

    server = gevent.server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    _announce(f"127.0.0.1:{server.server_port}")


def serve_vm(target: str) -> None:
    """Runs a caller server whose gateway always selects `target`."""
    settings = declarations.Settings(
        name="a1",
        zone="a",
        caller_address="127.0.0.1:0",
        relay_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        platform_url="http://127.0.0.1:1",
        fleet_secret="bench",
    )
    vms = tuple(
        gateways.EntryVm(f"a{number}", "a", f"127.0.0.1:{number}")
        for number in range(1, 4)
    )
    gateway = FixedGateway(target, gateways.LookupResponse(vms, 5.0, 1))
    server = servers.CallerServer(dependencies.build(settings, gateway))
    server.start()
    _announce(server.address)


def _announce(address: str) -> None:
    """Prints the address and serves until the process is killed."""
    sys.stdout.write(address + "\n")
    sys.stdout.flush()
    gevent.wait()


def rate(address: str, path: str) -> float:
    """Returns responses per second over all connections."""
    counts = [0] * CONNECTIONS
    end_s = time.monotonic() + ROUND_S
    request = REQUEST.format(path=path).encode()

    def send_requests(index: int) -> None:
        sock = _connect(address)
        while time.monotonic() < end_s:
            _exchange(sock, request)
            counts[index] += 1
        sock.close()

    started_s = time.monotonic()
    gevent.joinall([gevent.spawn(send_requests, i) for i in range(CONNECTIONS)])
    return sum(counts) / (time.monotonic() - started_s)


def latencies(address: str, path: str) -> list[float]:
    """Returns sorted latencies of one connection, in milliseconds."""
    request = REQUEST.format(path=path).encode()
    sock = _connect(address)
    latencies_ms = []
    for _ in range(LATENCY_REQUESTS):
        started_s = time.perf_counter()
        _exchange(sock, request)
        latencies_ms.append((time.perf_counter() - started_s) * 1000)
    sock.close()
    return sorted(latencies_ms)


def _connect(address: str) -> gevent.socket.socket:
    host, _, port = address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)))
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    return sock


def _exchange(sock: gevent.socket.socket, request: bytes) -> None:
    sock.sendall(request)
    lookups.read_response(sock)


def _start(role: str, *arguments: str) -> tuple[subprocess.Popen, str]:
    command = [sys.executable, "-m", "bench.http_path", "--role", role]
    process = subprocess.Popen(
        [*command, *arguments], stdout=subprocess.PIPE, text=True
    )
    return process, process.stdout.readline().strip()


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _processor_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    addresses: dict[str, str], pids: dict[str, int]
) -> dict[str, float]:
    """Returns all figures; rates are measured in turn, round by round.

    Args:
        addresses: Address of each server, by name in `PATHS`.
        pids: Process of each server, whose processor time is measured.
    """
    rates = {name: [] for name in ("bare", "lookup", "path")}
    cost_us = {name: [] for name in rates}
    for _ in range(ROUNDS):
        for name, measured in rates.items():
            before_s = _processor_s(pids[name])
            measured.append(rate(addresses[name], PATHS[name]))
            used_s = _processor_s(pids[name]) - before_s
            cost_us[name].append(used_s * 1e6 / (measured[-1] * ROUND_S))
    direct = latencies(addresses["target"], PATHS["target"])
    forwarded = latencies(addresses["path"], PATHS["path"])
    bare = rates["bare"]
    at_p99 = int(LATENCY_REQUESTS * 0.99)
    return {
        "bare_per_s": _median(bare),
        "lookup_per_s": _median(rates["lookup"]),
        "path_per_s": _median(rates["path"]),
        "lookup_ratio": _median_ratio(rates["lookup"], bare),
        "path_ratio": _median_ratio(rates["path"], bare),
        "bare_cpu_us": _median(cost_us["bare"]),
        "lookup_cpu_us": _median(cost_us["lookup"]),
        "path_cpu_us": _median(cost_us["path"]),
        "added_p50_ms": _median(forwarded) - _median(direct),
        "added_p99_ms": forwarded[at_p99] - direct[at_p99],
    }


def _median_ratio(values: list[float], bases: list[float]) -> float:
    return _median(
        [value / base for value, base in zip(values, bases, strict=True)]
    )


def run_all(target_role: str) -> dict[str, float]:
    """Starts the servers, measures them and stops them.

    Args:
        target_role: `target`, or `silent-target` for one that does not repeat
            the identifiers of attempts.
    """
    target, target_address = _start(target_role)
    bare, bare_address = _start("bare")
    vm, vm_address = _start("vm", "--target", target_address)
    addresses = {
        "bare": bare_address,
        "lookup": vm_address,
        "path": vm_address,
        "target": target_address,
    }
    try:
        pids = {"bare": bare.pid, "lookup": vm.pid, "path": vm.pid}
        return measure(addresses, pids)
    finally:
        for process in (target, bare, vm):
            process.kill()
            process.wait()


@click.command()
@click.option("--role", default="all")
@click.option("--target", default="")
@click.option("--no-echo", is_flag=True, help="Targets do not echo attempts.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(role: str, target: str, no_echo: bool, as_json: bool) -> None:
    """Prints requests per second, ratios and added latency."""
    match role:
        case "bare":
            serve_bare()
        case "target" | "silent-target":
            serve_target(echoes=role == "target")
        case "vm":
            serve_vm(target)
        case _:
            figures = run_all("silent-target" if no_echo else "target")
            if as_json:
                click.echo(json.dumps(figures))
                return
            for name, value in figures.items():
                click.echo(f"{name:14} {value:10.3f}")


if __name__ == "__main__":
    main()
