"""A small deployment for the cases: processes of `steer` beside stand-ins."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import uuid

import gevent

from standins import serving
from standins.users_platform import instances
from standins.users_platform import metadata_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "permits.example"
SERVICE = "status-svc"
ZONES = {
    "arusha-a": "arusha",
    "arusha-b": "arusha",
    "dar-a": "dar",
    "dar-b": "dar",
    "mwanza-a": "mwanza",
    "mwanza-b": "mwanza",
}
PURPOSES = ("caller", "ready", "look_up", "peer", "metrics")
IP = "127.0.0.1"
DEFAULT_GRACE_S = 6.0  # `GraceS` of kilele-permits.
READY_TIMEOUT_S = 20.0
END_OF_HEAD = b"\r\n\r\n"


class CaseCannotRunError(Exception):
    """The deployment did not come up, so that nothing was shown."""


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((IP, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Writes `record.txt`: what was sent, answered and run.

    Attributes:
        started_s: Time of the first line, in seconds.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Opens `record.txt` in the folder of a case."""
        self.started_s = time.monotonic()
        self.file = (directory / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes a line with the seconds since the start."""
        now_s = time.monotonic() if at_s is None else at_s
        self.file.write(f"{now_s - self.started_s:8.3f}  {text}\n")
        self.file.flush()


class Answer:
    """What a client saw of one request.

    Attributes:
        status: HTTP status; 0 if the channel ended without a complete answer.
        complete: Whether the whole answer arrived.
        body: Body as far as it arrived.
        taken_s: Time from the request to the end of the answer, in seconds.
    """

    def __init__(
        self, status: int, complete: bool, body: bytes, taken_s: float
    ):
        """Creates the answer."""
        self.status = status
        self.complete = complete
        self.body = body
        self.taken_s = taken_s

    def __str__(self) -> str:
        """Returns the answer as text for the record."""
        if not self.complete:
            return f"channel ended without an answer after {self.taken_s:.3f} s"
        return f"{self.status} after {self.taken_s:.3f} s"


class Client:
    """A client with one kept channel."""

    def __init__(self, address: str) -> None:
        """Opens the channel."""
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def request(
        self,
        path: str,
        attempt_id: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        affinity: str = "",
        chunk_bytes: int = 0,
        key: str = "",
    ) -> Answer:
        """Sends a request and waits for the answer.

        Args:
            path: Path of the request.
            attempt_id: Id of the client attempt.
            method: HTTP method.
            body: Body, which is sent unless the method is GET.
            deadline_ms: Time that the client waits.
            affinity: Value of `X-Affinity-Key`; empty for none.
            chunk_bytes: Size of the chunks of the body; 0 to send a length.
            key: API key; empty for none.
        """
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if affinity:
            lines.append(f"X-Affinity-Key: {affinity}")
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if chunk_bytes:
            lines.append("Transfer-Encoding: chunked")
            body = _chunked(body, chunk_bytes)
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        sent_s = time.monotonic()
        data = b""
        try:
            self.sock.settimeout(deadline_ms / 1000 + 2.0)
            self.sock.sendall("\r\n".join(lines).encode() + END_OF_HEAD + body)
            while not _is_complete(data):
                piece = self.sock.recv(65536)
                if not piece:
                    break
                data += piece
        except OSError:
            pass
        taken_s = time.monotonic() - sent_s
        if not _is_complete(data):
            return Answer(0, False, data, taken_s)
        head, _, content = data.partition(END_OF_HEAD)
        return Answer(int(head.split()[1]), True, content, taken_s)

    def close(self) -> None:
        """Closes the channel."""
        self.sock.close()


def _chunked(body: bytes, chunk_bytes: int) -> bytes:
    pieces = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join([*chunks, b"0\r\n\r\n"])


def _is_complete(data: bytes) -> bool:
    head, end, body = data.partition(END_OF_HEAD)
    if not end:
        return False
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            return len(body) >= int(value)
    return body.endswith(b"0\r\n\r\n")


class EndingInstance(instances.Instance):
    """An instance that can end, with its open channels."""

    def __init__(self, name: str, slots: int = 6, work_s: float = 0.02) -> None:
        """Starts the instance."""
        self.channels: set[socket.socket] = set()
        super().__init__(name, slots, work_s)

    def _serve(self, sock: socket.socket, address: object) -> None:
        self.channels.add(sock)
        try:
            super()._serve(sock, address)
        finally:
            self.channels.discard(sock)

    def end(self) -> None:
        """Ends the instance: its port and its channels are closed."""
        self.server.stop(timeout=0)
        for sock in list(self.channels):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Deployment:
    """Processes of `steer`, a store, and instances.

    Attributes:
        record: Receives what happened.
        store: Stand-in of the platform's store.
        instances: Instances by id.
        addresses: Addresses of each machine, by its name and the purpose.
        processes: Processes by the name of the machine.
        grace_s: `GraceS` of the settings, in seconds.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        """Creates a deployment without machines and instances."""
        self.record = Record(directory)
        self.store = metadata_store.MetadataStore()
        self.server = serving.start(f"{IP}:0", self.store)
        self.instances: dict[str, EndingInstance] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.grace_s = DEFAULT_GRACE_S
        self.folder = tempfile.TemporaryDirectory()

    def __enter__(self) -> "Deployment":
        """Returns the deployment."""
        return self

    def __exit__(self, *details: object) -> None:
        """Ends all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.server.stop(timeout=0)
        for instance in self.instances.values():
            with contextlib.suppress(Exception):
                instance.end()
        self.folder.cleanup()

    def configure(self, routes: list[dict], **changes: object) -> None:
        """Writes a config to the store, with changed fields."""
        spec = {
            "Version": "00000001",
            "Routes": routes,
            "Services": [{"Name": SERVICE, "ColdPerS": 9.2}],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67_108_864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            **changes,
        }
        self.store.put("config", "main", spec)

    def add_instance(
        self, name: str, zone: str, slots: int = 6, work_s: float = 0.02
    ) -> EndingInstance:
        """Starts an instance and registers it as ready."""
        instance = EndingInstance(name, slots, work_s)
        self.instances[name] = instance
        self.store.put("servers", name, instance.entry(SERVICE, zone))
        self.record.write(f"instance {name} is registered at the store")
        return instance

    def start_machine(
        self, name: str, zone: str, first_start: bool = True
    ) -> None:
        """Starts `steer` as the deploy file says, with a settings file.

        Args:
            name: Name of the machine.
            zone: Its zone.
            first_start: `Bootstrap` of the settings.
        """
        if name not in self.addresses:
            self.addresses[name] = {
                purpose: f"{IP}:{port}"
                for purpose, port in zip(
                    PURPOSES, free_ports(len(PURPOSES)), strict=True
                )
            }
        path = pathlib.Path(self.folder.name) / f"{name}.toml"
        path.write_text(
            self._settings(name, zone, first_start), encoding="utf-8"
        )
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["MULBERRYDECK_SETTINGS"] = str(path)
        log = (pathlib.Path(self.folder.name) / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "mulberrydeck", "steer"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write(f"machine {name} is started")

    def _settings(self, name: str, zone: str, first_start: bool) -> str:
        values = {
            "name": name,
            "zone": zone,
            "region": ZONES[zone],
            **{f"{key}_address": v for key, v in self.addresses[name].items()},
            "platform_address": serving.address_of(self.server),
            "first_start": first_start,
            "max_look_up_lifetime_s": 5.0,
            "stop_timeout_s": self.grace_s,
        }
        lines = [
            f"{key} = {json.dumps(value)}" for key, value in values.items()
        ]
        regions = [f'"{key}" = "{value}"' for key, value in ZONES.items()]
        return "\n".join([*lines, "[region_by_zone]", *regions, ""])

    def log_of(self, name: str) -> str:
        """Returns what a machine has logged."""
        path = pathlib.Path(self.folder.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def is_ready(self, name: str) -> bool:
        """Returns whether a machine answers its readiness check with 200."""
        host, _, port = self.addresses[name]["ready"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(4096)
        except OSError:
            return False

    def wait_ready(self, name: str, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Waits until a machine is ready; returns whether it is."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if self.is_ready(name):
                self.record.write(f"machine {name} is ready")
                return True
            gevent.sleep(0.1)
        self.record.write(f"machine {name} isn't ready after {timeout_s} s")
        return False

    def start_machines(self, machines: dict[str, str]) -> None:
        """Starts machines, by name and zone, and waits until they are ready.

        Raises:
            CaseCannotRunError: One of them is not ready in time.
        """
        for name, zone in machines.items():
            self.start_machine(name, zone)
        for name in machines:
            if not self.wait_ready(name):
                raise CaseCannotRunError(f"{name} did not start")

    def write_runs(self) -> None:
        """Writes what each instance has run."""
        for name, instance in self.instances.items():
            for run in instance.runs:
                attempt_id = run.fields.get("x-attempt-id", "")
                self.record.write(f"{name} ran {attempt_id}", run.arrived_s)

    def stop_machine(self, name: str) -> float:
        """Sends SIGTERM to a machine; returns when, in seconds."""
        self.processes[name].send_signal(signal.SIGTERM)
        self.record.write(f"SIGTERM to {name}")
        return time.monotonic()


def route(**changes: object) -> dict[str, object]:
    """Returns a public route, with changed fields."""
    return {
        "Name": "status-check",
        "Host": HOST,
        "PathPrefix": "/status/",
        "Kind": "safe",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 250,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Public": True,
        "Sticky": True,
        "HomeRegions": [],
        **changes,
    }


def new_id() -> str:
    """Returns a new id of a client attempt."""
    return uuid.uuid4().hex[:16]


def run(directory: pathlib.Path, case: object) -> int:
    """Runs a case; returns the exit code of the script.

    Args:
        directory: Folder of the case.
        case: Called with the deployment and whether to disrupt; returns
            whether the rule held.
    """
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    with Deployment(directory) as deployment:
        try:
            with gevent.Timeout(110.0, CaseCannotRunError("out of time")):
                held = case(deployment, disrupt)
        except (CaseCannotRunError, OSError) as error:
            deployment.record.write(f"the case couldn't run: {error}")
            return NOT_RUN
        text = "the rule held" if held else "the rule was broken"
        deployment.record.write(text)
        print(f"{directory.name}: {text}")
        return HELD if held else BROKEN
