"""Requests around planned stops of several VMs, on real processes.

Targets work on requests for seconds, and callers use their connections until
the process is gone.
"""

import signal
import time

import attrs
import gevent
import pytest
import tomlkit

from standins import http_client
from standins.users_platform import fleet as steering_fleet

STOPPING_VMS = ("coast-a-1", "coast-b-1")
STOP_TIMEOUT_S = 6.0
ROUTE_TIMEOUT_S = 5.0
CALLER_DEADLINE_S = 20.0
# Mean 3.5 s, less than the time limit of the route.
WORK_S = (2.5, 3.1, 3.9, 4.5)
# Times since SIGTERM.
SIGNALS_AGAIN_S = 0.5
SEND_FROM_S = -2.5
SEND_UNTIL_S = 6.2
SEND_INTERVAL_S = 0.05
MIN_IN_PROGRESS = 40
# Bounds of the rule LOST, the last two since SIGTERM.
LOSS_SLACK_S = 0.2
EXCUSED_IF_SENT_BY_S = 3.0
EXCUSED_IF_AT_WORK_S = STOP_TIMEOUT_S * 5 / 6


@attrs.frozen
class Sent:
    """A request and what its caller saw.

    Attributes:
        attempt_id: Identifier of the request.
        kept: Whether its connection had served another request.
        sent_s: Monotonic time at which it was sent, in seconds.
        ended_s: Monotonic time at which its response or its connection ended,
            in seconds.
        outcome: The response, or why there is none.
    """

    attempt_id: str
    kept: bool
    sent_s: float
    ended_s: float
    outcome: http_client.Response | http_client.NoResponse

    @property
    def status(self):
        """Status of the response; 0 without a complete response."""
        return getattr(self.outcome, "status", 0)


@attrs.frozen
class Work:
    """The work of a target on a request.

    Attributes:
        started_s: Monotonic time at which it began, in seconds.
        ended_s: Monotonic time at which it ends unless it is cancelled, in
            seconds.
    """

    started_s: float
    ended_s: float


def is_lost(sent, work, sigterm_s):
    """Returns whether the rule LOST counts a request.

    It is counted if its target is at work and the VM closes the connection or
    responds itself, or if it reached no target and its connection is closed
    late. No target of these tests breaks off.

    Args:
        sent: The request.
        work: The work of the last target that got it; None if none did.
        sigterm_s: Monotonic time of SIGTERM, in seconds.
    """
    elapsed_s = sent.ended_s - sent.sent_s
    if elapsed_s >= min(ROUTE_TIMEOUT_S, CALLER_DEADLINE_S):
        return False
    if work is None:
        return sent.status == 0 and elapsed_s > LOSS_SLACK_S
    if sent.status and "x-response-signature" in sent.outcome.headers:
        return False
    at_work_until_s = min(work.ended_s, sent.ended_s)
    return (
        sent.sent_s > sigterm_s + EXCUSED_IF_SENT_BY_S
        or at_work_until_s < sigterm_s + EXCUSED_IF_AT_WORK_S
    )


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """Two VMs that are to stop, and targets that work for seconds."""
    with steering_fleet.SteeringFleet(
        tmp_path, stop_timeout_s=STOP_TIMEOUT_S
    ) as fleet:
        audit = steering_fleet.route(
            Name="audit-read",
            PathPrefix="/audit/",
            TimeoutMs=int(ROUTE_TIMEOUT_S * 1000),
            Sticky=False,
        )
        fleet.configure(Routes=[audit])
        for number, work_s in enumerate(WORK_S):
            fleet.add_target(f"t{number}", slots=500, work_s=work_s)
        for name, zone in zip(
            STOPPING_VMS, ("coast-a", "coast-b"), strict=True
        ):
            fleet.start_vm(name, zone)
        yield fleet


class Callers:
    """Callers that send at a fixed rate to each VM that stops.

    Attributes:
        fleet: The VMs and targets.
        planned_s: Monotonic time at which SIGTERM is due, in seconds.
        sent: Requests that have ended.
    """

    def __init__(self, fleet, planned_s):
        self.fleet = fleet
        self.planned_s = planned_s
        self.sent = []

    def start(self):
        """Opens the kept connections and starts all callers."""
        count = int((SEND_UNTIL_S - SEND_FROM_S) / SEND_INTERVAL_S)
        return [
            gevent.spawn(
                self.call,
                self.client(name),
                number % 3 != 0,
                SEND_FROM_S + number * SEND_INTERVAL_S,
            )
            for name in STOPPING_VMS
            for number in range(count)
        ]

    def client(self, name):
        """Returns a client whose requests may take `CALLER_DEADLINE_S`."""
        deadline_ms = str(int(CALLER_DEADLINE_S * 1000))
        return self.fleet.client(name, **{"X-Deadline-Ms": deadline_ms})

    def call(self, client, kept, send_s):
        """Sends one request at a time; the connection may be a kept one."""
        if kept:
            _, first = self.fleet.request(client, "/no-route")
            assert first.status == 404
        gevent.sleep(self.planned_s + send_s - time.monotonic())
        if client.connection is None:
            if kept:
                return
            try:
                client.open()
            except OSError:
                return  # No new connections are accepted any more.
        sent_s = time.monotonic()
        attempt_id, outcome = self.fleet.request(client, "/audit/1")
        ended_s = time.monotonic()
        client.close()
        self.sent.append(Sent(attempt_id, kept, sent_s, ended_s, outcome))


def works(fleet):
    """Returns the last work of a target on each request."""
    found = {}
    for target in fleet.targets.values():
        for run in target.runs:
            work = Work(run.arrived_s, run.arrived_s + target.work_s)
            attempt_id = run.fields["x-attempt-id"]
            earlier = found.get(attempt_id, work)
            found[attempt_id] = max(work, earlier, key=lambda w: w.started_s)
    return found


def signal_again(fleet, name):
    """Sends a VM that stops SIGTERM again, and SIGHUP with a shorter stop."""
    path = fleet.group.directory / f"{name}.toml"
    settings = tomlkit.parse(path.read_text())
    settings["stop_timeout_s"] = STOP_TIMEOUT_S / 2
    path.write_text(tomlkit.dumps(settings))
    for number in (signal.SIGHUP, signal.SIGTERM):
        fleet.vms[name].send_signal(number)


# Guards against requests that are read and cut off as several VMs stop.
def test_vms_that_stop_together_lose_no_request(fleet):
    planned_s = time.monotonic() + 1.0 - SEND_FROM_S
    callers = Callers(fleet, planned_s)
    greenlets = callers.start()
    gevent.sleep(planned_s - time.monotonic())
    sigterm_s = time.monotonic()
    for name in STOPPING_VMS:
        fleet.stop_vm(name)
    in_progress = sum(target.running for target in fleet.targets.values())
    gevent.sleep(SIGNALS_AGAIN_S)
    signal_again(fleet, STOPPING_VMS[0])
    gevent.joinall(greenlets, raise_error=True)
    codes = [fleet.vms[name].wait_end() for name in STOPPING_VMS]
    work_by_id = works(fleet)
    lost = [
        (round(sent.sent_s - sigterm_s, 3), sent.kept, sent.outcome)
        for sent in callers.sent
        if is_lost(sent, work_by_id.get(sent.attempt_id), sigterm_s)
    ]
    assert in_progress >= MIN_IN_PROGRESS
    assert not lost, f"{len(lost)} of {len(callers.sent)}: {lost}"
    assert codes == [0, 0]
    for kept in (False, True):
        statuses = {sent.status for sent in callers.sent if sent.kept == kept}
        assert {200, 503} <= statuses
    refused = {sent.attempt_id for sent in callers.sent if sent.status == 503}
    assert not refused & work_by_id.keys()
