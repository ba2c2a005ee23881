"""Stand-ins run as processes, and their group kills all of them."""

import json

from standins import http_client
from standins import processes


def test_stand_ins_run_and_end(tmp_path):
    spec = tmp_path / "targets.json"
    spec.write_text(
        json.dumps(
            [
                {"name": f"t{number}", "listen": "127.0.0.1:0", "slots": number}
                for number in (1, 2)
            ]
        )
    )
    with processes.ProcessGroup(tmp_path) as group:
        platform = group.start_module("platform", "standins.platform")
        targets = group.start_module(
            "targets", "standins.targets", "--spec", str(spec)
        )
        [address] = platform.wait_ready()
        assert http_client.fetch(address, "/v1/objects?prefix=") == []
        for number, target in enumerate(targets.wait_ready(), start=1):
            status = http_client.fetch(target, "/_target/status")
            assert status["slots"] == number
    assert not platform.is_running()
    assert not targets.is_running()


def test_fault_proxy_runs_as_a_process(tmp_path):
    spec = tmp_path / "proxy.json"
    data = {"control": "127.0.0.1:0", "places": [], "links": []}
    spec.write_text(json.dumps(data))
    with processes.ProcessGroup(tmp_path) as group:
        proxy = group.start_module(
            "proxy", "standins.fault_proxy", "--spec", str(spec)
        )
        [control] = proxy.wait_ready()
        assert http_client.fetch(control, "/rules") == []
