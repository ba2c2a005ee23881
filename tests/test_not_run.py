"""Callers are told that a request did not run only if that is true.

The statuses 408, 421, 429 and 503 tell a caller so.
"""

import collections
import signal

import gevent
import pytest

from standins.users_platform import fleet as steering_fleet

VM = "coast-a-1"
NOT_RUN_STATUSES = {408, 421, 429, 503}
RAN_FAULTS = [
    "ran 503",
    "ran 429",
    "ran 408",
    "ran 503 pause",
    "ran 503 blank",
    "ran 503 long",
    "ran 429 long",
    "ran 503 long broken",
    "ran 200 marked",
    "ran 200 blank",
    "ran 500 marked",
]


@pytest.fixture(name="fleet")
def fixture_fleet(tmp_path):
    """One VM and two targets, ready to serve."""
    with steering_fleet.SteeringFleet(tmp_path) as fleet:
        fleet.configure()
        for name in ("t1", "t2"):
            fleet.add_target(name, slots=50)
        fleet.start_vm(VM)
        yield fleet


def _queue_fault(fleet, fault):
    for target in fleet.targets.values():
        target.queued_faults.append(fault)


def _clear_faults(fleet):
    for target in fleet.targets.values():
        target.queued_faults.clear()


def _counted_runs(fleet):
    """Returns how often each request ran, by its identifier."""
    return collections.Counter(
        run.fields["x-attempt-id"]
        for target in fleet.targets.values()
        for run in target.runs
    )


def _check_statuses(fleet, statuses):
    """Checks what callers were told against the records of the targets.

    Args:
        fleet: The fleet.
        statuses: Statuses that callers got, by identifier of the request.
    """
    runs = _counted_runs(fleet)
    for attempt_id, status in statuses.items():
        if status in NOT_RUN_STATUSES:
            assert not runs[attempt_id], (attempt_id, status)


# Only X-Not-Executed states that a target did not run a request.
@pytest.mark.parametrize("path", ["/once/1", "/read/1"])
@pytest.mark.parametrize("fault", RAN_FAULTS)
def test_a_request_that_ran_is_not_reported_as_not_run(fleet, path, fault):
    for _ in range(3):
        _queue_fault(fleet, fault)
    attempt_id, response = fleet.request(fleet.client(), path, "POST", b"fee")
    _check_statuses(fleet, {attempt_id: response.status})
    runs = _counted_runs(fleet)[attempt_id]
    assert runs == 1 if path == "/once/1" else runs >= 1
    assert "x-not-executed" not in response.headers
    if "x-response-signature" in response.headers:
        sent = [
            target.statuses.get(attempt_id) for target in fleet.targets.values()
        ]
        assert {response.status} in sent


# Copies carry the identifier of an earlier request, or none if bare.
@pytest.mark.parametrize(
    "fault",
    [
        "reject twice",
        "reject twice bare",
        "reject twice spaced",
        "reject twice spaced bare",
        "reject twice interim",
        "reject twice interim bare",
    ],
)
def test_no_copy_of_a_refusal_refuses_another_request(fleet, fault):
    for target in fleet.targets.values():
        target.work_s = 0.1
    statuses = {}
    client = fleet.client()
    for number in range(16):
        if number % 2 == 0:
            _queue_fault(fleet, fault)
        attempt_id, response = fleet.request(
            client, "/once/1", "POST", b"", **{"X-Affinity-Key": str(number)}
        )
        statuses[attempt_id] = response.status
    _clear_faults(fleet)
    _check_statuses(fleet, statuses)
    assert 503 in statuses.values()
    assert max(_counted_runs(fleet).values(), default=0) <= 1


def test_a_rejection_that_breaks_off_leaves_the_outcome_unknown(fleet):
    for _ in range(2):
        _queue_fault(fleet, "reject broken")
    _, response = fleet.request(fleet.client(), "/once/1", "POST", b"fee")
    assert response.status == 502


# Copies of the response to an earlier attempt carry the same identifier.
def test_no_two_attempts_of_a_request_use_the_same_connection(fleet):
    target = fleet.targets["t1"]
    fleet.store.remove("servers", "t2")
    entry = target.entry(steering_fleet.SERVICE, "coast-a")
    fleet.store.put("servers", "t3", entry)
    gevent.sleep(1.0)
    connections = target.connections
    target.queued_faults.append("reject")
    _, response = fleet.request(fleet.client(), "/once/1", "POST", b"fee")
    assert response.status == 503
    assert target.connections == connections + 2


def _freeze(fleet):
    fleet.vms[VM].send_signal(signal.SIGSTOP)
    gevent.sleep(1.0)
    fleet.vms[VM].send_signal(signal.SIGCONT)


def _reload(fleet):
    fleet.vms[VM].send_signal(signal.SIGHUP)


def _lower_limit(fleet):
    limited = {"Name": "acme", "ApiKeys": ["key-1"], "RatePerS": 1, "Burst": 1}
    fleet.configure(2, Tenants=[limited])


def _remove_routes(fleet):
    fleet.configure(2, Routes=[steering_fleet.route()])


def _remove_targets(fleet):
    for name in fleet.targets:
        fleet.store.remove("servers", name)


@pytest.mark.parametrize(
    "fault",
    [
        "",
        "reset",
        "cut head",
        "ran 503",
        "reject",
        "reject broken",
        "reject twice bare",
    ],
)
@pytest.mark.parametrize(
    "disturb",
    [
        steering_fleet.SteeringFleet.stop_vm,
        _freeze,
        _reload,
        _lower_limit,
        _remove_routes,
        _remove_targets,
    ],
)
def test_no_request_is_refused_while_an_attempt_is_on_its_way(
    fleet, disturb, fault
):
    once = steering_fleet.route(
        Name="once",
        PathPrefix="/once/",
        Kind="non_idempotent",
        MaxAttempts=2,
        Public=False,
    )
    fleet.configure(1, Routes=[steering_fleet.route(), once])
    for target in fleet.targets.values():
        target.work_s = 0.7
        target.queued_faults.extend([fault] * 4)
    sent = []
    for number in range(12):
        client = fleet.client(VM, Authorization="Bearer key-1")
        path = f"/once/{number}"
        sent.append(gevent.spawn(fleet.request, client, path, "POST", b"fee"))
    gevent.sleep(0.3)
    disturb(fleet)
    gevent.joinall(sent)
    responses = dict(greenlet.get() for greenlet in sent)
    statuses = {
        key: getattr(response, "status", None)
        for key, response in responses.items()
    }
    _check_statuses(fleet, statuses)
    runs = _counted_runs(fleet)
    assert runs
    assert max(runs.values()) == 1
