"""Callers that use the VMs while faults come."""

import random
import time
import uuid

import attrs
import gevent

from soak import fleet as fleets
from standins import http_client

CALLERS_A_VM = 3
# Half of them send a target more than it bears while it is cold.
MANY_CALLERS_A_VM = 9
PAUSE_S = 0.08
PROBE_PAUSE_S = 0.2
LATE_S = 12.0  # A caller gives up then; the deadline that it names is 2 s.


@attrs.frozen
class Call:
    """A request and what came of it.

    Attributes:
        attempt_id: Its identifier.
        vm: VM that it was sent to.
        single: Whether it may run only once.
        sent_s: When it was sent, on the monotonic clock, in seconds.
        ended_s: When its answer was whole, or was known not to come.
        answer: The answer, or why there is none.
    """

    attempt_id: str
    vm: str
    single: bool
    sent_s: float
    ended_s: float
    answer: http_client.Answer | http_client.NoAnswer


@attrs.frozen
class Probe:
    """A request on the route that only the newest version has.

    Attributes:
        vm: VM that it was sent to.
        version: The newest version that was acknowledged before.
        sent_s: When it was sent, on the monotonic clock, in seconds.
        status: Status of the answer; 0 if there was none.
    """

    vm: str
    version: int
    sent_s: float
    status: int


class Callers:
    """Callers with open connections to all VMs.

    Attributes:
        calls: What was sent so far.
        probes: What was sent to see which version is in force.
        stopping: Set to make the callers end.
    """

    def __init__(
        self,
        fleet: fleets.SoakFleet,
        seed: int,
        callers_a_vm: int = CALLERS_A_VM,
    ):
        self.fleet = fleet
        self.calls: list[Call] = []
        self.probes: list[Probe] = []
        self.stopping = False
        self.greenlets = [
            gevent.spawn(self._run, vm, random.Random(f"{seed}/{vm}/{number}"))
            for vm in fleet.zone_by_vm
            for number in range(callers_a_vm)
        ]
        self.greenlets += [
            gevent.spawn(self._probe, vm) for vm in fleet.zone_by_vm
        ]

    def finish(self) -> None:
        """Ends the callers once their last answers are there."""
        self.stopping = True
        gevent.joinall(self.greenlets)

    def _run(self, vm: str, rng: random.Random) -> None:
        client = self.fleet.client(vm)
        client.timeout_s = LATE_S
        while not self.stopping:
            kind = rng.choice(("read", "once", "keyed"))
            self.calls.append(self._call(client, vm, kind, rng))
            gevent.sleep(rng.uniform(0, 2 * PAUSE_S))
        client.close()

    def _probe(self, vm: str) -> None:
        client = self.fleet.client(vm)
        client.timeout_s = LATE_S
        while not self.stopping:
            version = self.fleet.version
            sent_s = time.monotonic()
            _, answer = self.fleet.request(client, f"/v{version}/")
            # A newer version would have dropped the route by right.
            if version == self.fleet.version:
                status = getattr(answer, "status", 0)
                self.probes.append(Probe(vm, version, sent_s, status))
            gevent.sleep(PROBE_PAUSE_S)
        client.close()

    def _call(self, client, vm: str, kind: str, rng: random.Random) -> Call:
        path = f"/{kind}/{rng.randrange(20)}"
        attempt_id = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        fields = {"X-Affinity-Key": path}
        if kind == "keyed":
            fields["Authorization"] = f"Bearer {fleets.KEY}"
        body = None
        if kind == "once":
            body = rng.randbytes(rng.choice((10, 3000, 90000)))
        sent_s = time.monotonic()
        _, answer = self.fleet.request(
            client,
            path,
            "POST" if body else "GET",
            body,
            attempt_id=attempt_id,
            **fields,
        )
        single = kind == "once"
        return Call(attempt_id, vm, single, sent_s, time.monotonic(), answer)
