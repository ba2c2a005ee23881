"""Load generator of a deployment: open-loop arrivals, lookups and retries.

The times at which requests are due don't depend on the speed of responses, and
latency is measured from the time that a request was due, so that a slow system
can't hide latency by slowing its callers down (coordinated omission).
"""

import collections
import json
import random
import time
import urllib.parse

import attrs
import gevent
import gevent.pool

from standins import http_client
from standins.target import responses

MAX_TRIES = 3
PROBLEM_TYPE = "application/problem+json"
LOOKUP_TIMEOUT_S = 2.0


@attrs.frozen
class Stream:
    """Requests of one kind that arrive at a steady average rate.

    Attributes:
        name: Name in reports.
        account: Client account.
        key: Key of the account; empty sends none.
        service: Service that is called.
        path: Path within the service, with the query if there is one.
        rate_per_s: Average rate of arrivals, in requests per second.
        method: HTTP method.
        single_run: Whether the request may run at most once.
        body_bytes: Length of the request body.
        work_ms: Work time of the target, in milliseconds; 0 means the target's
            default.
        response_bytes: Length of the response body; 0 requests a receipt.
    """

    name: str
    account: str
    key: str
    service: str
    path: str
    rate_per_s: float
    method: str = "GET"
    single_run: bool = False
    body_bytes: int = 0
    work_ms: float = 0.0
    response_bytes: int = 0

    def url(self) -> str:
        """Returns the path and query to send to an entry VM."""
        url = f"/v1/services/{self.service}{self.path}"
        parameters = {"work_ms": self.work_ms, "bytes": self.response_bytes}
        for name, value in parameters.items():
            if value:
                url += f"{'&' if '?' in url else '?'}{name}={value}"
        return url


@attrs.define
class Record:
    """Outcome of one request.

    Attributes:
        stream: Stream of the request.
        request_id: Identifier of the request.
        due_s: Monotonic time at which it was due, in seconds.
        end_s: Monotonic time of the end, in seconds.
        tries: Number of times that it was sent.
        status: HTTP status of the last response; 0 if there was none.
        kind: Kind of refusal; `status-` and the status of another error;
            `unanswered` if no try got a response; empty if it was served.
        not_run: Whether the response states that it did not run.
        is_mismatched: Whether the response doesn't match the request.
    """

    stream: Stream
    request_id: str
    due_s: float
    end_s: float = 0.0
    tries: int = 0
    status: int = 0
    kind: str = ""
    not_run: bool = False
    is_mismatched: bool = False

    @property
    def latency_s(self) -> float:
        """Returns the time from when it was due to its end, in seconds."""
        return self.end_s - self.due_s


class Callers:
    """Callers near one zone that share lookup results and connections.

    Attributes:
        entry_addresses: Addresses of entry VMs for lookups, `ip:port`.
        source_ip: IP address of the callers.
        timeout_s: Longest wait for the next bytes of a response, in seconds.
        random: Generator for the order of lookups.
        lookups: Lookup results by service: monotonic time of expiry, in
            seconds, and addresses.
        idle: Idle connections by address.
    """

    def __init__(
        self,
        entry_addresses: list[str],
        source_ip: str,
        seed: int,
        timeout_s: float = 30.0,
    ):
        self.entry_addresses = entry_addresses
        self.source_ip = source_ip
        self.timeout_s = timeout_s
        self.random = random.Random(seed)
        self.lookups: dict[str, tuple[float, list[str]]] = {}
        self.idle: dict[str, list[http_client.Client]] = (
            collections.defaultdict(list)
        )

    def addresses(self, service: str) -> list[str]:
        """Returns the addresses to use for a service, best first."""
        expiry_s, cached = self.lookups.get(service, (0.0, []))
        if time.monotonic() < expiry_s:
            return cached
        candidates = cached + self.random.sample(
            self.entry_addresses, len(self.entry_addresses)
        )
        for address in candidates:
            addresses = self.look_up(address, service)
            if addresses:
                return addresses
        return candidates

    def look_up(self, address: str, service: str) -> list[str]:
        """Looks up the VMs to use at one VM, and caches the result.

        Returns:
            Addresses to use, best first; empty if the lookup failed.
        """
        query = urllib.parse.urlencode({"service": service})
        client = http_client.Client(address, self.source_ip, LOOKUP_TIMEOUT_S)
        response = client.request("GET", f"/v1/lookup?{query}")
        client.close()
        match response:
            case http_client.Response(status=200):
                data = response.json()
                addresses = [vm["address"] for vm in data["vms"]]
                expiry_s = time.monotonic() + data["lifetime_s"]
                self.lookups[service] = (expiry_s, addresses)
                return addresses
        return []

    def send(self, record: Record) -> None:
        """Sends a request; tries other VMs while there is no response."""
        stream = record.stream
        headers = {"Mulberrydeck-Request-Id": record.request_id}
        if stream.key:
            headers["Mulberrydeck-Key"] = stream.key
        if stream.single_run:
            headers["Mulberrydeck-Run-Id"] = f"run-{record.request_id}"
        for attempt in range(MAX_TRIES):
            addresses = self.addresses(stream.service)
            address = addresses[attempt % len(addresses)]
            record.tries += 1
            response = self.exchange(address, stream, headers)
            if isinstance(response, http_client.Response):
                record_response(record, response)
                return
            self.lookups.pop(stream.service, None)
        record.kind = "unanswered"
        record.end_s = time.monotonic()

    def exchange(
        self, address: str, stream: Stream, headers: dict[str, str]
    ) -> http_client.Response | http_client.NoResponse:
        """Sends a request once, on an idle connection if there is one."""
        idle = self.idle[address]
        client = (
            idle.pop()
            if idle
            else http_client.Client(address, self.source_ip, self.timeout_s)
        )
        body = b"x" * stream.body_bytes if stream.body_bytes else None
        response = client.request(stream.method, stream.url(), body, headers)
        if client.connection is not None:
            idle.append(client)
        return response

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for client in idle:
                client.close()
        self.idle.clear()


def record_response(record: Record, response: http_client.Response) -> None:
    """Writes a response into the record of its request."""
    record.end_s = time.monotonic()
    record.status = response.status
    record.not_run = response.headers.get("mulberrydeck-ran") == "no"
    if response.headers.get("content-type") == PROBLEM_TYPE:
        record.kind = response.json()["kind"]
    elif response.status >= 400:
        record.kind = f"status-{response.status}"
    else:
        record.is_mismatched = not matches_request(record, response.body)


def matches_request(record: Record, body: bytes) -> bool:
    """Returns whether a response body matches its request and is complete."""
    stream = record.stream
    if stream.response_bytes:
        return body == responses.body(record.request_id, stream.response_bytes)
    receipt = json.loads(body)
    return (
        receipt["request_id"] == record.request_id
        and receipt["account"] == stream.account
        and receipt["received_bytes"] == stream.body_bytes
    )


class Load:
    """Streams of requests that run at the same time.

    Attributes:
        callers: Groups of callers; each request comes from one of them.
        random: Generator for the seeds of streams.
        records: Records of all requests so far.
        requests: Greenlets of requests.
        arrivals: Greenlets of streams.
        started: Number of streams started so far.
    """

    def __init__(self, callers: list[Callers], seed: int):
        self.callers = callers
        self.random = random.Random(seed)
        self.records: list[Record] = []
        self.requests = gevent.pool.Group()
        self.arrivals = gevent.pool.Group()
        self.started = 0

    def start(self, stream: Stream, duration_s: float) -> None:
        """Starts a stream whose requests arrive for `duration_s` seconds."""
        self.started += 1
        rng = random.Random(self.random.random())
        prefix = f"{stream.name}-{self.started}"
        self.arrivals.spawn(self.arrive, stream, duration_s, rng, prefix)

    def arrive(
        self,
        stream: Stream,
        duration_s: float,
        rng: random.Random,
        prefix: str,
    ) -> None:
        """Sends the requests of a stream when they are due."""
        due_s = time.monotonic()
        end_s = due_s + duration_s
        number = 0
        while (due_s := due_s + rng.expovariate(stream.rate_per_s)) < end_s:
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            number += 1
            record = Record(stream, f"{prefix}-{number}", due_s)
            self.records.append(record)
            callers = rng.choice(self.callers)
            self.requests.spawn(callers.send, record)

    def finish(self) -> list[Record]:
        """Waits for all arrivals and responses, and returns the records."""
        self.arrivals.join()
        self.requests.join(raise_error=True)
        for callers in self.callers:
            callers.close()
        return self.records
