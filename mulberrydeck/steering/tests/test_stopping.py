"""A planned stop of a VM, with its listeners on loopback."""

import time

import gevent
import pytest

from mulberrydeck.observability import logs
from mulberrydeck.steering import assembly
from mulberrydeck.steering import events
from mulberrydeck.steering import stopping
from mulberrydeck.steering.tests import samples
from standins import http_client
from standins import waiting
from standins.users_platform import instances

STOP_TIMEOUT_S = 1.0


@pytest.fixture(name="vm")
def fixture_vm(tmp_path):
    """A VM that has not reached the store."""
    names = ("caller", "ready", "look_up", "peer", "metrics", "platform")
    settings = samples.make_settings(
        stop_timeout_s=STOP_TIMEOUT_S,
        **{f"{name}_address": "127.0.0.1:0" for name in names},
    )
    vm = assembly.SteeringVm(settings, tmp_path / "vm.toml")
    vm.caller_listener.start()
    yield vm
    vm.caller_listener.listener.stop(timeout=0)
    vm.caller_listener.watcher.stop()


def send(vm, **headers):
    """Sends a request; returns the greenlet that waits for its response."""
    client = http_client.Client(vm.caller_listener.address, headers=headers)
    greenlet = gevent.spawn(client.request, "GET", "/read/1")
    waiting.until(lambda: vm.caller_listener.in_flight, "the request arrives")
    return greenlet


# Guards against responses that are lost if a process resumes at its end.
def test_a_vm_that_is_paused_at_its_end_writes_the_responses_that_are_ready(vm):
    resumed_s = (stopping.FINISH_FRACTION + 0.03) * STOP_TIMEOUT_S

    def respond(request):
        gevent.sleep(stopping.FINISH_FRACTION * STOP_TIMEOUT_S - 0.01)
        request.response.send_complete(200, [], b"")

    vm.caller_listener.handle_request = respond
    response = send(vm)
    pause_s = 0.1
    gevent.spawn_later(resumed_s - pause_s, time.sleep, pause_s)
    vm.stop()
    assert vm.caller_listener.in_flight == 0
    assert response.get(timeout=1.0).status == 200


def test_each_request_that_the_end_of_a_process_cuts_off_is_logged(
    vm, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        logs, "write", lambda _, text, **fields: lines.append((text, fields))
    )
    target = instances.Instance("t1", work_s=60.0)
    table = samples.make_table(samples.make_route(timeout_s=20.0))
    entry = samples.make_entry("t1", address=target.address)
    now_s = assembly.now_s()
    vm.loop.submit(events.TableLoaded(now_s, table, 1))
    vm.loop.submit(events.TargetsListed(now_s, (entry,), 1))
    response = send(
        vm,
        **{
            "Host": "permits.example",
            "X-Attempt-Id": "a1",
            "X-Deadline-Ms": "9000",
        },
    )
    vm.stop()
    assert not response.ready()
    target.server.stop(timeout=0)
    (cut_off,) = [fields for text, fields in lines if text.startswith("Cut")]
    assert (cut_off["request_id"], cut_off["target"]) == ("a1", "t1")
    assert cut_off["taken_s"] > stopping.FINISH_FRACTION * STOP_TIMEOUT_S
    (stopped,) = [fields for text, fields in lines if text == "Stopped."]
    assert stopped["left"] == 1
