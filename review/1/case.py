"""A chunked upload of over 1 MiB reaches the instance without its start."""

import hashlib
import pathlib
import sys
import time

import gevent

from review import deployment as deployments

STABLE_S = 3.0  # `StableWindowMs`.
CHUNK_BYTES = 16 * 1024
# All far below `MaxBodyBytes`.
SIZES = (400_000, 900_000, 1_200_000, 1_500_000, 3_000_000)
MACHINE = "edge-arusha-a-1"
ROUTE = {
    "Name": "document-upload",
    "PathPrefix": "/upload/",
    "Kind": "upload",
    "TimeoutMs": 8000,
    "TargetLatencyMs": 1000,
}


def content_of(size):
    """Returns a body in which each line differs from all others."""
    lines = (b"%015d\n" % number for number in range(size // 16 + 1))
    return b"".join(lines)[:size]


def summary(content):
    """Returns the size and a hash of a body."""
    return f"{len(content)} bytes, {hashlib.sha256(content).hexdigest()[:12]}"


def case(deployment, disrupt):
    """Returns whether UNASKED held."""
    record = deployment.record
    deployment.configure([deployments.route(**ROUTE)])
    for number, zone in enumerate(("arusha-a", "arusha-b", "dar-a"), 1):
        deployment.add_instance(f"i-{number}", zone)
    deployment.start_machines({MACHINE: "arusha-a", "edge-dar-a-1": "dar-a"})
    gevent.sleep(STABLE_S)
    sent = {}
    for size in SIZES:
        content = content_of(size)
        attempt_id = deployments.new_id()
        sent[attempt_id] = content
        client = deployments.Client(deployment.addresses[MACHINE]["caller"])
        sent_s = time.monotonic()
        answer = client.request(
            f"/upload/scan-{size}",
            attempt_id,
            "POST",
            content,
            deadline_ms=8000,
            chunk_bytes=CHUNK_BYTES if disrupt else 0,
        )
        client.close()
        framing = "in chunks" if disrupt else "with a length"
        record.write(
            f"{attempt_id} sent {framing}, {summary(content)}: {answer}", sent_s
        )
    changed = 0
    for name, instance in deployment.instances.items():
        for run in instance.runs:
            attempt_id = run.fields["x-attempt-id"]
            is_whole = run.body == sent[attempt_id]
            changed += not is_whole
            start = sent[attempt_id].find(run.body[:16]) if run.body else 0
            text = "the body as sent"
            if not is_whole:
                text = f"a changed body, which begins at byte {start}"
            record.write(
                f"{name} ran {attempt_id}, {summary(run.body)}: {text}",
                run.arrived_s,
            )
    record.write(f"{len(sent)} uploads, {changed} ran with a changed body")
    if not any(instance.runs for instance in deployment.instances.values()):
        raise deployments.CaseCannotRunError("nothing was run")
    return not changed


if __name__ == "__main__":
    sys.exit(deployments.run(pathlib.Path(__file__).parent, case))
