"""The platform stand-in follows its published protocol, with its faults."""

import gevent

from standins import http_client

CONFIG = "/v1/objects/config"


def put(platform, version, value=b"x", path=CONFIG):
    return platform.request("PUT", path, value, {"If-Version": str(version)})


def test_conditional_put_creates_once(platform):
    assert put(platform, 0, b"one").headers["object-version"] == "1"
    conflict = put(platform, 0, b"two")
    assert (conflict.status, conflict.headers["object-version"]) == (409, "1")
    response = platform.request("GET", CONFIG)
    assert (response.body, response.headers["object-version"]) == (b"one", "1")


def test_version_never_repeats_after_delete(platform):
    put(platform, 0)
    assert platform.request("DELETE", CONFIG, None, {"If-Version": "1"}).status
    assert platform.request("GET", CONFIG).status == 404
    assert put(platform, 0).headers["object-version"] == "3"


def test_list_by_prefix(platform):
    put(platform, 0, path="/v1/objects/zones/a1")
    put(platform, 0)
    listed = http_client.fetch(platform.address, "/v1/objects?prefix=zones/")
    assert listed == [{"key": "zones/a1", "version": 1}]


def test_watch_responds_as_soon_as_an_object_changes(platform):
    path = "/v1/watch?prefix=&since=0&wait_s=30"
    watch = gevent.spawn(http_client.fetch, platform.address, path)
    gevent.sleep(0)
    put(platform, 0)
    changes = [{"key": "config", "version": 1}]
    assert watch.get() == {"revision": 1, "changes": changes}


def test_write_with_a_lost_response_is_applied(platform):
    http_client.post(platform.address, "/control/faults", {"lost_answers": 1})
    assert isinstance(put(platform, 0, b"kept"), http_client.NoResponse)
    assert platform.request("GET", CONFIG).body == b"kept"
    assert put(platform, 1).status == 200


def test_outage_refuses_calls_until_it_ends(platform):
    http_client.post(platform.address, "/control/faults", {"outage": "refuse"})
    assert put(platform, 0).status == 503
    http_client.post(platform.address, "/control/faults", {"outage": "off"})
    assert platform.request("GET", CONFIG).status == 404


def test_stale_reads_see_an_old_revision(platform):
    put(platform, 0, b"old")
    put(platform, 1, b"new")
    http_client.post(platform.address, "/control/faults", {"stale_revision": 1})
    assert platform.request("GET", CONFIG).body == b"old"


def test_vm_list_lags(platform):
    vm = {"name": "v1", "zone": "a1", "peer_address": "127.0.0.1:1"}
    http_client.call(platform.address, "PUT", "/control/vms", [vm])
    listed = http_client.fetch(platform.address, "/v1/vms")
    assert listed == [vm | {"leaving": False}]
    http_client.post(platform.address, "/control/faults", {"list_lag_s": 3600})
    assert http_client.fetch(platform.address, "/v1/vms") == []


def test_budget_is_enforced_and_counted(platform):
    http_client.post(platform.address, "/control/faults", {"writes_per_s": 1})
    statuses = {put(platform, 0).status for _ in range(200)}
    assert 429 in statuses
    counters = http_client.fetch(platform.address, "/control/counters")
    assert counters["writes"] == 200
    assert counters["over_budget"] > 0
