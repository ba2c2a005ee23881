"""Load of one client account through given VMs."""

import functools
import time

from standins import http_client
from standins import traffic
from standins import verdicts

SEED = 20
PATH = "/status"


class AccountLoad:
    """Requests of one account that arrive at a steady rate.

    Attributes:
        scene: The scenario's fleet and keys.
        account: Name of the client account.
        limit: The account's rule in the configuration document.
        load: Arrivals and their records.
        duration_s: How long requests arrive, in seconds.
    """

    def __init__(self, scene, account, factor, vms, duration_s):
        self.scene = scene
        self.account = account
        self.duration_s = duration_s
        self.limit = limit_of(scene, account)
        self.callers = [
            FixedCallers(scene.fleet.client(name).address, name) for name in vms
        ]
        self.load = traffic.Load(self.callers, SEED)
        stream = traffic.Stream(
            account,
            account,
            scene.key(account),
            "permits",
            PATH,
            factor * self.limit["rate_per_s"],
            work_ms=2.0,
        )
        self.load.start(stream, duration_s)

    def records(self):
        """Waits for the last request to end and returns all records."""
        return self.load.finish()

    @functools.cached_property
    def run_times(self):
        """Monotonic times at which VMs sent the requests that targets ran.

        The runs come from the logs of targets, and the time of each from its
        `X-Request-Start`, which the entry VM sets when it sends the request.
        Arrival times are unsuitable: on a busy machine proxies and targets are
        delayed in turns, so that requests sent evenly arrive in bursts.
        """
        self.records()
        runs = verdicts.ran(self.scene.fleet.stand_ins.runs())
        return [sent_s(run) for run in runs if run.account == self.account]


class FixedCallers(traffic.Callers):
    """Callers that send to one VM and never use lookups."""

    def __init__(self, address, name):
        super().__init__([address], "", seed_of(name), timeout_s=8.0)

    def addresses(self, service):
        return self.entry_addresses

    def send(self, record):
        headers = {"Mulberrydeck-Key": record.stream.key}
        record.tries = 1
        response = self.exchange(
            self.entry_addresses[0], record.stream, headers
        )
        if isinstance(response, http_client.Response):
            traffic.record_response(record, response)
        else:
            record.kind = "unanswered"


def sent_s(run):
    """Returns the monotonic time at which a VM sent a run, in seconds."""
    started = dict(run.headers)["x-request-start"]
    return float(started.removeprefix("t=")) - time.time() + time.monotonic()


def seed_of(name):
    return sum(name.encode())


def limit_of(scene, account):
    """Returns the limit rule that applies to an account of the deployment."""
    document = scene.fleet.layout.deployment.document
    by_name = {item["name"]: item for item in document["accounts"]}
    size = by_name[account].get("labels", {}).get("size", "")
    name = "large" if size == "large" else "rest"
    return {rule["name"]: rule for rule in document["limits"]}[name]
