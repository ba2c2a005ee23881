"""Callers of a deployment: open-loop arrivals, look-ups and retries.

Requests are due at times that do not depend on how fast answers come, and
latency counts from the time that a request was due, so that a slow system
can't hide by slowing its callers (coordinated omission).
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

TRIES = 3
PROBLEM_TYPE = "application/problem+json"
LOOKUP_TIMEOUT_S = 2.0


@attrs.frozen
class Stream:
    """Requests of one kind that arrive at a steady average rate.

    Attributes:
        name: Name in reports.
        account: Client account.
        key: Its key.
        service: Service that is called.
        path: Path, and query if there is one, within the service.
        rate_per_s: Average rate of arrivals.
        method: HTTP method.
        single_run: Whether the request may run at most once.
        body_bytes: Length of the body that is sent.
        work_ms: Time that the target works, in milliseconds; 0 asks for its
            usual time.
        response_bytes: Length of the answer; 0 asks for a receipt.
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
        """Returns path and query for an entry VM."""
        url = f"/v1/services/{self.service}{self.path}"
        wanted = {"work_ms": self.work_ms, "bytes": self.response_bytes}
        for name, value in wanted.items():
            if value:
                url += f"{'&' if '?' in url else '?'}{name}={value}"
        return url


@attrs.define
class Record:
    """What became of one request.

    Attributes:
        stream: Its kind.
        request_id: Its identifier.
        due_s: Monotonic time at which it was due, in seconds.
        end_s: Monotonic time of the end, in seconds.
        tries: How often it was sent.
        status: HTTP status of the last answer; 0 if there was none.
        kind: Kind of refusal; `unanswered`; empty when it was served.
        not_run: Whether the answer says that it did not run.
        is_mismatched: Whether the answer belongs to another request.
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
    """Callers near one zone, who share look-up answers and connections.

    Attributes:
        entry_addresses: Addresses to ask first, `ip:port`.
        source_ip: Their IP address.
        timeout_s: Longest wait for a piece of an answer, in seconds.
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
        self.answers: dict[str, tuple[float, list[str]]] = {}
        self.idle: dict[str, list[http_client.Client]] = (
            collections.defaultdict(list)
        )

    def addresses(self, service: str) -> list[str]:
        """Returns the addresses to use for a service, best first."""
        until_s, known = self.answers.get(service, (0.0, []))
        if time.monotonic() < until_s:
            return known
        asked = known + self.random.sample(
            self.entry_addresses, len(self.entry_addresses)
        )
        for address in asked:
            found = self.look_up(address, service)
            if found:
                return found
        return asked

    def look_up(self, address: str, service: str) -> list[str]:
        """Asks one VM which ones to use, and keeps the answer."""
        query = urllib.parse.urlencode({"service": service})
        client = http_client.Client(address, self.source_ip, LOOKUP_TIMEOUT_S)
        answer = client.request("GET", f"/v1/lookup?{query}")
        client.close()
        match answer:
            case http_client.Response(status=200):
                data = answer.json()
                found = [vm["address"] for vm in data["vms"]]
                until_s = time.monotonic() + data["lifetime_s"]
                self.answers[service] = (until_s, found)
                return found
        return []

    def send(self, record: Record) -> None:
        """Sends a request, again through another VM if no answer came."""
        stream = record.stream
        headers = {"Mulberrydeck-Request-Id": record.request_id}
        if stream.key:
            headers["Mulberrydeck-Key"] = stream.key
        if stream.single_run:
            headers["Mulberrydeck-Run-Id"] = f"run-{record.request_id}"
        for turn in range(TRIES):
            known = self.addresses(stream.service)
            address = known[turn % len(known)]
            record.tries += 1
            answer = self.exchange(address, stream, headers)
            if isinstance(answer, http_client.Response):
                record_response(record, answer)
                return
            self.answers.pop(stream.service, None)
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
        answer = client.request(stream.method, stream.url(), body, headers)
        if client.connection is not None:
            idle.append(client)
        return answer

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle.values():
            for client in idle:
                client.close()
        self.idle.clear()


def record_response(record: Record, answer: http_client.Response) -> None:
    """Writes an answer into a request's record."""
    record.end_s = time.monotonic()
    record.status = answer.status
    record.not_run = answer.headers.get("mulberrydeck-ran") == "no"
    if answer.headers.get("content-type") == PROBLEM_TYPE:
        record.kind = answer.json()["kind"]
    elif answer.status >= 400:
        record.kind = f"status-{answer.status}"
    else:
        record.is_mismatched = not fits(record, answer.body)


def fits(record: Record, body: bytes) -> bool:
    """Returns whether an answer belongs to its request, and is whole."""
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
    """Streams that run together.

    Attributes:
        callers: Groups of callers; each request comes from one of them.
        records: Every request so far.
    """

    def __init__(self, callers: list[Callers], seed: int):
        self.callers = callers
        self.random = random.Random(seed)
        self.records: list[Record] = []
        self.requests = gevent.pool.Group()
        self.arrivals = gevent.pool.Group()
        self.started = 0

    def start(self, stream: Stream, duration_s: float) -> None:
        """Lets a stream's requests arrive for some seconds."""
        self.started += 1
        drawn = random.Random(self.random.random())
        prefix = f"{stream.name}-{self.started}"
        self.arrivals.spawn(self.arrive, stream, duration_s, drawn, prefix)

    def arrive(
        self,
        stream: Stream,
        duration_s: float,
        drawn: random.Random,
        prefix: str,
    ) -> None:
        """Sends the requests of a stream when they are due."""
        due_s = time.monotonic()
        end_s = due_s + duration_s
        number = 0
        while (due_s := due_s + drawn.expovariate(stream.rate_per_s)) < end_s:
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            number += 1
            record = Record(stream, f"{prefix}-{number}", due_s)
            self.records.append(record)
            callers = drawn.choice(self.callers)
            self.requests.spawn(callers.send, record)

    def finish(self) -> list[Record]:
        """Waits for all arrivals and answers and returns the records."""
        self.arrivals.join()
        self.requests.join(raise_error=True)
        for callers in self.callers:
            callers.close()
        return self.records
