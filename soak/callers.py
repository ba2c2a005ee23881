"""Callers that send requests to the VMs while faults are injected."""

from collections.abc import Iterator
import random
import time
import uuid

import attrs
import gevent

from soak import fleet as fleets
from standins import http_client

CALLERS_PER_VM = 3
# Used with cold targets: half of these callers already send a target more than
# the limit while it is cold.
COLD_CALLERS_PER_VM = 9
MEAN_PAUSE_S = 0.08
LARGE_UPLOAD_RATIO = 0.2
MAX_UPLOAD_BYTES = 2_000_000
PIECE_BYTES = 30_000
PROBE_INTERVAL_S = 0.2
# Timeout of a caller. The deadline in its requests is 2 s, in long ones 20 s.
TIMEOUT_S = 12.0
LIMIT_S = 2.0
# Callers with requests of several seconds, shared out to the VMs.
LONG_CALLERS = 160
MEAN_LONG_PAUSE_S = 0.3
LONG_HEADERS = {"X-Deadline-Ms": "20000"}
# Requests with the longest work reach the time limit of their route.
LONG_WORK_RANGE_MS = (1900, 5100)
MAX_ATTEMPTS = 3
SINGLE_PREFIXES = ("/once/", "/long-once/")
# Statuses that promise that a request has not run, and never will.
PROMISES = (408, 421, 429, 503)
# Errors of requests that were not sent, or not completely. A reset is none of
# them: it can also end a response.
UNREAD = ("ConnectionRefused", "BrokenPipe")


@attrs.frozen
class Call:
    """A request and its outcome.

    Attributes:
        attempt_id: Identifier of the request.
        vm: VM to which it was sent.
        single: Whether it is a single run.
        sent_s: Monotonic time at which it was sent, in seconds.
        ended_s: Monotonic time at which its response was complete or had
            failed, in seconds.
        response: The complete response, or the reason why there is none.
        body: Body that was sent, or empty.
        path: Path and query.
        work: Identifier in the path that stays the same over all attempts of a
            caller; empty if there is one attempt.
        limit_s: Time limit of the request, in seconds.
    """

    attempt_id: str
    vm: str
    single: bool
    sent_s: float
    ended_s: float
    response: http_client.Response | http_client.NoResponse
    body: bytes = b""
    path: str = ""
    work: str = ""
    limit_s: float = LIMIT_S

    @property
    def is_refused(self) -> bool:
        """Returns whether the caller was told that it never runs."""
        match self.response:
            case http_client.Response(status=status):
                return status in PROMISES
            case http_client.NoResponse(reason=reason):
                return reason.startswith(UNREAD)


@attrs.frozen
class Probe:
    """A request on a route that only the newest configuration has.

    Attributes:
        vm: VM to which it was sent.
        version: Newest version that the store had acknowledged before.
        sent_s: Monotonic time at which it was sent, in seconds.
        status: HTTP status of the response; 0 if there was none.
    """

    vm: str
    version: int
    sent_s: float
    status: int


class Callers:
    """Callers with keep-alive connections to all VMs.

    Attributes:
        calls: Requests so far.
        probes: Requests that check which version is in force.
        stopping: Set to stop the callers.
        faulty: Whether some bodies are sent in chunks and exceed what a VM
            keeps in memory, callers of single runs come back to another VM
            after a refusal, and further callers send long requests.
    """

    def __init__(
        self,
        fleet: fleets.SoakFleet,
        seed: int,
        callers_per_vm: int = CALLERS_PER_VM,
        faulty: bool = False,
    ):
        self.faulty = faulty
        self.fleet = fleet
        self.calls: list[Call] = []
        self.probes: list[Probe] = []
        self.stopping = False
        self.greenlets = [
            gevent.spawn(self._run, vm, random.Random(f"{seed}/{vm}/{number}"))
            for vm in fleet.zone_by_vm
            for number in range(callers_per_vm)
        ]
        self.greenlets += [
            gevent.spawn(self._probe, vm) for vm in fleet.zone_by_vm
        ]
        if faulty:
            vms = sorted(fleet.zone_by_vm)
            self.greenlets += [
                gevent.spawn(
                    self._run_long,
                    vms[number % len(vms)],
                    random.Random(f"{seed}/long/{number}"),
                )
                for number in range(LONG_CALLERS)
            ]

    def finish(self) -> None:
        """Stops the callers and waits until their last requests have ended."""
        self.stopping = True
        gevent.joinall(self.greenlets)

    def _run(self, vm: str, rng: random.Random) -> None:
        client = self.fleet.client(vm)
        client.timeout_s = TIMEOUT_S
        while not self.stopping:
            kind = rng.choice(("read", "once", "keyed"))
            self._call(client, vm, kind, rng)
            gevent.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))
        client.close()

    def _probe(self, vm: str) -> None:
        client = self.fleet.client(vm)
        client.timeout_s = TIMEOUT_S
        while not self.stopping:
            version = self.fleet.version
            sent_s = time.monotonic()
            _, response = self.fleet.request(client, f"/v{version}/")
            # A newer version, if one was written meanwhile, lacks the route.
            if version == self.fleet.version:
                status = getattr(response, "status", 0)
                self.probes.append(Probe(vm, version, sent_s, status))
            gevent.sleep(PROBE_INTERVAL_S)
        client.close()

    def _call(self, client, vm: str, kind: str, rng: random.Random) -> None:
        """Makes a call; comes back to other VMs while its work is refused."""
        path = f"/{kind}/{rng.randrange(20)}"
        attempt_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        headers = {"X-Affinity-Key": path}
        if kind == "keyed":
            headers["Authorization"] = f"Bearer {fleets.KEY}"
        body, in_pieces = b"", False
        if kind == "once":
            body = rng.randbytes(rng.choice((10, 3000, 90000)))
            if self.faulty and rng.random() < LARGE_UPLOAD_RATIO:
                body = rng.randbytes(rng.randrange(MAX_UPLOAD_BYTES))
                in_pieces = True
        work = attempt_id if self.faulty and kind == "once" else ""
        if work:
            path += f"?work={work}"
        call = self._send(
            client, vm, path, headers, attempt_id, body, in_pieces, work=work
        )
        for _ in range(1, MAX_ATTEMPTS):
            if not work or not call.is_refused:
                return
            vm = rng.choice(sorted(self.fleet.zone_by_vm.keys() - {vm}))
            client = self.fleet.client(vm)
            client.timeout_s = TIMEOUT_S
            call = self._send(
                client,
                vm,
                path,
                headers,
                uuid.UUID(int=rng.getrandbits(128)).hex[:16],
                body,
                in_pieces,
                work=work,
            )
            client.close()

    def _run_long(self, vm: str, rng: random.Random) -> None:
        """Sends long requests, on one connection while its VM keeps it."""
        client = self.fleet.client(vm, **LONG_HEADERS)
        client.timeout_s = TIMEOUT_S
        limit_s = fleets.LONG_TIMEOUT_MS / fleets.MS_PER_S
        while not self.stopping:
            kind = rng.choice(sorted(fleets.LONG_ROUTES))
            work_ms = rng.randint(*LONG_WORK_RANGE_MS)
            attempt_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
            path = f"/{kind}/1?work_ms={work_ms}"
            self._send(client, vm, path, {}, attempt_id, limit_s=limit_s)
            gevent.sleep(rng.uniform(0, 2 * MEAN_LONG_PAUSE_S))
        client.close()

    def _send(
        self,
        client: http_client.Client,
        vm: str,
        path: str,
        headers: dict[str, str],
        attempt_id: str,
        body: bytes = b"",
        in_pieces: bool = False,
        work: str = "",
        limit_s: float = LIMIT_S,
    ) -> Call:
        """Sends one request and records it with its outcome."""
        sent_s = time.monotonic()
        _, response = self.fleet.request(
            client,
            path,
            "POST" if body else "GET",
            _pieces(body) if in_pieces else body or None,
            attempt_id=attempt_id,
            **headers,
        )
        call = Call(
            attempt_id,
            vm,
            path.startswith(SINGLE_PREFIXES),
            sent_s,
            time.monotonic(),
            response,
            body,
            path,
            work,
            limit_s,
        )
        self.calls.append(call)
        return call


def _pieces(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
