"""Load of one client account through chosen VMs."""

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
        """Returns all records once the last request has ended."""
        return self.load.finish()

    @functools.cached_property
    def run_times(self):
        """When VMs sent the requests of the account that came to targets.

        Counted are the runs that targets logged, at the time that the first VM
        wrote into each. Proxies and targets of a busy machine are late by
        turns, so that requests sent evenly come to them in bunches.
        """
        self.records()
        runs = verdicts.ran(self.scene.fleet.surroundings.runs())
        return [sent_s(run) for run in runs if run.account == self.account]


class FixedCallers(traffic.Callers):
    """Callers that use one VM, whatever a look-up would say."""

    def __init__(self, address, name):
        super().__init__([address], "", hash_seed(name), timeout_s=8.0)

    def addresses(self, service):
        return self.entry_addresses

    def send(self, record):
        headers = {"Mulberrydeck-Key": record.stream.key}
        record.tries = 1
        answer = self.exchange(self.entry_addresses[0], record.stream, headers)
        if isinstance(answer, http_client.Response):
            traffic.record_response(record, answer)
        else:
            record.kind = "unanswered"


def sent_s(run):
    """Returns when a VM sent a run, on the monotonic clock, in seconds."""
    started = dict(run.headers)["x-request-start"]
    return float(started.removeprefix("t=")) - time.time() + time.monotonic()


def hash_seed(name):
    return sum(name.encode())


def limit_of(scene, account):
    """Returns the rule of a large or other account of the deployment."""
    document = scene.fleet.layout.deployment.document
    found = {item["name"]: item for item in document["accounts"]}
    size = found[account].get("labels", {}).get("size", "")
    name = "large" if size == "large" else "rest"
    return {rule["name"]: rule for rule in document["limits"]}[name]
