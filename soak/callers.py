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
# Timeout of a caller. The deadline in its requests is 2 s.
TIMEOUT_S = 12.0


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
    """

    attempt_id: str
    vm: str
    single: bool
    sent_s: float
    ended_s: float
    response: http_client.Response | http_client.NoResponse
    body: bytes = b""


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
        large_uploads: Whether some bodies are sent in chunks and exceed what a
            VM keeps in memory.
    """

    def __init__(
        self,
        fleet: fleets.SoakFleet,
        seed: int,
        callers_per_vm: int = CALLERS_PER_VM,
        large_uploads: bool = False,
    ):
        self.large_uploads = large_uploads
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

    def finish(self) -> None:
        """Stops the callers and waits until their last requests have ended."""
        self.stopping = True
        gevent.joinall(self.greenlets)

    def _run(self, vm: str, rng: random.Random) -> None:
        client = self.fleet.client(vm)
        client.timeout_s = TIMEOUT_S
        while not self.stopping:
            kind = rng.choice(("read", "once", "keyed"))
            self.calls.append(self._call(client, vm, kind, rng))
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

    def _call(self, client, vm: str, kind: str, rng: random.Random) -> Call:
        path = f"/{kind}/{rng.randrange(20)}"
        attempt_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        headers = {"X-Affinity-Key": path}
        if kind == "keyed":
            headers["Authorization"] = f"Bearer {fleets.KEY}"
        body = None
        if kind == "once":
            body = rng.randbytes(rng.choice((10, 3000, 90000)))
        sent = body
        if self.large_uploads and body and rng.random() < LARGE_UPLOAD_RATIO:
            body = rng.randbytes(rng.randrange(MAX_UPLOAD_BYTES))
            sent = _pieces(body)
        sent_s = time.monotonic()
        _, response = self.fleet.request(
            client,
            path,
            "POST" if body else "GET",
            sent,
            attempt_id=attempt_id,
            **headers,
        )
        single = kind == "once"
        return Call(
            attempt_id,
            vm,
            single,
            sent_s,
            time.monotonic(),
            response,
            body or b"",
        )


def _pieces(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
