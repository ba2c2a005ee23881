"""A tenant that asks for more than its allotment, and the check of QUOTA."""

import collections
import collections.abc
import time

import gevent

from review import deployment as deployments

RATE_PER_S = 300
BURST = 20
WINDOW_S = 5.0  # `QuotaWindowS` of kilele-permits.
OVERAGE = 0.1  # `QuotaOverage`.
SLACK = 20  # `QuotaSlack`.
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KEY = "9anu6wsjnbanfqasnmgk"
CLIENTS = 30
PERIOD_S = 0.05


def configure(deployment: deployments.Deployment) -> None:
    """Writes a config with the tenant, and starts three instances."""
    tenant = {
        "Name": "sese880",
        "ApiKeys": [KEY],
        "Priority": 1,
        "RatePerS": RATE_PER_S,
        "Burst": BURST,
        "HomeRegions": [],
    }
    deployment.configure([deployments.route(Public=False)], Tenants=[tenant])
    for number, zone in enumerate(("arusha-a", "dar-a", "mwanza-a"), 1):
        deployment.add_instance(f"i-{number}", zone, slots=60)


class Load:
    """Clients of the tenant at several machines.

    Attributes:
        deployment: The deployment.
        until_s: When the clients stop, in seconds.
        statuses: Number of answers by status; 0 without an answer.
        senders: The clients.
    """

    def __init__(
        self, deployment: deployments.Deployment, lasts_s: float
    ) -> None:
        """Prepares the load.

        Args:
            deployment: The deployment.
            lasts_s: How long the clients send, in seconds.
        """
        self.deployment = deployment
        self.until_s = time.monotonic() + lasts_s
        self.statuses: collections.Counter[int] = collections.Counter()
        self.senders: list[gevent.Greenlet] = []

    def start_at(self, machine: str, clients: int = CLIENTS) -> None:
        """Starts the clients of a machine."""
        self.senders += [
            gevent.spawn(self._send, machine) for _ in range(clients)
        ]

    def _send(self, machine: str) -> None:
        address = self.deployment.addresses[machine]["caller"]
        client = None
        number = 0
        while time.monotonic() < self.until_s:
            gevent.sleep(PERIOD_S)
            try:
                client = client or deployments.Client(address)
            except OSError:
                continue
            number += 1
            attempt_id = deployments.new_id()
            sent_s = time.monotonic()
            answer = client.request(
                "/status/permit", attempt_id, affinity=str(number), key=KEY
            )
            self.statuses[answer.status] += 1
            self.deployment.record.write(
                f"{attempt_id} sent to {machine}: {answer}", sent_s
            )
            if not answer.complete:
                client.close()
                client = None

    def finish(self) -> bool:
        """Waits for the clients; returns whether QUOTA held.

        Raises:
            deployments.CaseCannotRunError: Less than the rate was served.
        """
        gevent.joinall(self.senders)
        self.deployment.write_runs()
        record = self.deployment.record
        most, start_s = _busiest_window(
            run.arrived_s
            for instance in self.deployment.instances.values()
            for run in instance.runs
        )
        record.write(f"answers by status: {dict(self.statuses)}")
        record.write(
            f"at most {most} requests of the tenant ran in {WINDOW_S} s, from "
            f"{start_s - record.started_s:.3f} on; {LIMIT:.0f} are allowed"
        )
        if most < 0.8 * RATE_PER_S * WINDOW_S:
            raise deployments.CaseCannotRunError(
                "less than the rate was served"
            )
        return most <= LIMIT


def _busiest_window(arrivals_s: collections.abc.Iterable) -> tuple[int, float]:
    """Returns the largest number of runs in a window, and its start."""
    times_s = sorted(arrivals_s)
    best = (0, 0.0)
    first = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > WINDOW_S:
            first += 1
        best = max(best, (last - first + 1, times_s[first]))
    return best
