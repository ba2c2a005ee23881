"""A planned stop cuts requests that it has accepted and passed on."""

import pathlib
import sys
import time

import gevent

from review import deployment as deployments

STABLE_S = 3.0  # `StableWindowMs`.
GRACE_S = 10.0  # `GraceS` of kilele-permits-large.
# Roster reads of that site: 6.4 s of work on average.
WORK_S = 5.6
TIMEOUT_MS = 6000
DEADLINE_MS = 30000
# Later than 3 s after SIGTERM; the work ends before `GraceS` is over. Half of
# the requests come on kept channels and half on new ones.
SENT_AFTER_S = (4.05, 4.1, 4.15, 4.2, 4.25, 4.3)
MACHINE = "edge-arusha-a-1"
MACHINES = {MACHINE: "arusha-a", "edge-arusha-b-1": "arusha-b"}
ROUTE = {
    "Name": "roster-pull",
    "PathPrefix": "/roster/",
    "TimeoutMs": TIMEOUT_MS,
    "TargetLatencyMs": 4105,
}


def send_after(deployment, client, name, due_s):
    """Sends a long request at a time; returns its id and its answer.

    Args:
        deployment: The deployment.
        client: Client with a kept channel, or None for a new channel.
        name: Name of the object.
        due_s: When to send it, in seconds.
    """
    gevent.sleep(max(0.0, due_s - time.monotonic()))
    attempt_id = deployments.new_id()
    channel = "a new channel" if client is None else "a kept channel"
    try:
        address = deployment.addresses[MACHINE]["caller"]
        client = client or deployments.Client(address)
    except OSError as error:
        deployment.record.write(f"{attempt_id} not sent: {error}")
        return attempt_id, deployments.Answer(0, False, b"", 0.0)
    sent_s = time.monotonic()
    answer = client.request(
        f"/roster/{name}", attempt_id, deadline_ms=DEADLINE_MS, affinity=name
    )
    deployment.record.write(
        f"{attempt_id} sent to {MACHINE} on {channel}: {answer}", sent_s
    )
    return attempt_id, answer


def case(deployment, disrupt):
    """Returns whether LOST held."""
    record = deployment.record
    deployment.grace_s = GRACE_S
    deployment.configure([deployments.route(**ROUTE)])
    for number, zone in enumerate(("arusha-a", "arusha-b", "dar-a"), 1):
        deployment.add_instance(f"i-{number}", zone, slots=8)
    deployment.start_machines(MACHINES)
    clients = [
        deployments.Client(deployment.addresses[MACHINE]["caller"])
        for _ in SENT_AFTER_S[::2]
    ]
    for client in clients:
        attempt_id = deployments.new_id()
        answer = client.request("/roster/first", attempt_id)
        record.write(f"{attempt_id} sent to {MACHINE}: {answer}")
        if answer.status != 200:
            raise deployments.CaseCannotRunError("nothing was served")
    gevent.sleep(STABLE_S)
    for instance in deployment.instances.values():
        instance.work_s = WORK_S
    start_s = time.monotonic()
    if disrupt:
        start_s = deployment.stop_machine(MACHINE)
    sent = [
        gevent.spawn(
            send_after,
            deployment,
            clients[number // 2] if number % 2 == 0 else None,
            f"gate-{number}",
            start_s + after_s,
        )
        for number, after_s in enumerate(SENT_AFTER_S)
    ]
    gevent.joinall(sent)
    gevent.sleep(max(0.0, start_s + GRACE_S + 0.5 - time.monotonic()))
    deployment.write_runs()
    code = deployment.processes[MACHINE].poll()
    record.write(f"{MACHINE} ended with {code}")
    passed_on = {
        run.fields["x-attempt-id"]
        for instance in deployment.instances.values()
        for run in instance.runs
    }
    results = [greenlet.get() for greenlet in sent]
    lost = [
        attempt_id
        for attempt_id, answer in results
        if attempt_id in passed_on and not answer.complete
    ]
    record.write(
        f"{len(results)} requests sent later than 3 s after the start of the "
        f"stop; {len(lost)} were passed on and their channel ended without an "
        "answer"
    )
    return not lost


if __name__ == "__main__":
    sys.exit(deployments.run(pathlib.Path(__file__).parent, case))
